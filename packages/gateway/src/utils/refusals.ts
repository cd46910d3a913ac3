import type { Refusal } from "@skylarkmill/protocol";

/** Retry delay sent while this gateway has no current configuration; a failed server is replaced in about this time. */
const NO_CONFIGURATION_RETRY_MS = 500;
/** Retry delay sent while there is no memory for a body; requests end continually, and other gateways may have room. */
const NO_MEMORY_RETRY_MS = 500;
/** Random addition to a retry delay, as a share of it, so that callers refused together don't retry together. */
const RETRY_JITTER_SHARE = 0.3;

function addJitter(retryAfterMs: number): number {
    return Math.round(retryAfterMs * (1 + Math.random() * RETRY_JITTER_SHARE));
}

/** Refusals of the gateway; status 503 states that the request has not run and will not run. */
export const refusals = {
    noConfiguration: (): Refusal => ({
        status: 503,
        type: "unavailable_error",
        code: "no_configuration",
        message: "This gateway knows no configuration yet.",
        execution: "not_run",
        retryAfterMs: addJitter(NO_CONFIGURATION_RETRY_MS),
    }),
    noRoute: (): Refusal => ({
        status: 404,
        type: "invalid_request_error",
        code: "no_route",
        message: "No route serves this host and path.",
        execution: "not_run",
    }),
    routeUnconfirmed: (): Refusal => ({
        status: 503,
        type: "unavailable_error",
        code: "route_unconfirmed",
        message: "No known route serves this host and path, and the configuration may be out of date.",
        execution: "not_run",
        retryAfterMs: addJitter(NO_CONFIGURATION_RETRY_MS),
    }),
    invalidRequest: (message: string, status = 400): Refusal => ({
        status,
        type: "invalid_request_error",
        code: "invalid_request",
        message,
        execution: "not_run",
    }),
    unavailable: (code: string, retryAfterMs: number): Refusal => ({
        status: 503,
        type: "overloaded_error",
        code,
        message: "No backend server can take the request in time.",
        execution: "not_run",
        retryAfterMs: addJitter(retryAfterMs),
    }),
    noMemory: (): Refusal => ({
        status: 503,
        type: "overloaded_error",
        code: "no_memory",
        message: "This gateway has no memory for the request's body.",
        execution: "not_run",
        retryAfterMs: addJitter(NO_MEMORY_RETRY_MS),
    }),
    suspectPrompt: (retryAfterMs: number): Refusal => ({
        status: 503,
        type: "unavailable_error",
        code: "suspect_prompt",
        message: "Engines ended before they answered requests with a part of this prompt.",
        execution: "not_run",
        retryAfterMs: addJitter(retryAfterMs),
    }),
    backendLost: (): Refusal => ({
        status: 502,
        type: "backend_error",
        code: "backend_lost",
        message: "The backend server's answer was lost; the request may have run.",
        execution: "unknown",
    }),
    deadlineExceeded: (): Refusal => ({
        status: 504,
        type: "timeout_error",
        code: "deadline_exceeded",
        message: "No answer arrived within the time allowed; the request may have run.",
        execution: "unknown",
    }),
};
