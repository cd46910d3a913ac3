import type { Route } from "../types/configuration.ts";
import type { CallerRequest } from "../types/engine.ts";

/** A response that a backend server sends at the deadline arrives at most this much later. */
export const DEADLINE_GRACE_MS = 40;
/** No attempt is started with less remaining time than this. */
export const MIN_ATTEMPT_MS = 20;
/**
 * Time that a model engine needs at least from an attempt to the first event; a request that waits longer is refused, so
 * that its caller can try again before it gives up.
 */
export const MIN_FIRST_EVENT_MS = 150;
/** Interval at which a waiting request searches for a server, in addition to changes of the directory. */
export const WAIT_CHECK_MS = 100;
/**
 * Longest wait for a server on a streaming route if the planner gives no estimate, as a share of the caller's
 * first-byte timeout.
 */
const STREAM_WAIT_SHARE = 0.6;
/** The same for a route that is not streaming, as a share of the target latency. */
const NON_STREAMING_WAIT_SHARE = 0.5;
/** Largest part of a request's time that is left for the server when the request waits for a place in its rate. */
const RESERVED_RUN_SHARE = 0.25;
/** Silence timeout of an attempt on a route that is not streaming, as a share of the request's timeout. */
const NON_STREAMING_SILENCE_SHARE = 0.6;
/** Silence timeout of a stream before its first event, as a multiple of the target latency. */
const FIRST_EVENT_LATENCY_FACTOR = 2;
const MIN_FIRST_EVENT_TIMEOUT_MS = 700;
/**
 * Callers abandon a stream after a pause of two seconds or more; a stream is resumed at another server well before
 * that.
 */
const PAUSE_TIMEOUT_MS = 900;

/** Deadlines and timeouts of one request; times are on the monotonic clock. */
export interface RequestTiming {
    readonly startedAtMs: number;
    readonly deadlineAtMs: number;
    /** Time until which the caller waits for the first byte. */
    readonly firstByteDeadlineAtMs: number;
    /** Time until which the request waits for a server if the planner gives no estimate. */
    readonly waitDeadlineAtMs: number;
    /** Part of the time that is left for the server by a request that waits for a place in its rate. */
    readonly reservedRunMs: number;
    /** Silence before the first event or response after which a retryable attempt is abandoned. */
    readonly firstSilenceTimeoutMs: number;
    /** Silence between two events after which a stream is resumed at another server. */
    readonly pauseTimeoutMs: number;
}

/**
 * Computes the deadlines and timeouts of a request from its route and the caller's deadline.
 *
 * @example
 * const timing = computeRequestTiming(route, request, nowMs());
 */
export function computeRequestTiming(route: Route, request: CallerRequest, startedAtMs: number): RequestTiming {
    const limitMs = Math.min(route.timeoutMs, request.deadlineMs ?? route.timeoutMs);
    const isNonStreaming = route.kind !== "streaming";
    const firstByteMs = Math.min(limitMs, route.callerSilenceTimeoutMs ?? limitMs);
    const waitMs = isNonStreaming ? NON_STREAMING_WAIT_SHARE * route.targetLatencyMs : STREAM_WAIT_SHARE * firstByteMs;
    const firstSilenceTimeoutMs = isNonStreaming
        ? NON_STREAMING_SILENCE_SHARE * limitMs
        : Math.max(MIN_FIRST_EVENT_TIMEOUT_MS, FIRST_EVENT_LATENCY_FACTOR * route.targetLatencyMs);
    return {
        startedAtMs,
        deadlineAtMs: startedAtMs + limitMs,
        firstByteDeadlineAtMs: startedAtMs + firstByteMs,
        reservedRunMs: Math.min(route.targetLatencyMs, RESERVED_RUN_SHARE * firstByteMs),
        waitDeadlineAtMs: startedAtMs + Math.min(waitMs, limitMs),
        firstSilenceTimeoutMs,
        pauseTimeoutMs: PAUSE_TIMEOUT_MS,
    };
}
