import type { Execution, Refusal, RefusalType } from "@skylarkmill/protocol";

const NOT_READY_RETRY_MS = 200;

function refusal(
    status: number,
    type: RefusalType,
    code: string,
    message: string,
    execution: Execution = "not_run",
): Refusal {
    return { status, type, code, message, execution };
}

/** The refusals of an agent. A router may retry those with status 503 and `not_run` at another server. */
export const REFUSALS = {
    badRequestHead: (detail: string) => refusal(400, "invalid_request_error", "bad_request_head", detail),
    unauthorized: () => refusal(401, "authentication_error", "bad_peer_key", "The peer key is missing or unknown."),
    bodyTooLarge: () => refusal(413, "invalid_request_error", "body_too_large", "The request body is too large."),
    wrongService: () =>
        refusal(503, "unavailable_error", "wrong_service", "This backend server does not run the service."),
    // The router's configuration contains the model, so another server may offer it.
    modelNotOffered: () =>
        refusal(503, "unavailable_error", "model_not_offered", "This agent's configuration does not name the model."),
    modelTooLarge: () =>
        refusal(503, "unavailable_error", "model_too_large", "The model needs more memory than the engine has."),
    modelNotLoaded: () => refusal(503, "unavailable_error", "model_not_loaded", "The engine has lost the model."),
    noGrant: () => refusal(503, "unavailable_error", "no_grant", "This backend server may not load the model."),
    notReady: () => ({
        ...refusal(503, "unavailable_error", "not_ready", "The agent has not taken stock of its engine yet."),
        retryAfterMs: NOT_READY_RETRY_MS,
    }),
    draining: () => refusal(503, "unavailable_error", "draining", "The backend server is leaving."),
    overloaded: (code: string, retryAfterMs: number): Refusal => ({
        ...refusal(503, "overloaded_error", code, "The backend server can't finish the request in time."),
        retryAfterMs,
    }),
    deadlineExceeded: (execution: Execution, cause: string) =>
        refusal(504, "timeout_error", "deadline_exceeded", `The deadline passed ${cause}.`, execution),
    alreadyDispatched: () =>
        refusal(409, "conflict_error", "already_dispatched", "The request was dispatched before.", "unknown"),
    backendUnavailable: () =>
        refusal(503, "unavailable_error", "backend_unavailable", "The backend server refused the connection."),
    backendFailed: (detail: string) => refusal(502, "backend_error", "backend_failed", detail, "unknown"),
    refusalUnconfirmed: () =>
        refusal(
            502,
            "backend_error",
            "refusal_unconfirmed",
            "The engine refused the request and did not state that it has not run; it may have run.",
            "unknown",
        ),
    badResponse: (detail: string) => refusal(502, "backend_error", "bad_answer", detail, "unknown"),
} as const;
