/** How bad an event is: a grave one is skipped only when as many grave ones were logged in the same second. */
export type EventGravity = "normal" | "grave";

/**
 * Limits how many events are logged per second, since an agent outage can fail thousands of attempts a second. Grave
 * events have a share of their own, so that others can't displace them.
 *
 * @example
 * const skipped = limiter.admitEvent(performance.now(), "grave");
 * if (skipped !== undefined) logger.info({ step: "request.broken", skipped }, "response aborted");
 */
export class LogLimiter {
    private readonly maxPerSecond: number;
    private windowStartMs = -Infinity;
    private eventCount = 0;
    private graveEventCount = 0;
    private skippedCount = 0;
    private isLifted = false;

    constructor(maxPerSecond: number) {
        this.maxPerSecond = maxPerSecond;
    }

    /** Returns undefined when the event must not be logged, otherwise the number of events skipped before it. */
    admitEvent(nowMs: number, gravity: EventGravity = "normal"): number | undefined {
        if (nowMs - this.windowStartMs >= 1000) {
            this.windowStartMs = nowMs;
            this.eventCount = 0;
            this.graveEventCount = 0;
        }
        this.eventCount += 1;
        if (gravity === "grave") this.graveEventCount += 1;
        const count = gravity === "grave" ? this.graveEventCount : this.eventCount;
        if (count > this.maxPerSecond && !this.isLifted) {
            this.skippedCount += 1;
            return undefined;
        }
        const skipped = this.skippedCount;
        this.skippedCount = 0;
        return skipped;
    }

    /** Admits all further events; for the end of a process, after which no line can report what was skipped. */
    lift(): void {
        this.isLifted = true;
    }
}
