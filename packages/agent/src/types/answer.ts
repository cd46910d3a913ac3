/** The agent's answer to a router, apart from the agent's own headers. */
export interface AgentAnswer {
    readonly status: number;
    readonly headers: Headers;
    readonly body: Uint8Array | AsyncIterable<Uint8Array> | string | undefined;
}

/** Counts what the answer checks found. */
export interface AnswerCounters {
    droppedChunk(): void;
    resumed(): void;
    failedCheck(reason: string): void;
}
