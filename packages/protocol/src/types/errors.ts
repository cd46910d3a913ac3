/** The step and the peer at which an error occurred. */
export interface ErrorContext {
    /** The operation in progress, such as `claim.write` or `engine.load`. */
    readonly step: string;
    /**
     * Address, id or kind of the other process or service, such as `key-value-service`; `local` if no other one is
     * involved, `unknown` if it is not known.
     */
    readonly peer: string;
    readonly cause?: unknown;
}

/**
 * Base of all errors of the system.
 *
 * @example
 * throw new TimeoutError("no response within 50 ms", { step: "agent.probe", peer: "127.0.0.1:7001" });
 */
export abstract class SkylarkmillError extends Error {
    abstract readonly code: string;
    readonly step: string;
    readonly peer: string;

    constructor(message: string, context: ErrorContext) {
        super(message, { cause: context.cause });
        this.name = new.target.name;
        this.step = context.step;
        this.peer = context.peer;
    }
}

/** The peer could not be reached; the operation had no effect. */
export class UnavailableError extends SkylarkmillError {
    readonly code = "unavailable";
}

/** The operation may or may not have taken effect. */
export class OutcomeUnknownError extends SkylarkmillError {
    readonly code = "outcome_unknown";
}

/**
 * No response arrived in time. Used for operations without side effects, such as probes; see `OutcomeUnknownError`
 * for operations that may have taken effect.
 */
export class TimeoutError extends SkylarkmillError {
    readonly code = "timeout";
}

/** Another writer changed the state first. */
export class ConflictError extends SkylarkmillError {
    readonly code = "conflict";
}

/** The peer refused the operation. */
export class RefusedError extends SkylarkmillError {
    readonly code = "refused";
}

/** The input is invalid; `faults` lists each invalid field with its path. */
export class InvalidInputError extends SkylarkmillError {
    readonly code = "invalid_input";
    readonly faults: readonly InputFault[];

    constructor(message: string, faults: readonly InputFault[], context: ErrorContext) {
        super(message, context);
        this.faults = faults;
    }
}

export interface InputFault {
    /** Path of the field, such as `services.parts-ledger.timeoutMs`. */
    readonly path: string;
    readonly message: string;
}

/** The peer sent data that violates the protocol. */
export class ProtocolError extends SkylarkmillError {
    readonly code = "protocol";
}
