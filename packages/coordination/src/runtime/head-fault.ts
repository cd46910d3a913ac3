/**
 * What is wrong with a request head: it is incomplete after its time, longer than the limit, longer than the lower limit
 * that applied when its connection was opened, or not HTTP; or it is one too many that its caller sent ahead of responses,
 * or one for which the process has no memory.
 */
export type HeadFault = "late" | "too_large" | "limit_raised" | "malformed" | "ahead" | "no_memory";

export interface HeadFaultSituation {
    readonly fault: HeadFault;
    readonly isWritable: boolean;
    /** Responses to earlier requests of the connection that are not completely written. */
    readonly owedResponseCount: number;
    /** Whether the body of the connection's newest request is incomplete, so that the fault is in the body. */
    readonly isReceivingBody: boolean;
}

export type HeadFaultAction = "refuse" | "refuse_after_responses" | "close";

/**
 * Decides what a caller gets for a faulty head. A refusal never becomes part of an earlier response, and responses that
 * are owed to a caller of HTTP stay complete.
 *
 * @example
 * decideHeadFaultAction({ fault: "late", isWritable: true, owedResponseCount: 0, isReceivingBody: false }); // "refuse"
 */
export function decideHeadFaultAction(situation: HeadFaultSituation): HeadFaultAction {
    if (!situation.isWritable) return "close";
    if (situation.owedResponseCount === 0) return "refuse";
    // A caller that sends something else than HTTP doesn't wait for its responses.
    if (situation.fault === "malformed" || situation.isReceivingBody) return "close";
    return "refuse_after_responses";
}

/** Memory that a request takes besides its head, from its arrival to the end of its response. */
const REQUEST_MEMORY_BYTES = 4 * 1024;
/** Memory that each header line takes besides its text. */
const HEADER_LINE_MEMORY_BYTES = 100;

/** Estimates the memory that a request of an HTTP server takes until its response has ended. */
export function estimateRequestMemory(headByteCount: number, rawHeaderCount: number): number {
    // Heads are kept as they came, and as what is forwarded of them.
    return REQUEST_MEMORY_BYTES + 2 * headByteCount + HEADER_LINE_MEMORY_BYTES * rawHeaderCount / 2;
}

/** Counts the bytes of a request head with its line ends. */
export function countHeadBytes(method: string, path: string, rawHeaders: readonly string[]): number {
    let byteCount = method.length + path.length + " ".length + " HTTP/1.1\r\n\r\n".length;
    // Each name and value are followed by two more bytes: ": " and the line end.
    for (const text of rawHeaders) byteCount += text.length + 2;
    return byteCount;
}
