import type { Id } from "@skylarkmill/protocol";

/** What a rate applies to, such as one start of a backend server. */
export type RateSubject = Id<"rate-subject">;

/** Identifies what one response stated. */
export type StatementId = Id<"rate-statement">;

/** The rate that a subject takes from all processes together, as its latest known response stated it. */
export interface RateStatement {
    readonly subject: RateSubject;
    /** Tells copies of one statement from other statements. */
    readonly statementId: StatementId;
    /** Undefined if the subject no longer states a rate. */
    readonly ratePerSecond?: number | undefined;
    /** Time since the request was sent whose response made the statement. */
    readonly ageMs: number;
}

/** A process's wish for reservations, each of which allows one request to the subject. */
export interface ReservationDemand {
    readonly subject: RateSubject;
    readonly count: number;
    /** A reservation that starts later is of no use. */
    readonly maxWaitMs: number;
}

/** Reservations of one process. */
export interface ReservationGrant {
    readonly subject: RateSubject;
    /** Rate for which the reservations were granted. */
    readonly ratePerSecond: number;
    /** Times from which each may be used, from now on. Each is valid for `RESERVATION_VALID_MS`. */
    readonly startsInMs: readonly number[];
    /** Time from which the next reservation could be used that was not granted. */
    readonly nextInMs: number;
}

/** What a process sends to the holder of the duty to reserve. */
export interface ReservationRequest {
    /** What the process knows of the subjects that it asks for. */
    readonly statements: readonly RateStatement[];
    readonly demands: readonly ReservationDemand[];
}

export interface ReservationResponse {
    /** What the holder knows of the subjects that were asked for. */
    readonly statements: readonly RateStatement[];
    /** Empty for a subject without a rate. */
    readonly grants: readonly ReservationGrant[];
    /** Identifies the holder's time in the duty; reservations of another term are void. */
    readonly term: number;
}

/** The right of one process, the holder, to grant reservations. */
export interface RateDuty {
    /** Differs for each time in the duty. */
    readonly term: number;
    /** Time for which the holder has had the duty. */
    readonly heldMs: number;
    /** Whether the holder knows that no other one has taken over. */
    readonly isConfirmed: boolean;
}
