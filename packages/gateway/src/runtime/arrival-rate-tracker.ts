/** Time constant of the exponential decay; demand shifts between models within about six seconds. */
const RATE_TIME_CONSTANT_MS = 5_000;

/** Tracks the exponentially decayed arrival rate and the last use of each model and adapter. */
export class ArrivalRateTracker {
    private readonly entries = new Map<string, { rate: number; atMs: number; usedAtMs: number; }>();

    /** Sets the rate of a target, unless the target already has one. */
    setInitialRate(key: string, ratePerSecond: number, now: number): void {
        if (!this.entries.has(key)) this.entries.set(key, { rate: ratePerSecond, atMs: now, usedAtMs: -Infinity });
    }

    recordArrivals(key: string, count: number, now: number): void {
        const rate = this.ratePerSecond(key, now) + count / (RATE_TIME_CONSTANT_MS / 1_000);
        this.entries.set(key, { rate, atMs: now, usedAtMs: now });
    }

    ratePerSecond(key: string, now: number): number {
        const entry = this.entries.get(key);
        return entry === undefined ? 0 : entry.rate * Math.exp((entry.atMs - now) / RATE_TIME_CONSTANT_MS);
    }

    /** Time since the last arrival; infinite if there was none. */
    idleMs(key: string, now: number): number {
        return now - (this.entries.get(key)?.usedAtMs ?? -Infinity);
    }
}
