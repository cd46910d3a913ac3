import { type Execution, HEADERS, type Refusal, type RefusalBody, type RefusalType } from "@skylarkmill/protocol";
import type { ResponseHead } from "../types/request.ts";

const REFUSAL_TYPES: ReadonlySet<string> = new Set<RefusalType>([
    "invalid_request_error",
    "authentication_error",
    "conflict_error",
    "overloaded_error",
    "timeout_error",
    "backend_error",
    "unavailable_error",
]);

/** Longest retry delay that is passed on to a caller; any other value of an agent is ignored. */
const MAX_RETRY_AFTER_MS = 60_000;

/**
 * Returns the execution state that an agent's refusal declares, or undefined if the response is not a refusal.
 *
 * @example
 * readExecution({ status: 503, headers: { "x-skylarkmill-execution": "not_run" } }); // "not_run"
 */
export function readExecution(head: ResponseHead): Execution | undefined {
    const value = head.headers[HEADERS.execution];
    return head.status >= 400 && (value === "not_run" || value === "unknown") ? value : undefined;
}

/** Parses an agent's refusal; missing or invalid fields get generic values. */
export function readAgentRefusal(head: ResponseHead, execution: Execution, body: Buffer): Refusal {
    const error = parseErrorBody(body);
    const retryAfterMs = readRetryAfterMs(error?.retry_after_ms);
    return {
        status: head.status,
        type: error !== undefined && REFUSAL_TYPES.has(error.type) ? error.type : "backend_error",
        code: typeof error?.code === "string" ? error.code : "backend_refused",
        message: typeof error?.message === "string" ? error.message : "The backend server refused the request.",
        execution,
        ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    };
}

function readRetryAfterMs(value: unknown): number | undefined {
    return typeof value === "number" && value >= 0 && value <= MAX_RETRY_AFTER_MS ? value : undefined;
}

function parseErrorBody(body: Buffer): RefusalBody["error"] | undefined {
    try {
        const parsed = JSON.parse(body.toString("utf8")) as Partial<RefusalBody> | undefined;
        return typeof parsed?.error === "object" && parsed.error ? parsed.error : undefined;
    }
    catch {
        return undefined;
    }
}
