import { create } from "@bufbuild/protobuf";
import {
    type AcquirePermitRequest,
    type AcquirePermitResponse,
    AcquirePermitResponseSchema,
} from "@skylarkmill/protocol";
import { randomUUID } from "node:crypto";
import type { PermitBroker, PermitLimit } from "../types/permits.ts";

export interface PermitBrokerOptions {
    readonly limits: () => readonly PermitLimit[];
    /** Time after which a permit that was not released is free again. @default 120000 */
    readonly permitTtlMs?: number;
}

const DEFAULT_PERMIT_TTL_MS = 120_000;
/** A process that was refused is taken to wait still for this long; it asks again sooner. */
const WAITER_TTL_MS = 500;
const MIN_RETRY_AFTER_MS = 2;
const MAX_RETRY_AFTER_MS = 200;

/**
 * Creates the broker of the shared soft limits.
 *
 * @example
 * const broker = createPermitBroker({ limits: () => [{ kind: "model_load", ratePerSecond: 3.5, maxInFlight: 4 }] });
 */
export function createPermitBroker(options: PermitBrokerOptions): PermitBroker {
    return new TokenPermitBroker(options.limits, options.permitTtlMs ?? DEFAULT_PERMIT_TTL_MS);
}

interface Waiter {
    readonly urgency: number;
    readonly sinceMs: number;
    lastAskedAtMs: number;
}

/** State of one kind of limit. */
class LimitState {
    readonly permits = new Map<string, number>();
    readonly waiters = new Map<string, Waiter>();
    private tokens: number;
    private refilledAtMs: number;

    constructor(nowMs: number) {
        this.tokens = 1;
        this.refilledAtMs = nowMs;
    }

    /** Milliseconds until a token is there; 0 when there is one. */
    refill(limit: PermitLimit, nowMs: number): number {
        if (limit.ratePerSecond === undefined) return 0;
        // The clock may have stepped back, or the state be newer than the caller's reading of it.
        const gained = (Math.max(0, nowMs - this.refilledAtMs) / 1000) * limit.ratePerSecond;
        this.refilledAtMs = nowMs;
        // A burst beyond one token would exceed the rate of the weight store within that second.
        this.tokens = Math.min(1, this.tokens + gained);
        return this.tokens >= 1 ? 0 : ((1 - this.tokens) / limit.ratePerSecond) * 1000;
    }

    takeToken(limit: PermitLimit): void {
        if (limit.ratePerSecond !== undefined) this.tokens -= 1;
    }

    expire(nowMs: number): void {
        for (const [permitId, expiresAtMs] of this.permits) {
            if (expiresAtMs <= nowMs) this.permits.delete(permitId);
        }
        for (const [processId, waiter] of this.waiters) {
            if (waiter.lastAskedAtMs + WAITER_TTL_MS <= nowMs) this.waiters.delete(processId);
        }
    }

    /** Number of other processes that go before this one. */
    countAhead(processId: string, own: Waiter): number {
        let count = 0;
        for (const [otherId, other] of this.waiters) {
            if (otherId === processId) continue;
            if (other.urgency < own.urgency) count += 1;
            else if (other.urgency === own.urgency && other.sinceMs < own.sinceMs) count += 1;
        }
        return count;
    }
}

class TokenPermitBroker implements PermitBroker {
    private readonly states = new Map<string, LimitState>();

    constructor(private readonly limits: () => readonly PermitLimit[], private readonly permitTtlMs: number) {}

    acquire(request: AcquirePermitRequest): Promise<AcquirePermitResponse> {
        const limit = this.limits().find(({ kind }) => kind === request.kind);
        if (limit === undefined) return Promise.resolve(this.grant(this.stateOf(request.kind)));
        const nowMs = Date.now();
        const state = this.stateOf(request.kind);
        state.expire(nowMs);
        const tokenWaitMs = state.refill(limit, nowMs);
        const waiter = state.waiters.get(request.processId)
            ?? { urgency: request.urgency, sinceMs: nowMs, lastAskedAtMs: nowMs };
        const ahead = state.countAhead(request.processId, waiter);
        const free = limit.maxInFlight - state.permits.size;
        // There is never more than one token, so with a rate a single process ahead takes it.
        const available = limit.ratePerSecond === undefined ? free : Math.min(free, 1);
        if (tokenWaitMs > 0 || available <= ahead) {
            waiter.lastAskedAtMs = nowMs;
            state.waiters.set(request.processId, { ...waiter, urgency: request.urgency });
            return Promise.resolve(refuse(tokenWaitMs));
        }
        state.takeToken(limit);
        state.waiters.delete(request.processId);
        return Promise.resolve(this.grant(state));
    }

    release(permitId: string): void {
        for (const state of this.states.values()) state.permits.delete(permitId);
    }

    private stateOf(kind: string): LimitState {
        const state = this.states.get(kind) ?? new LimitState(Date.now());
        this.states.set(kind, state);
        return state;
    }

    private grant(state: LimitState): AcquirePermitResponse {
        const permitId = randomUUID();
        state.permits.set(permitId, Date.now() + this.permitTtlMs);
        return create(AcquirePermitResponseSchema, { granted: true, permitId, expiresMs: this.permitTtlMs });
    }
}

function refuse(tokenWaitMs: number): AcquirePermitResponse {
    const retryAfterMs = Math.ceil(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, tokenWaitMs)));
    return create(AcquirePermitResponseSchema, { granted: false, retryAfterMs });
}
