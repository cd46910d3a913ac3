/** Shares of the process's memory that the parts of requests and responses may take. */
export const MEMORY_SHARES = {
    /**
     * Large bodies and buffered responses. Blocks of former bodies take as much at most, and parts that were read take memory
     * too until they are collected.
     */
    buffered: 0.2,
    /** Requests whose responses have not ended, without their bodies. */
    requests: 0.1,
    /** Small bodies of these requests. */
    smallBodies: 0.1,
    /** Bodies of other gateways' messages, small and large ones each. */
    peerBodies: 0.05,
} as const;
