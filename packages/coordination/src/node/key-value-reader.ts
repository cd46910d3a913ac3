import { UnavailableError } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";
import type { RecordTable } from "../runtime/record-table.ts";
import type { RecordWriter } from "../runtime/record-writer.ts";
import type { KeyValueEntry, KeyValueStore } from "../types/key-value-store.ts";
import type { Logger } from "../types/logger.ts";
import { parseStoredRecord } from "../utils/record-codec.ts";
import { compareVersionStamps } from "../utils/record-version.ts";
import { sleep } from "../utils/sleep.ts";

export interface KeyValueReaderContext {
    readonly store: KeyValueStore;
    readonly prefixes: readonly string[];
    readonly table: RecordTable;
    readonly writer: RecordWriter;
    readonly logger: Logger;
    readonly refreshIntervalMs: number;
    readonly revisionIntervalMs: number;
    readonly retryDelayMs: number;
    /** Returns whether this process currently watches the key-value service. */
    readonly shouldWatchKeyValueService: () => boolean;
}

/** No key has this prefix, so reading it returns the service's revision in a few bytes. */
const REVISION_PROBE_PREFIX = "/revision-only/";

/**
 * Reads records from the key-value service into the table and watches them for changes while
 * `shouldWatchKeyValueService` returns true.
 */
export class KeyValueReader {
    private hasReadOnce = false;

    constructor(private readonly context: KeyValueReaderContext) {}

    get hasReadAllPrefixes(): boolean {
        return this.hasReadOnce;
    }

    /**
     * Reads every prefix once, applies newer records and writes back records that are older or missing in the
     * service. Returns the revision at which each prefix was read.
     */
    async refresh(): Promise<Result<Map<string, number>, UnavailableError>> {
        const { store, prefixes } = this.context;
        const revisions = new Map<string, number>();
        for (const prefix of prefixes) {
            const range = await store.range(prefix);
            if (range.isErr()) {
                return err(
                    new UnavailableError(
                        `Reading ${prefix} failed: ${range.error.message}`,
                        {
                            step: "records.refresh",
                            peer: "key-value-service",
                            cause: range.error,
                        },
                    ),
                );
            }
            revisions.set(prefix, range.value.revision);
            const seenKeys = new Set<string>();
            for (const entry of range.value.entries) {
                seenKeys.add(entry.key);
                await this.reconcile(entry);
            }
            await this.writeBackMissing(prefix, seenKeys);
        }
        this.hasReadOnce = true;
        return ok(revisions);
    }

    /**
     * Runs until the signal aborts. A process that does not watch the service reads all records once, repeating
     * failed reads.
     */
    async run(signal: AbortSignal): Promise<void> {
        const { retryDelayMs, revisionIntervalMs, logger } = this.context;
        while (!signal.aborted) {
            if (this.hasReadOnce && !this.context.shouldWatchKeyValueService()) {
                await sleep(revisionIntervalMs, signal);
                continue;
            }
            const revisions = await this.refresh();
            if (revisions.isErr()) {
                logger.warn({ step: revisions.error.step, peer: revisions.error.peer }, revisions.error.message);
                // Jitter prevents all processes from reading at the same moment after an outage.
                await sleep(retryDelayMs * (0.5 + Math.random()), signal);
                continue;
            }
            if (this.context.shouldWatchKeyValueService()) await this.watchUntilInterrupted(revisions.value, signal);
        }
    }

    /**
     * Watches until a watch fails, the service's revision decreases, this process should no longer watch the
     * service, or the refresh interval elapses.
     */
    private async watchUntilInterrupted(revisions: ReadonlyMap<string, number>, signal: AbortSignal): Promise<void> {
        // An aborted signal, such as one that aborted during the read, does not call listeners that are added later.
        if (signal.aborted) return;
        const watchAbort = new AbortController();
        const abortWatches = () => watchAbort.abort();
        signal.addEventListener("abort", abortWatches, { once: true });
        const watches = [...revisions].map(([prefix, revision]) =>
            this.watchPrefix(prefix, revision, watchAbort.signal)
        );
        await Promise.race([
            sleep(this.context.refreshIntervalMs, watchAbort.signal),
            this.monitorRevision(Math.max(...revisions.values()), watchAbort.signal),
            ...watches,
        ]);
        watchAbort.abort();
        signal.removeEventListener("abort", abortWatches);
        await Promise.allSettled(watches);
    }

    /**
     * Polls the service's revision until it decreases, since the service then holds restored older data that a watch
     * may not report, or until `shouldWatchKeyValueService` returns false.
     */
    private async monitorRevision(startRevision: number, signal: AbortSignal): Promise<void> {
        let highestRevision = startRevision;
        while (!signal.aborted && this.context.shouldWatchKeyValueService()) {
            await sleep(this.context.revisionIntervalMs, signal);
            const read = await this.context.store.range(REVISION_PROBE_PREFIX, { limit: 1 });
            if (read.isErr()) continue;
            if (read.value.revision < highestRevision) return;
            highestRevision = read.value.revision;
        }
    }

    private async watchPrefix(prefix: string, revision: number, signal: AbortSignal): Promise<void> {
        try {
            for await (const events of this.context.store.watch(prefix, revision + 1, signal)) {
                for (const event of events) {
                    if (event.kind === "put") await this.reconcile(event.entry);
                }
            }
        }
        catch (error) {
            if (signal.aborted) return;
            this.context.logger.warn(
                { step: "records.watch", peer: "key-value-service", err: error },
                "watch of the key-value service failed",
            );
            await sleep(this.context.retryDelayMs, signal);
        }
    }

    /** Applies a stored record to the table, or writes the table's record back when that one is newer. */
    private async reconcile(entry: KeyValueEntry): Promise<void> {
        const { table, writer, logger } = this.context;
        const parsed = parseStoredRecord(entry);
        if (parsed.isErr()) {
            logger.error({ step: parsed.error.step, peer: parsed.error.peer, key: entry.key }, parsed.error.message);
            return;
        }
        const stored = parsed.value;
        if (table.apply(stored)) return;
        const cached = table.get(entry.key);
        if (cached === undefined || compareVersionStamps(cached, stored) === 0) return;
        const repaired = await writer.writeBack(cached, entry.modRevision);
        logger.warn(
            { step: "records.repair", key: entry.key, stored: stored.version, held: cached.version, repaired },
            "the key-value service holds an older record than this process; attempted to write the newer one back",
        );
    }

    /** Writes back the table's records that the service does not hold. */
    private async writeBackMissing(prefix: string, seenKeys: ReadonlySet<string>): Promise<void> {
        const { table, writer, logger } = this.context;
        for (const record of table.list(prefix)) {
            if (seenKeys.has(record.key)) continue;
            // A record may have been created after the range was read; the comparison with revision 0 then fails.
            const repaired = await writer.writeBack(record, 0);
            logger.warn(
                { step: "records.repair", key: record.key, repaired },
                "record missing in the key-value service; attempted to write it back",
            );
        }
    }
}
