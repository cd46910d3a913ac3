/** Names of the HTTP headers used by callers, routers and agents. */
export const HEADERS = {
    requestId: "x-request-id",
    requestTimeoutMs: "x-request-timeout-ms",
    idempotencyKey: "idempotency-key",
    idempotencyReplayed: "idempotency-replayed",
    /** Peer key; `authorization` is reserved for the caller and the backend server. */
    peerKey: "x-skylarkmill-peer-key",
    attemptId: "x-skylarkmill-attempt-id",
    /** Milliseconds remaining until the request's deadline. */
    remainingMs: "x-skylarkmill-deadline-ms",
    service: "x-skylarkmill-service",
    model: "x-skylarkmill-model",
    adapter: "x-skylarkmill-adapter",
    /** `1` marks a non-idempotent request. */
    nonIdempotent: "x-skylarkmill-once",
    requestClass: "x-skylarkmill-class",
    /** The agent's `ServerStatus` message as JSON. */
    load: "x-skylarkmill-load",
    /** `not_run` or `unknown` on an agent's refusal; `run` on a relayed response. */
    execution: "x-skylarkmill-execution",
    /** Names a call between gateways; the response repeats it. */
    callId: "x-skylarkmill-call-id",
} as const;
