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

/** Unanswered orders between two starts that can be told apart; the stored number counts starts. */
const TOKENS_PER_START = 1_000_000;

interface StoredFence {
    readonly number: number;
    readonly modRevision: number;
}

/**
 * The fencing token of this server's orders: the number of the agent's start, kept in the key-value
 * service, followed by a count that the agent raises itself, also while the service is down.
 *
 * @example
 * const fencing = new Fencing(store, serverId);
 * await fencing.raise();
 * control.load({ ...order, fencingToken: fencing.token });
 */
export class Fencing {
    private startNumber = 0;
    private orderCount = 0;

    constructor(private readonly store: KeyValueStore, private readonly serverId: ServerId) {}

    get token(): number {
        return this.startNumber * TOKENS_PER_START + this.orderCount;
    }

    /** An agent of this server has sent orders before this one. */
    get hasPredecessor(): boolean {
        return this.startNumber > 1;
    }

    /** Raises the token of later orders without the key-value service. */
    raiseLocally(): void {
        this.orderCount += 1;
    }

    /**
     * Takes the next number by compare-and-swap; one that a lost answer leaves unused is skipped.
     * `ConflictError`: another process raised it at the same time.
     */
    raise(): ResultAsync<void, SkylarkmillError> {
        return new ResultAsync(this.take(() => true));
    }

    /**
     * After the engine refused a token: takes the next number, unless another agent has taken one since.
     * The service may hold older data than the engine has seen. `RefusedError`: another agent is in charge.
     */
    raiseAfterRefusal(): ResultAsync<void, SkylarkmillError> {
        return new ResultAsync(this.take(stored => stored <= this.startNumber));
    }

    private async take(mayRaise: (stored: number) => boolean): Promise<Result<void, SkylarkmillError>> {
        const key = KEYS.fence(this.serverId);
        const current = await this.read(key);
        if (current.isErr()) return err(current.error);
        const { number, modRevision } = current.value;
        const context = { step: "fence.raise", peer: "key-value-service" };
        if (!mayRaise(number)) return err(new RefusedError("Another agent orders this server's engine.", context));
        const next = Math.max(number, this.startNumber) + 1;
        const committed = await this.store.commit({
            compare: [{ key, modRevision }],
            puts: [{ key, value: String(next) }],
        });
        if (committed.isErr()) return err(committed.error);
        if (!committed.value.succeeded) return err(new ConflictError(`${key} changed meanwhile.`, context));
        this.startNumber = next;
        this.orderCount = 0;
        return ok(undefined);
    }

    private async read(key: string): Promise<Result<StoredFence, SkylarkmillError>> {
        const current = await this.store.get(key);
        if (current.isErr()) return err(current.error);
        const number = Number(current.value?.value ?? 0);
        if (!Number.isSafeInteger(number) || number < 0) {
            const context = { step: "fence.read", peer: "key-value-service" };
            return err(new ProtocolError(`${key} does not hold a number.`, context));
        }
        return ok({ number, modRevision: current.value?.modRevision ?? 0 });
    }
}
