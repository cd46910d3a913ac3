import type { Refusal } from "@skylarkmill/protocol";

/** Retry delay sent while this gateway has no current configuration; a failed server is replaced in about this time. */
const NO_CONFIGURATION_RETRY_MS = 500;
/** Retry delay sent while there is no memory for a body; requests end continually, and other gateways may have room. */
const NO_MEMORY_RETRY_MS = 500;
/** Retry delay sent to a caller whose connection is older than the limit that its request needs; a new one is not. */
const NEW_CONNECTION_RETRY_MS = 50;
/** Shortest retry delay for a use of a quota; an answer of the holder takes several milliseconds. */
const MIN_QUOTA_RETRY_MS = 50;
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
    unknownKey: (): Refusal => ({
        status: 401,
        type: "authentication_error",
        code: "unknown_key",
        message: "The request has no key that a workspace of this deployment accepts.",
        execution: "not_run",
    }),
    keyUnconfirmed: (): Refusal => ({
        status: 503,
        type: "unavailable_error",
        code: "key_unconfirmed",
        message: "No known workspace accepts the request's key, and the configuration may be out of date.",
        execution: "not_run",
        retryAfterMs: addJitter(NO_CONFIGURATION_RETRY_MS),
    }),
    quotaExceeded: (roomInMs: number | undefined): Refusal => ({
        status: 429,
        type: "overloaded_error",
        code: "quota_exceeded",
        message: "The workspace has used its quota.",
        execution: "not_run",
        ...(roomInMs === undefined ? {} : { retryAfterMs: addJitter(Math.max(MIN_QUOTA_RETRY_MS, roomInMs)) }),
    }),
    invalidRequest: (message: string, status = 400): Refusal => ({
        status,
        type: "invalid_request_error",
        code: "invalid_request",
        message,
        execution: "not_run",
    }),
    headTimeout: (timeoutMs: number): Refusal => ({
        status: 408,
        type: "timeout_error",
        code: "head_timeout",
        message: `The request's head did not arrive within ${timeoutMs} ms.`,
        execution: "not_run",
    }),
    bodyTimeout: (): Refusal => ({
        status: 408,
        type: "timeout_error",
        code: "body_timeout",
        message: "The request's body did not arrive before its deadline.",
        execution: "not_run",
    }),
    headTooLarge: (maxBytes: number): Refusal => ({
        status: 431,
        type: "invalid_request_error",
        code: "head_too_large",
        message: `The request's head is longer than ${maxBytes} bytes.`,
        execution: "not_run",
    }),
    headLimitRaised: (): Refusal => ({
        status: 503,
        type: "unavailable_error",
        code: "head_limit_raised",
        message: "The connection was opened under a lower limit for heads; a new one has the current limit.",
        execution: "not_run",
        retryAfterMs: addJitter(NEW_CONNECTION_RETRY_MS),
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
        message: "This gateway has no memory for the request.",
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
    refusalUnconfirmed: (): Refusal => ({
        status: 502,
        type: "backend_error",
        code: "refusal_unconfirmed",
        message: "The backend server refused the request and did not state that it has not run; it may have run.",
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

/** Creates the headers of a refusal, names and values in turn. */
export function createRefusalHeaders({ retryAfterMs }: Refusal): string[] {
    const headers = ["content-type", "application/json"];
    // Callers accept fractions of a second here, and those close to their deadline need them.
    if (retryAfterMs !== undefined) headers.push("retry-after", (retryAfterMs / 1_000).toFixed(3));
    return headers;
}
