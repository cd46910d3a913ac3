import type { Execution, Refusal, RefusalType } from "@skylarkmill/protocol";

/** Retry delay sent while there is no memory for a request; requests end continually, and other routers may have room. */
const NO_MEMORY_RETRY_MS = 500;

function createInvalidRequestRefusal(status: number, code: string, message: string): Refusal {
    return { status, type: "invalid_request_error", code, message, execution: "not_run" };
}

function createRefusal(
    status: number,
    type: RefusalType,
    code: string,
    message: string,
    execution: Execution,
): Refusal {
    return { status, type, code, message, execution };
}

/** Creates the refusals that a router originates itself. */
export const refusals = {
    notJson: () => createInvalidRequestRefusal(400, "not_json", "The body is not a JSON object."),
    missingModel: () =>
        createInvalidRequestRefusal(400, "model_missing", 'The body must name a model in the string field "model".'),
    badTimeout: (value: string) =>
        createInvalidRequestRefusal(
            400,
            "bad_timeout",
            `X-Request-Timeout-Ms is ${quote(value)}; accepted: an integer from 1 to 600000.`,
        ),
    badRequestId: () =>
        createInvalidRequestRefusal(
            400,
            "bad_request_id",
            "X-Request-Id must have 1 to 128 characters of A-Z a-z 0-9 . _ : -.",
        ),
    badIdempotencyKey: () =>
        createInvalidRequestRefusal(
            400,
            "bad_idempotency_key",
            "Idempotency-Key must have 1 to 255 visible ASCII characters.",
        ),
    unknownModel: (name: string) =>
        createInvalidRequestRefusal(404, "model_not_found", `Model ${quote(name)} is not offered.`),
    unknownService: (name: string) =>
        createInvalidRequestRefusal(404, "service_not_found", `Service ${quote(name)} is not offered.`),
    unknownPath: (path: string) =>
        createInvalidRequestRefusal(404, "path_not_found", `Path ${quote(path)} does not exist.`),
    methodNotAllowed: (method: string) =>
        createInvalidRequestRefusal(405, "method_not_allowed", `Method ${method} is not accepted here.`),
    bodyTooLarge: (maxBytes: number) =>
        createInvalidRequestRefusal(413, "body_too_large", `The body is longer than ${maxBytes} bytes.`),
    headersTooLarge: (maxBytes: number) =>
        createInvalidRequestRefusal(431, "headers_too_large", `The request headers are longer than ${maxBytes} bytes.`),
    headersTimeout: (timeoutMs: number) =>
        createRefusal(
            408,
            "timeout_error",
            "headers_timeout",
            `The request headers did not arrive within ${timeoutMs} ms.`,
            "not_run",
        ),
    noMemory: (): Refusal => ({
        ...createRefusal(
            503,
            "overloaded_error",
            "no_memory",
            "This router has no memory for the request.",
            "not_run",
        ),
        retryAfterMs: NO_MEMORY_RETRY_MS,
    }),
    malformedRequest: () => createInvalidRequestRefusal(400, "malformed_request", "The request is not valid HTTP/1.1."),
    bodyTimeout: () =>
        createRefusal(408, "timeout_error", "body_timeout", "The body did not arrive before the deadline.", "not_run"),
    idempotencyKeyReused: () =>
        createInvalidRequestRefusal(
            422,
            "idempotency_key_reused",
            "The Idempotency-Key was used before with a different request.",
        ),
    requestInProgress: (): Refusal => ({
        ...createRefusal(
            409,
            "conflict_error",
            "request_in_progress",
            "A request with this Idempotency-Key is in progress.",
            "unknown",
        ),
        retryAfterMs: 1000,
    }),
    outcomeUnknown: () =>
        createRefusal(
            409,
            "conflict_error",
            "outcome_unknown",
            "A request with this Idempotency-Key was started; whether it ran is not known.",
            "unknown",
        ),
    outcomeNotStored: (status: number) =>
        createRefusal(
            409,
            "conflict_error",
            "outcome_not_stored",
            `The request with this Idempotency-Key ran with status ${status}; its answer was too long to be kept.`,
            "unknown",
        ),
    claimStoreUnavailable: (): Refusal => ({
        ...createRefusal(
            503,
            "unavailable_error",
            "claim_store_unavailable",
            "This request was not dispatched: its Idempotency-Key could not be recorded. "
                + "Whether an earlier request with this key ran is not known.",
            "unknown",
        ),
        retryAfterMs: 2000,
    }),
    notReady: (): Refusal => ({
        ...createRefusal(503, "unavailable_error", "not_ready", "This router has no configuration yet.", "not_run"),
        retryAfterMs: 1000,
    }),
    noServer: (): Refusal => ({
        ...createRefusal(503, "unavailable_error", "no_server", "No backend server is available.", "not_run"),
        // The jitter spreads the retries of callers that were refused at the same time.
        retryAfterMs: Math.round(500 + 1000 * Math.random()),
    }),
    overloaded: (code: string, retryAfterMs: number): Refusal => ({
        ...createRefusal(
            code === "queue_full" ? 429 : 503,
            "overloaded_error",
            code,
            code === "queue_full"
                ? "Too many requests are in progress."
                : "The request can't finish before its deadline.",
            "not_run",
        ),
        retryAfterMs,
    }),
    deadlineExceeded: (execution: Execution) =>
        createRefusal(
            504,
            "timeout_error",
            "deadline_exceeded",
            "The deadline passed before the answer.",
            execution,
        ),
    backendLost: (execution: Execution) =>
        createRefusal(502, "backend_error", "backend_lost", "The backend server's answer was lost.", execution),
    streamBroken: () =>
        createRefusal(502, "backend_error", "stream_broken", "The answer ended before it was complete.", "unknown"),
    internalError: () =>
        createRefusal(500, "backend_error", "internal_error", "An internal error occurred.", "unknown"),
} as const;

const MAX_QUOTED_LENGTH = 80;

/** Quotes a value from the caller and truncates it, since it appears in responses and logs. */
function quote(value: string): string {
    return JSON.stringify(value.length > MAX_QUOTED_LENGTH ? `${value.slice(0, MAX_QUOTED_LENGTH)}...` : value);
}
