import type { Refusal, RefusalBody } from "../types/refusal.ts";

/**
 * Builds the JSON body of a refusal.
 *
 * @example
 * const body = toRefusalBody({ status: 404, type: "invalid_request_error", code: "model_not_found",
 *     message: "Model x is not offered.", execution: "not_run" });
 */
export function toRefusalBody(refusal: Refusal): RefusalBody {
    return {
        error: {
            type: refusal.type,
            code: refusal.code,
            message: refusal.message,
            execution: refusal.execution,
            ...(refusal.retryAfterMs === undefined ? {} : { retry_after_ms: refusal.retryAfterMs }),
        },
    };
}

/**
 * Builds the headers of a refusal; `Retry-After` is in whole seconds, rounded up.
 *
 * @example
 * toRefusalHeaders(refusal); // { "content-type": "application/json", "retry-after": "1" }
 */
export function toRefusalHeaders(refusal: Refusal): Record<string, string> {
    const headers: Record<string, string> = { "content-type": "application/json" };
    if (refusal.retryAfterMs !== undefined) {
        headers["retry-after"] = String(Math.max(1, Math.ceil(refusal.retryAfterMs / 1000)));
    }
    return headers;
}
