/** The response to a router, without the headers that the agent adds to every response. */
export interface AgentResponse {
    readonly status: number;
    readonly headers: Headers;
    readonly body: Uint8Array | AsyncIterable<Uint8Array> | string | undefined;
}

/** Counts the faults that the response checks find and the streams that were resumed. */
export interface ResponseCheckCounters {
    countDroppedChunk(): void;
    countResumedStream(): void;
    countFailedCheck(reason: string): void;
}
