import type { SkylarkmillError } from "@skylarkmill/protocol";
import type { OperatorErrorBody, OperatorResponse } from "../types/operator.ts";

/**
 * Builds an error response.
 *
 * @example
 * createErrorResponse(403, "not_owner", "Section parts belongs to team parts.");
 */
export function createErrorResponse(
    status: OperatorResponse["status"],
    code: string,
    message: string,
    details: Omit<OperatorErrorBody, "error"> & { readonly faults?: OperatorErrorBody["error"]["faults"]; } = {},
): OperatorResponse {
    const { faults, ...rest } = details;
    const body: OperatorErrorBody = {
        error: { code, message, ...(faults === undefined ? {} : { faults }) },
        ...rest,
    };
    return { status, body, ...(status === 503 ? { headers: { "retry-after": "1" } } : {}) };
}

/**
 * Builds the response to a request that failed because the key-value service is unavailable.
 *
 * @example
 * createUnavailableResponse(error, { outcome: "unknown" });
 */
export function createUnavailableResponse(
    error: SkylarkmillError,
    details: Omit<OperatorErrorBody, "error"> = {},
): OperatorResponse {
    return createErrorResponse(503, "key_value_service_unavailable", error.message, details);
}
