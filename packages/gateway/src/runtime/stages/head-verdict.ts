import type { ResponseHead } from "../../types/engine.ts";

/** Statuses that tell a caller that its request has not run and will not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * What the head of a response is worth.
 *
 * - `not_run`: the server states that it did not run the request.
 * - `usable`: the response may be passed on.
 * - `unmarked_refusal`: the request may have run, and the status would tell its caller that it has not.
 * - `unusable`: the response is unsigned or another request's.
 */
export type HeadVerdict = "not_run" | "usable" | "unmarked_refusal" | "unusable";

/** Whether a response has a status that promises its caller more than the server states. */
export function isUnmarkedRefusal(
    { status, isMarkedNotRun }: Pick<ResponseHead, "status" | "isMarkedNotRun">,
): boolean {
    return NOT_RUN_STATUSES.has(status) && !isMarkedNotRun;
}

/**
 * Decides what becomes of a response before its body is read.
 *
 * @param isRetryable Whether the request may run more than once; its caller may then repeat it after any answer.
 * @example
 * const head = { status: 503, isMarkedNotRun: false, namesRequest: true, isSigned: true };
 * judgeHead(head, false); // "unmarked_refusal"
 * judgeHead(head, true); // "usable"
 */
export function judgeHead(
    head: Pick<ResponseHead, "status" | "isMarkedNotRun" | "namesRequest" | "isSigned">,
    isRetryable: boolean,
): HeadVerdict {
    // A refusal that doesn't name the request may be a copy of an earlier one; the request may be running.
    if (!head.namesRequest) return "unusable";
    if (head.isMarkedNotRun) return "not_run";
    if (!head.isSigned) return "unusable";
    return !isRetryable && isUnmarkedRefusal(head) ? "unmarked_refusal" : "usable";
}
