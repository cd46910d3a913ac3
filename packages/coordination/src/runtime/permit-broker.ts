import { create } from "@bufbuild/protobuf";
import {
    type AcquirePermitRequest,
    type AcquirePermitResponse,
    AcquirePermitResponseSchema,
} from "@skylarkmill/protocol";
import { randomUUID } from "node:crypto";
import type { PermitBroker, PermitLimit } from "../types/permits.ts";

export interface PermitBrokerOptions {
    /** Returns the current limits; a permit of a kind without a limit is always granted. */
    readonly limits: () => readonly PermitLimit[];
    /** Time after which a permit that was not released expires. @default 120000 */
    readonly permitTtlMs?: number;
}

const DEFAULT_PERMIT_TTL_MS = 120_000;
/**
 * Time after its last request for which a refused process counts as waiting. It is longer than `MAX_RETRY_AFTER_MS`,
 * so that a process that is still waiting retries before it.
 */
const WAITER_TTL_MS = 500;
/** Bounds of the delay after which a refused process is told to retry. */
const MIN_RETRY_AFTER_MS = 2;
const MAX_RETRY_AFTER_MS = 200;

/**
 * Creates a broker that grants permits within limits shared by all processes. The limits are soft: they can be
 * exceeded while processes use their static shares, or when a permit expires before its operation has ended.
 *
 * @example
 * const broker = createPermitBroker({ limits: () => [{ kind: "model_load", ratePerSecond: 3.5, maxInFlight: 4 }] });
 */
export function createPermitBroker(options: PermitBrokerOptions): PermitBroker {
    return new TokenBucketPermitBroker(options.limits, options.permitTtlMs ?? DEFAULT_PERMIT_TTL_MS);
}

/** A refused process that is expected to retry. */
interface Waiter {
    readonly urgency: number;
    readonly waitingSinceMs: number;
    lastRequestAtMs: number;
}

/** Token bucket, granted permits and waiting processes of one kind of permit. */
class LimitState {
    /** Expiry times in milliseconds since 1970, by permit id. */
    readonly permitExpiries = new Map<string, number>();
    /** Waiting processes by process id. */
    readonly waiters = new Map<string, Waiter>();
    private tokens: number;
    private refilledAtMs: number;

    constructor(nowMs: number) {
        this.tokens = 1;
        this.refilledAtMs = nowMs;
    }

    /** Adds the tokens gained since the last refill; returns the milliseconds until a token is available. */
    refillTokens(limit: PermitLimit, nowMs: number): number {
        if (limit.ratePerSecond === undefined) return 0;
        // `nowMs` may be before the last refill if the clock was set back or the state was created after reading it.
        const addedTokens = (Math.max(0, nowMs - this.refilledAtMs) / 1000) * limit.ratePerSecond;
        this.refilledAtMs = nowMs;
        // The bucket holds one token, since a burst would exceed the weight store's rate within that second.
        this.tokens = Math.min(1, this.tokens + addedTokens);
        return this.tokens >= 1 ? 0 : ((1 - this.tokens) / limit.ratePerSecond) * 1000;
    }

    consumeToken(limit: PermitLimit): void {
        if (limit.ratePerSecond !== undefined) this.tokens -= 1;
    }

    /** Removes expired permits and processes that stopped retrying. */
    removeExpired(nowMs: number): void {
        for (const [permitId, expiresAtMs] of this.permitExpiries) {
            if (expiresAtMs <= nowMs) this.permitExpiries.delete(permitId);
        }
        for (const [processId, waiter] of this.waiters) {
            if (waiter.lastRequestAtMs + WAITER_TTL_MS <= nowMs) this.waiters.delete(processId);
        }
    }

    /** Counts the waiting processes that have precedence: more urgent, or as urgent and waiting for longer. */
    countWaitersAhead(processId: string, ownWaiter: Waiter): number {
        let count = 0;
        for (const [otherId, other] of this.waiters) {
            if (otherId === processId) continue;
            if (other.urgency < ownWaiter.urgency) count += 1;
            else if (other.urgency === ownWaiter.urgency && other.waitingSinceMs < ownWaiter.waitingSinceMs) count += 1;
        }
        return count;
    }
}

class TokenBucketPermitBroker implements PermitBroker {
    private readonly states = new Map<string, LimitState>();

    constructor(private readonly limits: () => readonly PermitLimit[], private readonly permitTtlMs: number) {}

    acquire(request: AcquirePermitRequest): Promise<AcquirePermitResponse> {
        const limit = this.limits().find(({ kind }) => kind === request.kind);
        if (limit === undefined) return Promise.resolve(this.grantPermit(this.getState(request.kind)));
        const nowMs = Date.now();
        const state = this.getState(request.kind);
        state.removeExpired(nowMs);
        const tokenWaitMs = state.refillTokens(limit, nowMs);
        const waiter = state.waiters.get(request.processId)
            ?? { urgency: request.urgency, waitingSinceMs: nowMs, lastRequestAtMs: nowMs };
        const waitersAhead = state.countWaitersAhead(request.processId, waiter);
        const freePermits = limit.maxInFlight - state.permitExpiries.size;
        // With a rate limit there is at most one token, so a single waiter with precedence uses it up.
        const availablePermits = limit.ratePerSecond === undefined ? freePermits : Math.min(freePermits, 1);
        if (tokenWaitMs > 0 || availablePermits <= waitersAhead) {
            waiter.lastRequestAtMs = nowMs;
            state.waiters.set(request.processId, { ...waiter, urgency: request.urgency });
            return Promise.resolve(createRefusal(tokenWaitMs));
        }
        state.consumeToken(limit);
        state.waiters.delete(request.processId);
        return Promise.resolve(this.grantPermit(state));
    }

    release(permitId: string): void {
        for (const state of this.states.values()) state.permitExpiries.delete(permitId);
    }

    private getState(kind: string): LimitState {
        const state = this.states.get(kind) ?? new LimitState(Date.now());
        this.states.set(kind, state);
        return state;
    }

    private grantPermit(state: LimitState): AcquirePermitResponse {
        const permitId = randomUUID();
        state.permitExpiries.set(permitId, Date.now() + this.permitTtlMs);
        return create(AcquirePermitResponseSchema, { granted: true, permitId, expiresMs: this.permitTtlMs });
    }
}

function createRefusal(tokenWaitMs: number): AcquirePermitResponse {
    const retryAfterMs = Math.ceil(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, tokenWaitMs)));
    return create(AcquirePermitResponseSchema, { granted: false, retryAfterMs });
}
