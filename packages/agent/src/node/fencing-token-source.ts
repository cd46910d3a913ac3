import { KEYS } from "@skylarkmill/config";
import type { KeyValueStore } from "@skylarkmill/coordination";
import {
    ConflictError,
    ProtocolError,
    RefusedError,
    type ServerId,
    type SkylarkmillError,
} from "@skylarkmill/protocol";
import { err, ok, type Result, ResultAsync } from "neverthrow";

/**
 * Number of fencing tokens per agent start. The token is the start number, which alone is stored, times this number
 * plus the local count of loads with an unknown outcome. At this count, the tokens would reach those of the next start.
 */
const TOKENS_PER_START = 1_000_000;

interface StoredStartNumber {
    readonly startNumber: number;
    readonly modRevision: number;
}

/**
 * Issues the fencing token for the orders to this server's engine. The token combines the number of the agent's
 * start, stored in the key-value service, with a local counter that can be incremented during an outage of the service.
 *
 * @example
 * const fencing = new FencingTokenSource(store, serverId);
 * await fencing.claimStartNumber();
 * control.load({ ...order, fencingToken: fencing.token });
 */
export class FencingTokenSource {
    private startNumber = 0;
    private localIncrementCount = 0;

    constructor(private readonly store: KeyValueStore, private readonly serverId: ServerId) {}

    get token(): number {
        return this.startNumber * TOKENS_PER_START + this.localIncrementCount;
    }

    /** Whether an earlier agent process of this server may have sent orders. */
    get hasPredecessor(): boolean {
        return this.startNumber > 1;
    }

    /** Increments the token of later orders without the key-value service. */
    incrementLocally(): void {
        this.localIncrementCount += 1;
    }

    /**
     * Claims the next start number by compare-and-swap. A number whose write had no response is skipped.
     * Fails with `ConflictError` when another process claimed a number at the same time.
     */
    claimStartNumber(): ResultAsync<void, SkylarkmillError> {
        return new ResultAsync(this.claimNextNumber(() => true));
    }

    /**
     * Claims the next start number after the engine refused a token: the key-value service may have been restored
     * from data older than the engine's token. Fails with `RefusedError` when another agent has claimed a number since.
     */
    claimStartNumberAfterRefusal(): ResultAsync<void, SkylarkmillError> {
        return new ResultAsync(this.claimNextNumber(stored => stored <= this.startNumber));
    }

    private async claimNextNumber(canClaim: (stored: number) => boolean): Promise<Result<void, SkylarkmillError>> {
        const key = KEYS.fence(this.serverId);
        const current = await this.readStored(key);
        if (current.isErr()) return err(current.error);
        const { startNumber, modRevision } = current.value;
        const context = { step: "fence.raise", peer: "key-value-service" };
        if (!canClaim(startNumber)) return err(new RefusedError("Another agent has claimed a newer token.", context));
        const next = Math.max(startNumber, this.startNumber) + 1;
        const committed = await this.store.commit({
            compare: [{ key, modRevision }],
            puts: [{ key, value: String(next) }],
        });
        if (committed.isErr()) return err(committed.error);
        if (!committed.value.succeeded) return err(new ConflictError(`${key} changed during the update.`, context));
        this.startNumber = next;
        this.localIncrementCount = 0;
        return ok(undefined);
    }

    private async readStored(key: string): Promise<Result<StoredStartNumber, SkylarkmillError>> {
        const current = await this.store.get(key);
        if (current.isErr()) return err(current.error);
        const startNumber = Number(current.value?.value ?? 0);
        if (!Number.isSafeInteger(startNumber) || startNumber < 0) {
            const context = { step: "fence.read", peer: "key-value-service" };
            return err(new ProtocolError(`${key} does not contain a non-negative integer.`, context));
        }
        return ok({ startNumber, modRevision: current.value?.modRevision ?? 0 });
    }
}
