/** What all operators' commands need. */
export interface OperatorCommandOptions {
    /** Operators' interfaces as `HOST:PORT`; the next is tried when one does not answer. */
    readonly routers: readonly string[];
    readonly token: string;
    /** Print JSON for scripts instead of a table. */
    readonly json: boolean;
    /** Time limit of one call, in milliseconds. */
    readonly timeoutMs: number;
}

export interface CommandResult {
    readonly exitCode: number;
    readonly text: string;
}

/** Exit codes of the operators' commands. */
export const EXIT = {
    done: 0,
    /** The router refused or none answered; nothing was changed. */
    failed: 1,
    invalidInput: 2,
    /** Another edit came first; nothing was changed. */
    stale: 3,
    /** Whether the edit took effect could not be found out. */
    unknown: 4,
} as const;
