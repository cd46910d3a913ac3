import type { ProcessId } from "@skylarkmill/protocol";
import type { DutyLease } from "../types/duty-lease.ts";
import type { KeyValueStore } from "../types/key-value-store.ts";
import { type Logger, silentLogger } from "../types/logger.ts";
import { sleep } from "../utils/sleep.ts";

export interface DutyLeaseOptions {
    readonly store: KeyValueStore;
    /** Key that the holder writes. */
    readonly key: string;
    readonly processId: ProcessId;
    /** Whether this process tries to take the duty; only few should. @default () => true */
    readonly isCandidate?: () => boolean;
    /** Time after which a silent holder loses the duty. @default 10000 */
    readonly ttlMs?: number;
    /** @default silent */
    readonly logger?: Logger;
}

const DEFAULT_TTL_MS = 10_000;

/**
 * Creates the claim of this process on a duty.
 *
 * @example
 * const duty = createDutyLease({ store, key: "/app/duties/placement", processId });
 * duty.start();
 * if (duty.held) { ... }
 */
export function createDutyLease(options: DutyLeaseOptions): DutyLease {
    return new LeasedDuty(options);
}

class LeasedDuty implements DutyLease {
    private readonly abort = new AbortController();
    private readonly ttlMs: number;
    private readonly logger: Logger;
    private leaseId: string | undefined;
    private expiresAtMs = 0;
    private task: Promise<void> | undefined;

    constructor(private readonly options: DutyLeaseOptions) {
        this.ttlMs = options.ttlMs ?? DEFAULT_TTL_MS;
        this.logger = options.logger ?? silentLogger;
    }

    get held(): boolean {
        return this.leaseId !== undefined && Date.now() < this.expiresAtMs;
    }

    start(): void {
        this.task = this.run();
    }

    async stop(): Promise<void> {
        this.abort.abort();
        await this.task;
        if (this.leaseId !== undefined) await this.options.store.revokeLease(this.leaseId);
        this.leaseId = undefined;
    }

    private async run(): Promise<void> {
        const { signal } = this.abort;
        while (!signal.aborted) {
            const wasHeld = this.held;
            if (this.leaseId === undefined) await this.tryTake();
            else await this.renew();
            if (wasHeld !== this.held) {
                this.logger.info({ step: "duty", duty: this.options.key, held: this.held }, "duty changed hands");
            }
            const intervalMs = this.leaseId === undefined ? this.ttlMs / 2 : this.ttlMs / 3;
            await sleep(intervalMs * (0.9 + Math.random() / 5), signal);
        }
    }

    private async tryTake(): Promise<void> {
        const { store, key, processId } = this.options;
        if (this.options.isCandidate?.() === false) return;
        const current = await store.get(key);
        if (current.isErr() || current.value !== undefined) return;
        // The time of asking, not of the answer, bounds how long the lease lasts.
        const askedAtMs = Date.now();
        const lease = await store.grantLease(this.ttlMs);
        if (lease.isErr()) return;
        const { leaseId } = lease.value;
        const taken = await store.commit({
            compare: [{ key, modRevision: 0 }],
            puts: [{ key, value: processId, leaseId }],
        });
        if (taken.isOk() && taken.value.succeeded) {
            this.leaseId = leaseId;
            this.expiresAtMs = askedAtMs + this.ttlMs;
            return;
        }
        // After a lost answer the revocation also removes the key that the write may have left.
        await store.revokeLease(leaseId);
    }

    private async renew(): Promise<void> {
        const askedAtMs = Date.now();
        const renewed = await this.options.store.keepLeaseAlive(this.leaseId!);
        if (renewed.isErr()) {
            if (!this.held) this.leaseId = undefined;
            return;
        }
        if (renewed.value === undefined) this.leaseId = undefined;
        else this.expiresAtMs = askedAtMs + this.ttlMs;
    }
}
