import type { ServerId } from "@skylarkmill/protocol";

/** Duration of a load, as a multiple of that at full speed, from which the weight store counts as overloaded. */
const OVERLOAD_FACTOR = 1.25;
/** Part of a load by which its duration is measured too long, since holders confirm loads at intervals. */
const DURATION_TOLERANCE = 0.05;
/** Loads that begin within this time may reach the store in any order. */
const TOGETHER_MS = 1_000;
/** A load that ended sooner than this part of its time was broken off. */
const MIN_WHOLE_SHARE = 0.9;
/** Limit at the start; it rises with each load at full speed until one is slower. */
const INITIAL_LIMIT = 2;
/** Least time between two raises once a load was slower; each may cost another one. */
const RAISE_INTERVAL_MS = 60_000;

/** A load from the weight store that is in progress. */
export interface StoreLoad {
    readonly serverId: ServerId;
    /** Duration at the store's full speed. */
    readonly fullSpeedMs: number;
}

interface TrackedLoad extends StoreLoad {
    readonly startedAtMs: number;
    /** Loads in progress when it began, with itself. */
    readonly countAtStart: number;
    /** Other orders in progress then, of which some may have been loads. */
    readonly otherCountAtStart: number;
}

/**
 * Learns how many loads the weight store delivers at once at full speed. A load beyond them takes longer in proportion,
 * occupies its engine for as long and delays what is wanted most, so one after the other is better.
 *
 * @example
 * const limit = new StoreLoadLimit(4);
 * limit.update([{ serverId, fullSpeedMs: 6_000 }], nowMs());
 * limit.value; // 2
 */
export class StoreLoadLimit {
    private limit: number;
    private readonly loads = new Map<ServerId, TrackedLoad>();
    /** Time of the last overload, or of the last raise after one. */
    private overloadedAtMs = -Infinity;

    /** @param configuredLimit Limit that is never exceeded. */
    constructor(private readonly configuredLimit: number) {
        this.limit = Math.min(INITIAL_LIMIT, configuredLimit);
    }

    /** Number of loads that may be in progress at once. */
    get value(): number {
        return this.limit;
    }

    /**
     * Records the loads that are in progress now, over all engines.
     *
     * @param otherCount Orders in progress of which nobody knows whether they are loads.
     */
    update(active: readonly StoreLoad[], now: number, otherCount = 0): void {
        const activeIds = new Set(active.map(({ serverId }) => serverId));
        for (const load of [...this.loads.values()]) {
            const isActive = activeIds.has(load.serverId);
            if (!isActive) this.rankFirst(load);
            const ranked = this.loads.get(load.serverId)!;
            if (!isActive) this.loads.delete(load.serverId);
            this.judge(ranked, isActive, now);
        }
        for (const load of active) {
            if (this.loads.has(load.serverId)) continue;
            const countAtStart = this.loads.size + 1;
            this.loads.set(load.serverId, { ...load, startedAtMs: now, countAtStart, otherCountAtStart: otherCount });
        }
    }

    /** Expected time until a load in progress ends; undefined if it isn't known. */
    remainingMs(serverId: ServerId, now: number): number | undefined {
        const load = this.loads.get(serverId);
        if (load === undefined) return undefined;
        const factor = Math.max(1, load.countAtStart / this.limit);
        return Math.max(0, load.startedAtMs + factor * load.fullSpeedMs - now);
    }

    /** Of loads that began together, the one that ends first began first. */
    private rankFirst(ended: TrackedLoad): void {
        let first = this.loads.get(ended.serverId)!;
        for (const load of this.loads.values()) {
            const isTogether = Math.abs(load.startedAtMs - ended.startedAtMs) < TOGETHER_MS;
            if (isTogether && load.countAtStart < first.countAtStart) first = load;
        }
        const { countAtStart } = this.loads.get(ended.serverId)!;
        this.loads.set(first.serverId, { ...first, countAtStart });
        this.loads.set(ended.serverId, { ...ended, countAtStart: first.countAtStart });
    }

    private judge(load: TrackedLoad, isActive: boolean, now: number): void {
        const { startedAtMs, fullSpeedMs, countAtStart, otherCountAtStart } = load;
        const factor = (now - startedAtMs) / Math.max(1, fullSpeedMs);
        if (factor >= OVERLOAD_FACTOR && countAtStart > 1) {
            // One that is still in progress shows an upper bound; the bound falls until the load has ended.
            const shown = (countAtStart + otherCountAtStart) / factor;
            const whole = isActive ? Math.floor(shown + DURATION_TOLERANCE) : Math.round(shown);
            this.limit = Math.min(this.limit, Math.max(1, whole));
            this.overloadedAtMs = now;
            return;
        }
        const isAtLimit = countAtStart >= this.limit && this.limit < this.configuredLimit;
        if (isActive || factor < MIN_WHOLE_SHARE || !isAtLimit) return;
        if (now - this.overloadedAtMs < RAISE_INTERVAL_MS) return;
        this.limit += 1;
        if (this.overloadedAtMs > -Infinity) this.overloadedAtMs = now;
    }
}
