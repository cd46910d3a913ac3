import type { ReportedLoad } from "../types/engine.ts";

/** Share of its slots that a server may have waiting before its limit falls. */
const MAX_WAITING_SHARE = 0.5;
/** Factor by which a limit falls when a server has too many waiting, at most once in this time. */
const DECREASE_FACTOR = 0.85;
const MIN_DECREASE_INTERVAL_MS = 100;
/** Least limit; one request in twenty times its duration. */
const MIN_LIMIT = 0.05;
/** Growth of a limit; equal for all gateways, so that their parts become equal, whatever they had. */
const GROWTH_PER_SECOND = 2;
const MAX_GROWTH_STEP_MS = 500;
/** A limit that was not reached, and was not lowered, for this time is lifted. */
const LIFT_AFTER_MS = 2_000;
/** Duration of a request until one has ended. */
const INITIAL_RUN_MS = 100;
const NEWEST_RUN_WEIGHT = 0.2;

/**
 * Limits the requests that this gateway has at a server whose room is short, so that the others wait here, in order, and
 * not there. It follows what the server says anyway: refusals for lack of room, and the load in its responses. A limit
 * below one stands for pauses between requests, since many gateways may share few places.
 *
 * @example
 * const limit = new PlaceLimit();
 * limit.recordRefusal(undefined, 3, nowMs());
 * limit.hasRoom(3, nowMs()); // false
 */
export class PlaceLimit {
    private limit = Infinity;
    private decreasedAtMs = -Infinity;
    private changedAtMs = -Infinity;
    private reachedAtMs = -Infinity;
    private endedAtMs = -Infinity;
    private runMs = INITIAL_RUN_MS;

    /**
     * Whether a server with `ownCount` requests of this gateway gets another one.
     *
     * @param extraCount Requests beyond the limit that are allowed.
     */
    hasRoom(ownCount: number, now: number, extraCount = 0): boolean {
        const isPaused = this.limit < 1 && now - this.endedAtMs < (1 / this.limit - 1) * this.runMs;
        const placeCount = isPaused ? 0 : Math.max(1, Math.floor(this.limit));
        if (ownCount < placeCount + extraCount) return true;
        this.reachedAtMs = now;
        return false;
    }

    /** Current limit; infinite while the server's room is not known to be short. */
    get value(): number {
        return this.limit;
    }

    /**
     * Records that the server refused a request beside `ownCount` others, with the load that it stated. One with free slots
     * refused for another reason, such as an order in progress.
     */
    recordRefusal(load: ReportedLoad | undefined, ownCount: number, now: number): void {
        if (load !== undefined && load.runningCount < load.slotCount) return;
        this.endedAtMs = now;
        this.lower(Math.min(this.limit, ownCount > 0 ? ownCount : Math.min(1, this.limit) / 2), now);
    }

    /** Records a response to one of `ownCount` requests, with the load that the server stated in it. */
    recordResponse(load: ReportedLoad | undefined, ownCount: number, now: number): void {
        if (load !== undefined && load.waitingCount > MAX_WAITING_SHARE * load.slotCount) {
            if (now - this.decreasedAtMs < MIN_DECREASE_INTERVAL_MS) return;
            return this.lower(DECREASE_FACTOR * Math.min(this.limit, ownCount), now);
        }
        if (this.limit === Infinity) return;
        const isIdle = now - Math.max(this.decreasedAtMs, this.reachedAtMs) >= LIFT_AFTER_MS;
        const stepMs = Math.min(MAX_GROWTH_STEP_MS, now - this.changedAtMs);
        this.limit = isIdle ? Infinity : this.limit + GROWTH_PER_SECOND * stepMs / 1_000;
        this.changedAtMs = now;
    }

    /** Records the end of a request that took `runMs`. */
    recordEnd(runMs: number, now: number): void {
        this.endedAtMs = now;
        this.runMs += NEWEST_RUN_WEIGHT * (runMs - this.runMs);
    }

    private lower(limit: number, now: number): void {
        this.limit = Math.max(MIN_LIMIT, limit);
        this.decreasedAtMs = now;
        this.changedAtMs = now;
    }
}
