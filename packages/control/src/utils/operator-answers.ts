import type { SkylarkmillError } from "@skylarkmill/protocol";
import type { OperatorAnswer, OperatorErrorBody } from "../types/operator.ts";

/**
 * Builds the answer to a request that is refused.
 *
 * @example
 * refuse(403, "not_owner", "Section parts belongs to team parts.");
 */
export function refuse(
    status: OperatorAnswer["status"],
    code: string,
    message: string,
    details: Omit<OperatorErrorBody, "error"> & { readonly faults?: OperatorErrorBody["error"]["faults"]; } = {},
): OperatorAnswer {
    const { faults, ...rest } = details;
    const body: OperatorErrorBody = {
        error: { code, message, ...(faults === undefined ? {} : { faults }) },
        ...rest,
    };
    return { status, body, ...(status === 503 ? { headers: { "retry-after": "1" } } : {}) };
}

/**
 * Answers that the key-value service is needed and can't be used now.
 *
 * @example
 * unavailable(error, { outcome: "unknown" });
 */
export function unavailable(
    error: SkylarkmillError,
    details: Omit<OperatorErrorBody, "error"> = {},
): OperatorAnswer {
    return refuse(503, "key_value_service_unavailable", error.message, details);
}
