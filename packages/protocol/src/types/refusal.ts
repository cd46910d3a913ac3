/** Whether a refused request was run by a backend server. */
export type Execution = "not_run" | "unknown";

/** JSON body of every refusal to a caller. */
export interface RefusalBody {
    readonly error: {
        readonly type: RefusalType;
        readonly code: string;
        readonly message: string;
        readonly execution: Execution;
        readonly retry_after_ms?: number;
    };
}

export type RefusalType =
    | "invalid_request_error"
    | "authentication_error"
    | "conflict_error"
    | "overloaded_error"
    | "timeout_error"
    | "backend_error"
    | "unavailable_error";

export interface Refusal {
    /** HTTP status code. */
    readonly status: number;
    readonly type: RefusalType;
    readonly code: string;
    readonly message: string;
    readonly execution: Execution;
    readonly retryAfterMs?: number;
}
