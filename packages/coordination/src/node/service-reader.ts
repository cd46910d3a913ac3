import { UnavailableError } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";
import type { RecordTable } from "../runtime/record-table.ts";
import type { RecordWriter } from "../runtime/record-writer.ts";
import type { KeyValueEntry, KeyValueStore } from "../types/key-value-store.ts";
import type { Logger } from "../types/logger.ts";
import { parseStoredRecord } from "../utils/record-codec.ts";
import { compareStamps } from "../utils/record-version.ts";
import { sleep } from "../utils/sleep.ts";

export interface ServiceReaderContext {
    readonly store: KeyValueStore;
    readonly prefixes: readonly string[];
    readonly table: RecordTable;
    readonly writer: RecordWriter;
    readonly logger: Logger;
    readonly refreshIntervalMs: number;
    readonly revisionIntervalMs: number;
    readonly retryDelayMs: number;
    /** Whether this process watches the service now. */
    readonly isReader: () => boolean;
}

/** No key starts with it, so that a read costs a few bytes and tells the service's revision. */
const NO_KEYS_PREFIX = "/revision-only/";

/** Reads the records from the key-value service and, in a reader process, watches them. */
export class ServiceReader {
    private hasReadOnce = false;

    constructor(private readonly context: ServiceReaderContext) {}

    get hasRead(): boolean {
        return this.hasReadOnce;
    }

    /** Reads every prefix once, applies what is newer and writes back what the service has older. */
    async refresh(): Promise<Result<Map<string, number>, UnavailableError>> {
        const { store, prefixes } = this.context;
        const revisions = new Map<string, number>();
        for (const prefix of prefixes) {
            const range = await store.range(prefix);
            if (range.isErr()) {
                return err(
                    new UnavailableError(`Reading ${prefix} failed: ${range.error.message}`, {
                        step: "records.refresh",
                        peer: "key-value-service",
                        cause: range.error,
                    }),
                );
            }
            revisions.set(prefix, range.value.revision);
            const seen = new Set<string>();
            for (const entry of range.value.entries) {
                seen.add(entry.key);
                await this.reconcile(entry);
            }
            await this.restoreMissing(prefix, seen);
        }
        this.hasReadOnce = true;
        return ok(revisions);
    }

    /** Runs until the signal aborts. A process that is no reader only reads until it succeeded once. */
    async run(signal: AbortSignal): Promise<void> {
        const { retryDelayMs, revisionIntervalMs, logger } = this.context;
        while (!signal.aborted) {
            if (this.hasReadOnce && !this.context.isReader()) {
                await sleep(revisionIntervalMs, signal);
                continue;
            }
            const revisions = await this.refresh();
            if (revisions.isErr()) {
                logger.warn({ step: revisions.error.step, peer: revisions.error.peer }, revisions.error.message);
                // Jitter keeps the readers from returning at the same moment after an outage.
                await sleep(retryDelayMs * (0.5 + Math.random()), signal);
                continue;
            }
            if (this.context.isReader()) await this.watchOnce(revisions.value, signal);
        }
    }

    /** Watches until a watch breaks, the service's revision goes back, or the refresh interval is over. */
    private async watchOnce(revisions: ReadonlyMap<string, number>, signal: AbortSignal): Promise<void> {
        const round = new AbortController();
        const stop = () => round.abort();
        signal.addEventListener("abort", stop, { once: true });
        const watches = [...revisions].map(([prefix, revision]) => this.watchPrefix(prefix, revision, round.signal));
        await Promise.race([
            sleep(this.context.refreshIntervalMs, round.signal),
            this.watchRevision(Math.max(...revisions.values()), round.signal),
            ...watches,
        ]);
        round.abort();
        signal.removeEventListener("abort", stop);
        await Promise.allSettled(watches);
    }

    /**
     * Ends when the revision went back, since the service then holds older data that a watch may not report,
     * or when this process is no reader any more.
     */
    private async watchRevision(fromRevision: number, signal: AbortSignal): Promise<void> {
        let highest = fromRevision;
        while (!signal.aborted && this.context.isReader()) {
            await sleep(this.context.revisionIntervalMs, signal);
            const read = await this.context.store.range(NO_KEYS_PREFIX, { limit: 1 });
            if (read.isErr()) continue;
            if (read.value.revision < highest) return;
            highest = read.value.revision;
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
            this.context.logger.warn({ step: "records.watch", peer: "key-value-service", err: error }, "watch ended");
            await sleep(this.context.retryDelayMs, signal);
        }
    }

    private async reconcile(entry: KeyValueEntry): Promise<void> {
        const { table, writer, logger } = this.context;
        const parsed = parseStoredRecord(entry);
        if (parsed.isErr()) {
            logger.error({ step: parsed.error.step, peer: parsed.error.peer, key: entry.key }, parsed.error.message);
            return;
        }
        const stored = parsed.value;
        if (table.apply(stored)) return;
        const held = table.get(entry.key);
        if (held === undefined || compareStamps(held, stored) === 0) return;
        const repaired = await writer.repair(held, entry.modRevision);
        logger.warn(
            { step: "records.repair", key: entry.key, stored: stored.version, held: held.version, repaired },
            "the key-value service holds an older record than the one in force",
        );
    }

    private async restoreMissing(prefix: string, seen: ReadonlySet<string>): Promise<void> {
        const { table, writer, logger } = this.context;
        for (const record of table.list(prefix)) {
            if (seen.has(record.key)) continue;
            // A record applied while the range was read may be newer than the range; the comparison with 0 then fails.
            const repaired = await writer.repair(record, 0);
            logger.warn({ step: "records.repair", key: record.key, repaired }, "wrote a missing record back");
        }
    }
}
