/** Whether a backend server ran a refused request: certainly not (`not_run`), or possibly (`unknown`). */
export type Execution = "not_run" | "unknown";

/** JSON body of each refusal sent to a caller. */
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

/** A refusal before it is converted to a response body and headers. */
export interface Refusal {
    /** HTTP status code. */
    readonly status: number;
    readonly type: RefusalType;
    readonly code: string;
    readonly message: string;
    readonly execution: Execution;
    readonly retryAfterMs?: number;
}
