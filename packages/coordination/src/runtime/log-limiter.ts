/** Limits how many events are logged per second, since an agent outage can fail thousands of attempts a second. */
export class LogLimiter {
    private readonly maxPerSecond: number;
    private windowStartMs = -Infinity;
    private eventCount = 0;
    private skippedCount = 0;

    constructor(maxPerSecond: number) {
        this.maxPerSecond = maxPerSecond;
    }

    /** Returns undefined when the event must not be logged, otherwise the number of events skipped before it. */
    admitEvent(nowMs: number): number | undefined {
        if (nowMs - this.windowStartMs >= 1000) {
            this.windowStartMs = nowMs;
            this.eventCount = 0;
        }
        this.eventCount += 1;
        if (this.eventCount > this.maxPerSecond) {
            this.skippedCount += 1;
            return undefined;
        }
        const skipped = this.skippedCount;
        this.skippedCount = 0;
        return skipped;
    }
}
