import type { Id } from "@skylarkmill/protocol";

/** What a quota applies to, such as one workspace. */
export type QuotaSubject = Id<"quota-subject">;

/**
 * A limit on what all processes together use. In any time of the length `windowMs`, that is `ratePerSecond` times its length
 * plus `burst` at most; in a shorter time, a part of `burst` more. Without a window it holds for any length of time.
 */
export interface Quota {
    readonly ratePerSecond: number;
    readonly burst: number;
    readonly windowMs?: number | undefined;
}

/** What a process knows and wants of one quota. */
export interface QuotaAsk {
    readonly subject: QuotaSubject;
    /** Units that it has ahead of its needs and has not used. */
    readonly heldCount: number;
    /** Units that it gives back, since it used them for nothing or won't use them soon. */
    readonly returnedCount: number;
    /** Units of each use that waits, in order. */
    readonly needs: readonly number[];
    /** Further units that it expects to use before its next ask. */
    readonly expectedCount: number;
    /** Latest grant that it has received from the holder of this term; 0 before the first. */
    readonly receivedGrant: number;
}

/** What a process sends to the holder of the duty to share out quotas. */
export interface QuotaRequest {
    /** Name of the process. */
    readonly process: string;
    /** Term of the holder to which the numbers of received grants belong. */
    readonly term: number;
    readonly asks: readonly QuotaAsk[];
}

export interface QuotaGrant {
    readonly subject: QuotaSubject;
    /** Number of the needs that are covered, from the first; their units are for use at once. */
    readonly coveredNeeds: number;
    /** Units for the covered needs. */
    readonly neededCount: number;
    /** Number of the grant of further units, which grows; 0 if there are none. */
    readonly grant: number;
    /** Units ahead of needs. */
    readonly aheadCount: number;
    /** Time until the quota has room for the first need that isn't covered; undefined if all are, or if it never has. */
    readonly roomInMs?: number | undefined;
}

export interface QuotaResponse {
    /** Identifies the holder's time in the duty. */
    readonly term: number;
    /** Number of processes between which the holder shares, those without contact included. */
    readonly processCount: number;
    readonly grants: readonly QuotaGrant[];
}

/** The right of one process, the holder, to share out quotas. */
export interface QuotaDuty {
    /** Differs for each time in the duty. */
    readonly term: number;
    /** Time for which the holder has had the duty. */
    readonly heldMs: number;
    /** Number of processes that the holder knows of, whether they ask it or not. */
    readonly processCount: number;
}
