import type { Quota, QuotaAsk, QuotaGrant, QuotaSubject } from "../types/shared-quotas.ts";
import type { Stopwatch } from "../utils/clock.ts";
import { computeLeaseMs, QUOTA_AHEAD_SHARE, QUOTA_NEED_VALID_MS } from "./quota-ledger.ts";

/** Weight of the latest interval in the average use. */
const NEWEST_USE_WEIGHT = 0.3;
/** What is asked for ahead, as a multiple of the average use in an interval; use comes unevenly. */
const AHEAD_FACTOR = 2;
/** Number of uses for which a part ahead of needs must be large enough. */
const MIN_AHEAD_USES = 2;
/** Largest number of needs in one ask. */
const MAX_NEEDS = 200;

interface Lot {
    readonly kind: "needed" | "ahead";
    count: number;
    /** Time since it was asked for; the holder counts from later. */
    readonly sinceAsk: Stopwatch;
}

interface Waiter {
    readonly count: number;
    /** Whether the holder has been asked for it. */
    isAsked: boolean;
}

/** The holder's answer to a use for which there is no room. */
export interface QuotaDenial {
    /** Time until there is room; undefined if the quota has none at all. */
    readonly roomInMs: number | undefined;
    /** Units of the use. */
    readonly count: number;
}

/**
 * What one process has of one quota, and who waits for more. Uses are served in the order of their arrival.
 *
 * @example
 * if (!lease.tryUse(request, 1_200)) lease.addWaiter(request, 1_200);
 * const ask = lease.createAsk(quota, 5, nowMs());
 * // The holder answers.
 * const denied = lease.applyGrant(grant, sinceAsk);
 */
export class QuotaLease {
    private lots: Lot[] = [];
    private readonly waiters = new Map<object, Waiter>();
    private returnedCount = 0;
    private usedCount = 0;
    private averageUse = 0;
    /** Average number of units of one use. */
    private averageSize = 0;
    private askedAtMs: number | undefined;
    private receivedGrant = 0;

    constructor(
        readonly subject: QuotaSubject,
        private readonly getIntervalMs: () => number,
    ) {}

    private get leaseMs(): number {
        return computeLeaseMs(this.getIntervalMs());
    }

    /** Number of units that can be used now. */
    get heldCount(): number {
        return this.listLots().reduce((sum, { count }) => sum + count, 0);
    }

    get waiterCount(): number {
        return this.waiters.size;
    }

    /** Whether the next ask would tell the holder anything. */
    get isActive(): boolean {
        return this.waiters.size > 0 || this.usedCount > 0 || this.returnedCount > 0 || this.heldCount > 0;
    }

    isWaiting(waiter: object): boolean {
        return this.waiters.has(waiter);
    }

    /** Uses units; returns false if there are too few, or if others wait for them. */
    tryUse(waiter: object, count: number): boolean {
        const [first] = this.waiters.keys();
        if (first !== undefined && first !== waiter) return false;
        if (this.heldCount < count) return false;
        this.waiters.delete(waiter);
        this.take(count);
        this.usedCount += count;
        this.averageSize += NEWEST_USE_WEIGHT * (count - this.averageSize);
        return true;
    }

    addWaiter(waiter: object, count: number): void {
        if (!this.waiters.has(waiter)) this.waiters.set(waiter, { count, isAsked: false });
    }

    removeWaiter(waiter: object): void {
        this.waiters.delete(waiter);
    }

    /** Gives back units whose use never happened. */
    giveBack(count: number): void {
        this.returnedCount += count;
    }

    /**
     * Creates the next ask, which gives back what is old, so that it doesn't end unused.
     *
     * @param processCount Number of processes between which the holder shares the quota.
     */
    createAsk({ burst }: Pick<Quota, "burst">, processCount: number, nowMs: number): QuotaAsk {
        const intervalMs = this.getIntervalMs();
        const elapsedMs = nowMs - (this.askedAtMs ?? nowMs - intervalMs);
        this.askedAtMs = nowMs;
        const use = this.usedCount * intervalMs / Math.max(1, elapsedMs);
        const weight = Math.min(1, NEWEST_USE_WEIGHT * elapsedMs / intervalMs);
        this.averageUse += weight * (use - this.averageUse);
        this.usedCount = 0;
        for (const lot of this.listLots()) {
            if (lot.kind === "ahead" && lot.sinceAsk.elapsedMs() < this.leaseMs / 2) continue;
            // What was for a need is left only if the need has ended.
            this.returnedCount += lot.count;
            lot.count = 0;
        }
        const returnedCount = this.returnedCount;
        this.returnedCount = 0;
        const needs: number[] = [];
        for (const waiter of this.waiters.values()) {
            waiter.isAsked = needs.length < MAX_NEEDS;
            if (waiter.isAsked) needs.push(waiter.count);
        }
        const { heldCount, subject, receivedGrant } = this;
        // Parts that are too small for uses would only keep others from theirs.
        const canGetAhead = QUOTA_AHEAD_SHARE * burst / processCount >= MIN_AHEAD_USES * this.averageSize;
        const expectedCount = canGetAhead ? Math.max(0, Math.round(AHEAD_FACTOR * this.averageUse - heldCount)) : 0;
        return { subject, heldCount, returnedCount, needs, expectedCount, receivedGrant };
    }

    /** Adds what was granted. Returns those who got nothing, who don't wait any more. */
    applyGrant(answer: QuotaGrant, sinceAsk: Stopwatch): Map<object, QuotaDenial> {
        const { coveredNeeds, neededCount, grant, aheadCount, roomInMs } = answer;
        if (neededCount > 0) this.lots.unshift({ kind: "needed", count: neededCount, sinceAsk });
        if (grant > 0) {
            this.receivedGrant = grant;
            this.lots.push({ kind: "ahead", count: aheadCount, sinceAsk });
        }
        const denied = new Map<object, QuotaDenial>();
        let index = 0;
        for (const [waiter, { isAsked, count }] of this.waiters) {
            if (!isAsked) continue;
            if (index >= coveredNeeds) denied.set(waiter, { roomInMs, count });
            index += 1;
        }
        for (const waiter of denied.keys()) this.waiters.delete(waiter);
        return denied;
    }

    /** Numbers of grants of an earlier holder mean nothing to the next one. */
    forgetGrants(): void {
        this.receivedGrant = 0;
    }

    /** Drops what is used up or too old to be used. */
    private listLots(): readonly Lot[] {
        const { leaseMs } = this;
        this.lots = this.lots.filter(({ kind, count, sinceAsk }) =>
            count > 0 && sinceAsk.elapsedMs() < (kind === "needed" ? QUOTA_NEED_VALID_MS : leaseMs)
        );
        return this.lots;
    }

    private take(count: number): void {
        let missing = count;
        for (const lot of this.lots) {
            const taken = Math.min(lot.count, missing);
            lot.count -= taken;
            missing -= taken;
        }
    }
}

/**
 * The fixed part of a quota that a process uses while it has no contact with the holder.
 *
 * @example
 * part.tryUse(1_200, { ratePerSecond: 900, burst: 4_000 }, nowMs());
 */
export class FixedQuotaPart {
    private level = 0;
    private updatedAtMs: number | undefined;

    /** Begins empty, since what was used before isn't known any more. */
    tryUse(count: number, { ratePerSecond, burst }: Quota, nowMs: number): boolean {
        this.refill({ ratePerSecond, burst }, nowMs);
        if (this.level < count) return false;
        this.level -= count;
        return true;
    }

    roomInMs(count: number, quota: Quota, nowMs: number): number | undefined {
        this.refill(quota, nowMs);
        if (count > quota.burst || quota.ratePerSecond <= 0) return undefined;
        return Math.max(0, 1_000 * (count - this.level) / quota.ratePerSecond);
    }

    /** Ends the use of the part. */
    reset(): void {
        this.level = 0;
        this.updatedAtMs = undefined;
    }

    private refill({ ratePerSecond, burst }: Quota, nowMs: number): void {
        const elapsedMs = nowMs - (this.updatedAtMs ?? nowMs);
        this.updatedAtMs = nowMs;
        this.level = Math.min(burst, this.level + ratePerSecond * elapsedMs / 1_000);
    }
}
