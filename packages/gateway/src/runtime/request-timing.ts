import type { Route } from "../types/catalog.ts";
import type { CallerRequest } from "../types/engine.ts";

/** A backend server's own answer at the deadline arrives this much later at most. */
export const DEADLINE_GRACE_MS = 40;
/** Less remaining time than this is not worth another attempt. */
export const MIN_ATTEMPT_MS = 20;
/** Interval at which a waiting request looks for a server again, beside changes of the directory. */
export const WAIT_CHECK_MS = 100;
/** Share of its caller's patience that a request may wait while the planner promises nothing. */
const UNKNOWN_WAIT_SHARE = 0.6;
/** Share of its target latency that a request of a plain service waits for a server. */
const PLAIN_WAIT_SHARE = 0.5;
/** An attempt at a plain service counts as lost after this share of the route's timeout. */
const PLAIN_SILENCE_SHARE = 0.6;
/** A stream without a first event counts as lost after this many times its target latency. */
const FIRST_EVENT_TARGETS = 2;
const MIN_FIRST_EVENT_MS = 700;
/** Callers leave a stream after a pause of two seconds or more; a stream is moved well before. */
const MAX_PAUSE_MS = 900;

/** Times of one request, on the steady clock. */
export interface RequestTiming {
    readonly startedAtMs: number;
    readonly deadlineAtMs: number;
    /** Time until which the caller waits for a first byte. */
    readonly firstByteUntilMs: number;
    /** Latest time to wait for a server that the planner does not promise. */
    readonly waitUntilMs: number;
    /** Silence before the first event or answer after which a repeatable attempt is given up. */
    readonly firstSilenceMs: number;
    readonly pauseMs: number;
}

/**
 * Derives the times of a request from its route and the caller's own deadline.
 *
 * @example
 * const timing = timeRequest(route, request, nowMs());
 */
export function timeRequest(route: Route, request: CallerRequest, startedAtMs: number): RequestTiming {
    const limitMs = Math.min(route.timeoutMs, request.deadlineMs ?? route.timeoutMs);
    const isPlain = route.kind !== "streaming";
    const firstByteMs = Math.min(limitMs, route.callerPatienceMs ?? limitMs);
    const waitMs = isPlain ? PLAIN_WAIT_SHARE * route.targetLatencyMs : UNKNOWN_WAIT_SHARE * firstByteMs;
    const firstSilenceMs = isPlain
        ? PLAIN_SILENCE_SHARE * limitMs
        : Math.max(MIN_FIRST_EVENT_MS, FIRST_EVENT_TARGETS * route.targetLatencyMs);
    return {
        startedAtMs,
        deadlineAtMs: startedAtMs + limitMs,
        firstByteUntilMs: startedAtMs + firstByteMs,
        waitUntilMs: startedAtMs + Math.min(waitMs, limitMs),
        firstSilenceMs,
        pauseMs: MAX_PAUSE_MS,
    };
}
