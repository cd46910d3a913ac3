/** Names of the HTTP headers that callers, routers and agents use. */
export const HEADERS = {
    requestId: "x-request-id",
    requestTimeoutMs: "x-request-timeout-ms",
    idempotencyKey: "idempotency-key",
    idempotencyReplayed: "idempotency-replayed",
    /** The peers' key; `authorization` belongs to the caller and the backend server. */
    peerKey: "x-skylarkmill-peer-key",
    attemptId: "x-skylarkmill-attempt-id",
    /** Milliseconds that remain until the request's deadline. */
    deadlineMs: "x-skylarkmill-deadline-ms",
    service: "x-skylarkmill-service",
    model: "x-skylarkmill-model",
    adapter: "x-skylarkmill-adapter",
    /** `1` on a non-idempotent request. */
    once: "x-skylarkmill-once",
    requestClass: "x-skylarkmill-class",
    /** JSON of the agent's ServerStatus message. */
    load: "x-skylarkmill-load",
    /** On an agent's refusal: `not_run` or `unknown`; on an answer: `run`. */
    execution: "x-skylarkmill-execution",
} as const;
