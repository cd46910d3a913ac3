import { OutcomeUnknownError, type ProcessId, UnavailableError } from "@skylarkmill/protocol";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { Mailbox } from "../runtime/mailbox.ts";
import type { ClaimInput, ClaimOutcome, ClaimRecord, ClaimResult, ClaimWriter } from "../types/claim.ts";
import type { KeyValueEntry, KeyValueError, KeyValueStore, Put } from "../types/key-value-store.ts";
import { type Logger, silentLogger } from "../types/logger.ts";
import { hashIdempotencyKey, parseClaim } from "../utils/claim-codec.ts";
import { sleep } from "../utils/sleep.ts";

export interface ClaimWriterOptions {
    readonly store: KeyValueStore;
    readonly processId: ProcessId;
    /** Builds the key under which a claim is stored; `keyHash` is the SHA-256 of the idempotency key. */
    readonly buildClaimKey: (serviceId: string, keyHash: string) => string;
    /** Time limit for writing a claim; `claim` fails when it passes. @default 1000 */
    readonly timeoutMs?: number;
    /** Minimum time for which a stored claim is kept. @default 86400000 */
    readonly retentionMs?: number;
    /** Receives a warning for each failed transaction. @default silentLogger */
    readonly logger?: Logger;
}

type ClaimError = UnavailableError | OutcomeUnknownError;

interface PendingClaim {
    readonly kind: "claim";
    readonly key: string;
    readonly record: ClaimRecord;
    /** Revision of the entry that the write replaces; 0 when the key is expected to be absent. */
    modRevision: number;
    /** Whether the write was sent at least once and may therefore have taken effect. */
    wasSent: boolean;
    /** Whether the time limit passed and `claim` already returned an error. */
    isAbandoned: boolean;
    readonly resolve: (result: Result<ClaimResult, ClaimError>) => void;
}

interface PendingOutcome {
    readonly kind: "outcome";
    readonly key: string;
    readonly record: ClaimRecord;
    /** Expected revision of the claim; an unconditional write could overwrite a later claim of the same key. */
    modRevision: number;
    readonly expiresAtMs: number;
}

type PendingWrite = PendingClaim | PendingOutcome;

const DEFAULTS = { timeoutMs: 1000, retentionMs: 24 * 3_600_000, logger: silentLogger };
/** Writes per transaction. The service allows 128 operations; each write needs a comparison and a put. */
const MAX_BATCH_SIZE = 60;
/** Delay before a batch whose transaction failed is sent again. */
const RETRY_DELAY_MS = 50;
/** Time for which writing an outcome is retried. */
const OUTCOME_RETRY_TIMEOUT_MS = 60_000;
/**
 * Time limit of one call to the key-value service. It is shorter than the claim's time limit, so that a call
 * that hangs during an outage does not block later claims; repeating the write is safe.
 */
const CALL_TIMEOUT_MS = 300;
/** Time that `stop` waits for pending writes. */
const STOP_TIMEOUT_MS = 3000;
/**
 * Time for which new claims are attached to the same lease. The lease's time to live is `retentionMs` plus this time,
 * so that the last claim attached to it is also kept for `retentionMs`.
 */
const LEASE_REUSE_MS = 3_600_000;

/**
 * Creates a writer that stores claims in batches. One transaction is in flight at a time; writes that arrive
 * meanwhile are sent in the next one, so that the transaction rate does not grow with the request rate.
 *
 * @example
 * const buildClaimKey = (service, hash) => `/app/claims/${service}/${hash}`;
 * const claims = createClaimWriter({ store, processId, buildClaimKey });
 * const claimed = await claims.claim({ serviceId, idempotencyKey, record });
 */
export function createClaimWriter(options: ClaimWriterOptions): ClaimWriter {
    return new BatchingClaimWriter({ ...DEFAULTS, ...options });
}

class BatchingClaimWriter implements ClaimWriter {
    private readonly mailbox = new Mailbox<"flush">();
    private queue: PendingWrite[] = [];
    /** Revisions of this process's claims that have no outcome yet, by attempt id. */
    private readonly claimRevisions = new Map<string, number>();
    private lease: { leaseId: string; grantedAtMs: number; } | undefined;
    private readonly flushLoop: Promise<void>;

    constructor(private readonly options: Required<ClaimWriterOptions>) {
        this.flushLoop = this.runFlushLoop();
    }

    claim(input: ClaimInput): ResultAsync<ClaimResult, ClaimError> {
        return new ResultAsync(
            new Promise<Result<ClaimResult, ClaimError>>(resolve => {
                const pending: PendingClaim = {
                    kind: "claim",
                    key: this.buildKey(input),
                    record: this.toRecord(input, undefined),
                    modRevision: 0,
                    wasSent: false,
                    isAbandoned: false,
                    resolve: result => {
                        clearTimeout(timer);
                        resolve(result);
                    },
                };
                const timer = setTimeout(() => this.abandon(pending), this.options.timeoutMs);
                this.enqueue(pending);
            }),
        );
    }

    complete(input: ClaimInput, outcome: ClaimOutcome): void {
        this.enqueue({
            kind: "outcome",
            key: this.buildKey(input),
            record: this.toRecord(input, outcome),
            modRevision: this.removeRevision(input.record.attemptId),
            expiresAtMs: Date.now() + OUTCOME_RETRY_TIMEOUT_MS,
        });
    }

    async stop(): Promise<void> {
        this.mailbox.close();
        // Writes left over during an outage are dropped; repeats of those requests then get an unknown outcome.
        await Promise.race([this.flushLoop, sleep(STOP_TIMEOUT_MS)]);
        this.queue = [];
    }

    private removeRevision(attemptId: string): number {
        const revision = this.claimRevisions.get(attemptId) ?? 0;
        this.claimRevisions.delete(attemptId);
        return revision;
    }

    private buildKey(input: ClaimInput): string {
        return this.options.buildClaimKey(input.serviceId, hashIdempotencyKey(input.idempotencyKey));
    }

    private toRecord(input: ClaimInput, outcome: ClaimOutcome | undefined): ClaimRecord {
        return { ...input.record, processId: this.options.processId, claimedAtMs: Date.now(), outcome };
    }

    private enqueue(pending: PendingWrite): void {
        this.queue.push(pending);
        this.mailbox.post("flush");
    }

    private abandon(pending: PendingClaim): void {
        pending.isAbandoned = true;
        const errorContext = { step: "claim.write", peer: "key-value-service" };
        pending.resolve(
            err(
                pending.wasSent
                    ? new OutcomeUnknownError(
                        "The key-value service did not confirm the claim within the time limit.",
                        errorContext,
                    )
                    : new UnavailableError(
                        "The claim could not be sent to the key-value service within the time limit.",
                        errorContext,
                    ),
            ),
        );
    }

    private async runFlushLoop(): Promise<void> {
        for await (const _ of this.mailbox) {
            while (this.queue.length > 0) await this.flush();
        }
    }

    private async flush(): Promise<void> {
        const batch = this.takeBatch();
        if (batch.length === 0) return;
        const leaseId = await this.ensureLease();
        const isHandled = leaseId !== undefined && (await this.writeBatch(batch, leaseId));
        if (!isHandled) {
            this.queue.unshift(...batch);
            await sleep(RETRY_DELAY_MS);
        }
    }

    /** Removes the next batch of writes with distinct keys from the queue and drops obsolete writes. */
    private takeBatch(): PendingWrite[] {
        const batch: PendingWrite[] = [];
        const remaining: PendingWrite[] = [];
        const keys = new Set<string>();
        for (const pending of this.queue) {
            if (this.isObsolete(pending)) continue;
            if (batch.length < MAX_BATCH_SIZE && !keys.has(pending.key)) batch.push(pending);
            else remaining.push(pending);
            keys.add(pending.key);
        }
        this.queue = remaining;
        return batch;
    }

    /** Returns true for an expired outcome, and for an abandoned claim that was never sent. */
    private isObsolete(pending: PendingWrite): boolean {
        if (pending.kind === "outcome") return pending.expiresAtMs <= Date.now();
        return pending.isAbandoned && !pending.wasSent;
    }

    /** Returns the id of the current lease, or of a new one; undefined when the service did not grant a lease. */
    private async ensureLease(): Promise<string | undefined> {
        if (this.lease !== undefined && Date.now() - this.lease.grantedAtMs < LEASE_REUSE_MS) {
            return this.lease.leaseId;
        }
        const granted = await withCallTimeout(
            this.options.store.grantLease(this.options.retentionMs + LEASE_REUSE_MS),
        );
        if (granted.isErr()) return undefined;
        this.lease = { leaseId: granted.value.leaseId, grantedAtMs: Date.now() };
        return this.lease.leaseId;
    }

    /**
     * Writes a batch in one transaction and handles the response. Returns false when the transaction failed or its
     * outcome is unknown; repeating the write is safe.
     */
    private async writeBatch(batch: readonly PendingWrite[], leaseId: string): Promise<boolean> {
        for (const pending of batch) {
            if (pending.kind === "claim") pending.wasSent = true;
        }
        const result = await withCallTimeout(this.options.store.commit({
            compare: batch.map(({ key, modRevision }) => ({ key, modRevision })),
            puts: batch.map(pending => toPut(pending, leaseId)),
            readOnFailure: batch.map(({ key }) => key),
        }));
        if (result.isErr()) {
            const { step, peer, message } = result.error;
            this.options.logger.warn(
                { step, peer, count: batch.length },
                `writing a batch of claims to the key-value service failed; retrying: ${message}`,
            );
            // The lease may no longer exist if the service was restored from older data.
            this.lease = undefined;
            return false;
        }
        const { succeeded, revision, entries } = result.value;
        if (succeeded) {
            for (const pending of batch) this.handleWritten(pending, revision);
            return true;
        }
        const entriesByKey = new Map(entries.map(entry => [entry.key, entry]));
        this.queue.unshift(...batch.filter(pending => !this.resolveConflict(pending, entriesByKey.get(pending.key))));
        return true;
    }

    /**
     * Handles a write whose comparison may have failed, based on the entry in the service.
     * Returns false when the write must be retried.
     */
    private resolveConflict(pending: PendingWrite, entry: KeyValueEntry | undefined): boolean {
        if (entry === undefined) {
            // The key is absent. For an outcome, the service lost the claim; storing the outcome still blocks the key.
            pending.modRevision = 0;
            return false;
        }
        const record = parseClaim(entry);
        const isOwn = record.attemptId === pending.record.attemptId;
        if (pending.kind === "outcome") {
            pending.modRevision = entry.modRevision;
            return !isOwn || record.outcome !== undefined;
        }
        if (isOwn && record.outcome === undefined) {
            this.handleWritten(pending, entry.modRevision);
            return true;
        }
        if (record.outcome?.kind === "not_run") {
            pending.modRevision = entry.modRevision;
            return false;
        }
        if (!pending.isAbandoned) pending.resolve(ok({ kind: "existing", record }));
        return true;
    }

    private handleWritten(pending: PendingWrite, modRevision: number): void {
        if (pending.kind === "outcome") return;
        if (!pending.isAbandoned) {
            this.claimRevisions.set(pending.record.attemptId, modRevision);
            pending.resolve(ok({ kind: "claimed" }));
            return;
        }
        // The request of an abandoned claim was not dispatched, so the key must become claimable again.
        this.enqueue({
            kind: "outcome",
            key: pending.key,
            record: { ...pending.record, outcome: NOT_RUN_OUTCOME },
            modRevision,
            expiresAtMs: Date.now() + OUTCOME_RETRY_TIMEOUT_MS,
        });
    }
}

const NOT_RUN_OUTCOME: ClaimOutcome = { kind: "not_run", status: 503, contentType: "", bodyBase64: undefined };

/** Returns `OutcomeUnknownError` when the call does not finish in time; the call itself continues. */
function withCallTimeout<T>(call: ResultAsync<T, KeyValueError>): Promise<Result<T, KeyValueError>> {
    const timeout = sleep(CALL_TIMEOUT_MS).then(() =>
        err(
            new OutcomeUnknownError(`The key-value service did not respond within ${CALL_TIMEOUT_MS} ms.`, {
                step: "claim.write",
                peer: "key-value-service",
            }),
        )
    );
    return Promise.race([call, timeout]);
}

function toPut(pending: PendingWrite, leaseId: string): Put {
    return { key: pending.key, value: JSON.stringify(pending.record), leaseId };
}
