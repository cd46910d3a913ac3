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
    /** Builds the key of a claim. */
    readonly keyOf: (serviceId: string, keyHash: string) => string;
    /** Time that a claim may take before the request is refused. @default 1000 */
    readonly timeoutMs?: number;
    /** Time that a claim is kept. @default 86400000 */
    readonly retentionMs?: number;
    /** @default silent */
    readonly logger?: Logger;
}

type ClaimError = UnavailableError | OutcomeUnknownError;

interface PendingClaim {
    readonly kind: "claim";
    readonly key: string;
    readonly record: ClaimRecord;
    /** Revision to replace; 0 for a new key. */
    modRevision: number;
    sent: boolean;
    /** The caller got its answer, because the time was over. */
    abandoned: boolean;
    readonly settle: (result: Result<ClaimResult, ClaimError>) => void;
}

interface PendingOutcome {
    readonly kind: "outcome";
    readonly key: string;
    readonly record: ClaimRecord;
    /** Revision of the claim; an unconditional write could overwrite a later claim of the same key. */
    modRevision: number;
    readonly expiresAtMs: number;
}

type Pending = PendingClaim | PendingOutcome;

const DEFAULTS = { timeoutMs: 1000, retentionMs: 24 * 3_600_000, logger: silentLogger };
/** The service allows 128 operations in a transaction; a claim costs a comparison and a write. */
const MAX_GROUP_SIZE = 60;
const RETRY_DELAY_MS = 50;
const OUTCOME_RETRY_MS = 60_000;
/** A call that hangs in an outage must not hold up the claims that come after it; repeating the write is safe. */
const CALL_TIMEOUT_MS = 300;
const STOP_TIMEOUT_MS = 3000;
const LEASE_RENEWAL_MS = 3_600_000;

/**
 * Creates the writer of claims. One transaction is in flight at a time; what arrives meanwhile
 * goes into the next one, so the write rate stays flat as requests grow.
 *
 * @example
 * const claims = createClaimWriter({ store, processId, keyOf: (service, hash) => `/app/claims/${service}/${hash}` });
 * const claimed = await claims.claim({ serviceId, idempotencyKey, record });
 */
export function createClaimWriter(options: ClaimWriterOptions): ClaimWriter {
    return new GroupClaimWriter({ ...DEFAULTS, ...options });
}

class GroupClaimWriter implements ClaimWriter {
    private readonly mailbox = new Mailbox<"flush">();
    private queue: Pending[] = [];
    /** Revisions of own claims whose outcome is open, by attempt. */
    private readonly revisions = new Map<string, number>();
    private lease: { leaseId: string; grantedAtMs: number; } | undefined;
    private readonly task: Promise<void>;

    constructor(private readonly options: Required<ClaimWriterOptions>) {
        this.task = this.run();
    }

    claim(input: ClaimInput): ResultAsync<ClaimResult, ClaimError> {
        return new ResultAsync(
            new Promise<Result<ClaimResult, ClaimError>>(resolve => {
                const pending: PendingClaim = {
                    kind: "claim",
                    key: this.keyOf(input),
                    record: this.toRecord(input, undefined),
                    modRevision: 0,
                    sent: false,
                    abandoned: false,
                    settle: result => {
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
            key: this.keyOf(input),
            record: this.toRecord(input, outcome),
            modRevision: this.takeRevision(input.record.attemptId),
            expiresAtMs: Date.now() + OUTCOME_RETRY_MS,
        });
    }

    async stop(): Promise<void> {
        this.mailbox.close();
        // During an outage what is left stays unwritten; such claims answer that their outcome is unknown.
        await Promise.race([this.task, sleep(STOP_TIMEOUT_MS)]);
        this.queue = [];
    }

    private takeRevision(attemptId: string): number {
        const revision = this.revisions.get(attemptId) ?? 0;
        this.revisions.delete(attemptId);
        return revision;
    }

    private keyOf(input: ClaimInput): string {
        return this.options.keyOf(input.serviceId, hashIdempotencyKey(input.idempotencyKey));
    }

    private toRecord(input: ClaimInput, outcome: ClaimOutcome | undefined): ClaimRecord {
        return { ...input.record, processId: this.options.processId, claimedAtMs: Date.now(), outcome };
    }

    private enqueue(pending: Pending): void {
        this.queue.push(pending);
        this.mailbox.post("flush");
    }

    private abandon(pending: PendingClaim): void {
        pending.abandoned = true;
        const context = { step: "claim.write", peer: "key-value-service" };
        pending.settle(
            err(
                pending.sent
                    ? new OutcomeUnknownError("The claim was not confirmed in time.", context)
                    : new UnavailableError("The claim could not be written in time.", context),
            ),
        );
    }

    private async run(): Promise<void> {
        for await (const _ of this.mailbox) {
            while (this.queue.length > 0) await this.flush();
        }
    }

    private async flush(): Promise<void> {
        const group = this.takeGroup();
        if (group.length === 0) return;
        const leaseId = await this.ensureLease();
        const done = leaseId !== undefined && (await this.writeGroup(group, leaseId));
        if (!done) {
            this.queue.unshift(...group);
            await sleep(RETRY_DELAY_MS);
        }
    }

    /** Takes up to a group of entries with different keys; drops what nobody waits for any more. */
    private takeGroup(): Pending[] {
        const group: Pending[] = [];
        const rest: Pending[] = [];
        const keys = new Set<string>();
        for (const pending of this.queue) {
            if (this.isObsolete(pending)) continue;
            if (group.length < MAX_GROUP_SIZE && !keys.has(pending.key)) group.push(pending);
            else rest.push(pending);
            keys.add(pending.key);
        }
        this.queue = rest;
        return group;
    }

    private isObsolete(pending: Pending): boolean {
        if (pending.kind === "outcome") return pending.expiresAtMs <= Date.now();
        return pending.abandoned && !pending.sent;
    }

    private async ensureLease(): Promise<string | undefined> {
        if (this.lease !== undefined && Date.now() - this.lease.grantedAtMs < LEASE_RENEWAL_MS) {
            return this.lease.leaseId;
        }
        const granted = await withinCallTimeout(
            this.options.store.grantLease(this.options.retentionMs + LEASE_RENEWAL_MS),
        );
        if (granted.isErr()) return undefined;
        this.lease = { leaseId: granted.value.leaseId, grantedAtMs: Date.now() };
        return this.lease.leaseId;
    }

    /** Returns false when nothing is known about the group's fate; the same write is then safe to repeat. */
    private async writeGroup(group: readonly Pending[], leaseId: string): Promise<boolean> {
        for (const pending of group) {
            if (pending.kind === "claim") pending.sent = true;
        }
        const result = await withinCallTimeout(this.options.store.commit({
            compare: group.map(({ key, modRevision }) => ({ key, modRevision })),
            puts: group.map(pending => toPut(pending, leaseId)),
            readOnFailure: group.map(({ key }) => key),
        }));
        if (result.isErr()) {
            const { step, peer, message } = result.error;
            this.options.logger.warn({ step, peer, count: group.length }, `claims not written: ${message}`);
            // The lease may be gone after the service came back with older data.
            this.lease = undefined;
            return false;
        }
        const { succeeded, revision, entries } = result.value;
        if (succeeded) {
            for (const pending of group) this.finish(pending, revision);
            return true;
        }
        const existing = new Map(entries.map(entry => [entry.key, entry]));
        this.queue.unshift(...group.filter(pending => !this.resolveExisting(pending, existing.get(pending.key))));
        return true;
    }

    /** Settles what the existing entry decides; returns false when the write is to be tried again. */
    private resolveExisting(pending: Pending, entry: KeyValueEntry | undefined): boolean {
        if (entry === undefined) {
            // The service lost the claim; the outcome still protects the key.
            pending.modRevision = 0;
            return false;
        }
        const record = parseClaim(entry);
        const own = record.attemptId === pending.record.attemptId;
        if (pending.kind === "outcome") {
            pending.modRevision = entry.modRevision;
            return !own || record.outcome !== undefined;
        }
        if (own && record.outcome === undefined) {
            this.finish(pending, entry.modRevision);
            return true;
        }
        if (record.outcome?.kind === "not_run") {
            pending.modRevision = entry.modRevision;
            return false;
        }
        if (!pending.abandoned) pending.settle(ok({ kind: "existing", record }));
        return true;
    }

    private finish(pending: Pending, modRevision: number): void {
        if (pending.kind === "outcome") return;
        if (!pending.abandoned) {
            this.revisions.set(pending.record.attemptId, modRevision);
            pending.settle(ok({ kind: "claimed" }));
            return;
        }
        // Nothing was dispatched for it, so the key must not stay claimed.
        this.enqueue({
            kind: "outcome",
            key: pending.key,
            record: { ...pending.record, outcome: NOT_RUN },
            modRevision,
            expiresAtMs: Date.now() + OUTCOME_RETRY_MS,
        });
    }
}

const NOT_RUN: ClaimOutcome = { kind: "not_run", status: 503, contentType: "", bodyBase64: undefined };

function withinCallTimeout<T>(call: ResultAsync<T, KeyValueError>): Promise<Result<T, KeyValueError>> {
    const overdue = sleep(CALL_TIMEOUT_MS).then(() =>
        err(
            new OutcomeUnknownError(`No answer within ${CALL_TIMEOUT_MS} ms.`, {
                step: "claim.write",
                peer: "key-value-service",
            }),
        )
    );
    return Promise.race([call, overdue]);
}

function toPut(pending: Pending, leaseId: string): Put {
    return { key: pending.key, value: JSON.stringify(pending.record), leaseId };
}
