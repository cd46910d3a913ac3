import type { ProcessId } from "@skylarkmill/protocol";
import type { DutyLease } from "../types/duty-lease.ts";
import type { KeyValueStore } from "../types/key-value-store.ts";
import { type Logger, silentLogger } from "../types/logger.ts";
import { sleep } from "../utils/sleep.ts";

export interface DutyLeaseOptions {
    readonly store: KeyValueStore;
    /** Key to which the holder writes its process id. */
    readonly key: string;
    readonly processId: ProcessId;
    /** Whether this process tries to acquire the duty; limit this to a few processes. @default () => true */
    readonly isCandidate?: () => boolean;
    /** Time after which a holder that stops renewing its lease loses the duty. @default 10000 */
    readonly ttlMs?: number;
    /** Receives a message whenever this process acquires or loses the duty. @default silentLogger */
    readonly logger?: Logger;
}

const DEFAULT_TTL_MS = 10_000;

/**
 * Creates this process's lease on a duty that at most one process performs at a time.
 *
 * @example
 * const duty = createDutyLease({ store, key: "/app/duties/placement", processId });
 * duty.start();
 * if (duty.isHeld) { ... }
 */
export function createDutyLease(options: DutyLeaseOptions): DutyLease {
    return new KeyValueDutyLease(options);
}

class KeyValueDutyLease implements DutyLease {
    private readonly abortController = new AbortController();
    private readonly ttlMs: number;
    private readonly logger: Logger;
    private leaseId: string | undefined;
    private expiresAtMs = 0;
    private renewalLoop: Promise<void> | undefined;

    constructor(private readonly options: DutyLeaseOptions) {
        this.ttlMs = options.ttlMs ?? DEFAULT_TTL_MS;
        this.logger = options.logger ?? silentLogger;
    }

    get isHeld(): boolean {
        return this.leaseId !== undefined && Date.now() < this.expiresAtMs;
    }

    start(): void {
        this.renewalLoop = this.runRenewalLoop();
    }

    async stop(): Promise<void> {
        this.abortController.abort();
        await this.renewalLoop;
        if (this.leaseId !== undefined) await this.options.store.revokeLease(this.leaseId);
        this.leaseId = undefined;
    }

    private async runRenewalLoop(): Promise<void> {
        const { signal } = this.abortController;
        while (!signal.aborted) {
            const wasHeld = this.isHeld;
            if (this.leaseId === undefined) await this.tryAcquire();
            else await this.renew();
            if (wasHeld !== this.isHeld) {
                this.logger.info({ step: "duty", duty: this.options.key, held: this.isHeld }, "duty acquired or lost");
            }
            // Renewing after a third of the lease time leaves time for another attempt before the lease expires. The
            // jitter of 10 % keeps processes from calling the service at the same moment.
            const intervalMs = this.leaseId === undefined ? this.ttlMs / 2 : this.ttlMs / 3;
            await sleep(intervalMs * (0.9 + Math.random() / 5), signal);
        }
    }

    private async tryAcquire(): Promise<void> {
        const { store, key, processId } = this.options;
        if (this.options.isCandidate?.() === false) return;
        const current = await store.get(key);
        if (current.isErr() || current.value !== undefined) return;
        // The service may start the lease any time after the request, so the expiry counts from the request.
        const requestedAtMs = Date.now();
        const lease = await store.grantLease(this.ttlMs);
        if (lease.isErr()) return;
        const { leaseId } = lease.value;
        const committed = await store.commit({
            compare: [{ key, modRevision: 0 }],
            puts: [{ key, value: processId, leaseId }],
        });
        if (committed.isOk() && committed.value.succeeded) {
            this.leaseId = leaseId;
            this.expiresAtMs = requestedAtMs + this.ttlMs;
            return;
        }
        // If the commit's response was lost, revoking the lease also removes the key that was possibly written.
        await store.revokeLease(leaseId);
    }

    private async renew(): Promise<void> {
        const requestedAtMs = Date.now();
        const renewed = await this.options.store.keepLeaseAlive(this.leaseId!);
        if (renewed.isErr()) {
            if (!this.isHeld) this.leaseId = undefined;
            return;
        }
        if (renewed.value === undefined) this.leaseId = undefined;
        else this.expiresAtMs = requestedAtMs + this.ttlMs;
    }
}
