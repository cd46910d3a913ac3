import type { Execution, Refusal, RefusalType } from "@skylarkmill/protocol";

function invalid(status: number, code: string, message: string): Refusal {
    return { status, type: "invalid_request_error", code, message, execution: "not_run" };
}

function failed(status: number, type: RefusalType, code: string, message: string, execution: Execution): Refusal {
    return { status, type, code, message, execution };
}

/** Creates the refusals that a router originates itself. */
export const refusals = {
    notJson: () => invalid(400, "not_json", "The body is not a JSON object."),
    noModel: () => invalid(400, "model_missing", 'The body must name a model in the string field "model".'),
    badTimeout: (value: string) =>
        invalid(400, "bad_timeout", `X-Request-Timeout-Ms is ${quote(value)}; accepted: an integer from 1 to 600000.`),
    badRequestId: () =>
        invalid(400, "bad_request_id", "X-Request-Id must have 1 to 128 characters of A-Z a-z 0-9 . _ : -."),
    badKey: () => invalid(400, "bad_idempotency_key", "Idempotency-Key must have 1 to 255 visible ASCII characters."),
    unknownModel: (name: string) => invalid(404, "model_not_found", `Model ${quote(name)} is not offered.`),
    unknownService: (name: string) => invalid(404, "service_not_found", `Service ${quote(name)} is not offered.`),
    unknownPath: (path: string) => invalid(404, "path_not_found", `Path ${quote(path)} does not exist.`),
    methodNotAllowed: (method: string) => invalid(405, "method_not_allowed", `Method ${method} is not accepted here.`),
    bodyTooLarge: (maxBytes: number) => invalid(413, "body_too_large", `The body is longer than ${maxBytes} bytes.`),
    headersTooLarge: (maxBytes: number) =>
        invalid(431, "headers_too_large", `The request headers are longer than ${maxBytes} bytes.`),
    malformed: () => invalid(400, "malformed_request", "The request is not valid HTTP/1.1."),
    bodyTimeout: () =>
        failed(408, "timeout_error", "body_timeout", "The body did not arrive before the deadline.", "not_run"),
    keyReused: () =>
        invalid(422, "idempotency_key_reused", "The Idempotency-Key was used before with a different request."),
    requestInProgress: (): Refusal => ({
        ...failed(
            409,
            "conflict_error",
            "request_in_progress",
            "A request with this Idempotency-Key is in progress.",
            "unknown",
        ),
        retryAfterMs: 1000,
    }),
    outcomeOfKeyUnknown: () =>
        failed(
            409,
            "conflict_error",
            "outcome_unknown",
            "A request with this Idempotency-Key was started; it is unknown whether it ran.",
            "unknown",
        ),
    outcomeNotStored: (status: number) =>
        failed(
            409,
            "conflict_error",
            "outcome_not_stored",
            `The request with this Idempotency-Key ran with status ${status}; its body was too long to store.`,
            "unknown",
        ),
    claimStoreUnavailable: (): Refusal => ({
        ...failed(
            503,
            "unavailable_error",
            "claim_store_unavailable",
            "This request was not dispatched: its Idempotency-Key could not be recorded. "
                + "It is unknown whether an earlier request with this key ran.",
            "unknown",
        ),
        retryAfterMs: 2000,
    }),
    notReady: (): Refusal => ({
        ...failed(503, "unavailable_error", "not_ready", "This router has no configuration yet.", "not_run"),
        retryAfterMs: 1000,
    }),
    noServer: (): Refusal => ({
        ...failed(503, "unavailable_error", "no_server", "No backend server is available.", "not_run"),
        // The jitter spreads the retries of callers that were refused at the same time.
        retryAfterMs: Math.round(500 + 1000 * Math.random()),
    }),
    overloaded: (code: string, retryAfterMs: number): Refusal => ({
        ...failed(
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
    deadline: (execution: Execution) =>
        failed(
            504,
            "timeout_error",
            "deadline_exceeded",
            "The deadline passed before the response was complete.",
            execution,
        ),
    backendLost: (execution: Execution) =>
        failed(502, "backend_error", "backend_lost", "The backend server's response was lost.", execution),
    streamBroken: () =>
        failed(502, "backend_error", "stream_broken", "The response ended before it was complete.", "unknown"),
    internal: () => failed(500, "backend_error", "internal_error", "An internal error occurred.", "unknown"),
} as const;

const MAX_QUOTED_LENGTH = 80;

/** Quotes a value from the caller and truncates it, since it appears in responses and logs. */
function quote(value: string): string {
    return JSON.stringify(value.length > MAX_QUOTED_LENGTH ? `${value.slice(0, MAX_QUOTED_LENGTH)}...` : value);
}
