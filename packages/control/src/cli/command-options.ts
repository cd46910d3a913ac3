/** Options of all operators' commands. */
export interface OperatorCommandOptions {
    /** Addresses of routers' operator interfaces as `HOST:PORT`; the next one is tried if one does not respond. */
    readonly routers: readonly string[];
    /** Bearer token of the operator's team. */
    readonly token: string;
    /** Whether to print JSON instead of text. */
    readonly json: boolean;
    /** Time limit of one call, in milliseconds. */
    readonly timeoutMs: number;
}

/** Result of an operators' command. */
export interface CommandResult {
    readonly exitCode: number;
    /** Text to print. */
    readonly text: string;
}

/** Exit codes of the operators' commands. */
export const EXIT = {
    done: 0,
    /** The router refused the request, or no router responded; nothing was changed. */
    failed: 1,
    /** The arguments, a file or the section are invalid; nothing was changed. */
    invalidInput: 2,
    /** The section has changed since the version that was edited; nothing was changed. */
    stale: 3,
    /** It could not be determined whether the edit took effect. */
    unknown: 4,
} as const;
