/** Time constant of the exponential decay; demand shifts between models within about six seconds. */
const RATE_TIME_CONSTANT_MS = 5_000;

/** Tracks the exponentially decayed arrival rate and the last arrival of requests for each model and adapter. */
export class ArrivalRateTracker {
    private readonly entries = new Map<
        string,
        { ratePerSecond: number; updatedAtMs: number; lastArrivalAtMs: number; }
    >();

    /** Sets the rate of a model or adapter, unless it already has one. */
    setInitialRate(key: string, ratePerSecond: number, now: number): void {
        if (!this.entries.has(key)) {
            this.entries.set(key, { ratePerSecond, updatedAtMs: now, lastArrivalAtMs: -Infinity });
        }
    }

    recordArrivals(key: string, count: number, now: number): void {
        const ratePerSecond = this.ratePerSecond(key, now) + count / (RATE_TIME_CONSTANT_MS / 1_000);
        this.entries.set(key, { ratePerSecond, updatedAtMs: now, lastArrivalAtMs: now });
    }

    ratePerSecond(key: string, now: number): number {
        const entry = this.entries.get(key);
        return entry === undefined
            ? 0
            : entry.ratePerSecond * Math.exp((entry.updatedAtMs - now) / RATE_TIME_CONSTANT_MS);
    }

    /** Time since the last arrival; infinite if there was none. */
    idleMs(key: string, now: number): number {
        return now - (this.entries.get(key)?.lastArrivalAtMs ?? -Infinity);
    }
}
