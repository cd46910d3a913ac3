import type { DurationEstimator } from "@skylarkmill/policy";

/** Age of the newest duration up to which a request may be refused because of it. */
const LEARNED_AGE_MS = 5000;
/** Groups whose newest time is remembered; above the models times classes of the largest deployment. */
const MAX_GROUPS = 4096;

/** Durations learned from answers, with the time at which each group was last seen. */
export class DurationBook {
    private readonly estimator: DurationEstimator;
    private readonly recordedAtMs = new Map<string, number>();

    constructor(estimator: DurationEstimator) {
        this.estimator = estimator;
    }

    expectedMs(group: string, assumedMs: number): number {
        return this.estimator.expectedMs(group, assumedMs);
    }

    highMs(group: string, assumedMs: number): number {
        return this.estimator.highMs(group, assumedMs);
    }

    /**
     * Duration to hold against a deadline; 0 until some were learned. Old ones count for nothing:
     * when every request is refused because answers were slow, nothing would show that they are fast again.
     */
    learnedMs(group: string, nowMs: number): number {
        const atMs = this.recordedAtMs.get(group) ?? -Infinity;
        return nowMs - atMs > LEARNED_AGE_MS ? 0 : this.estimator.expectedMs(group, 0);
    }

    record(group: string, durationMs: number, nowMs: number): void {
        this.estimator.record(group, durationMs);
        this.recordedAtMs.delete(group);
        this.recordedAtMs.set(group, nowMs);
        if (this.recordedAtMs.size <= MAX_GROUPS) return;
        const [oldest] = this.recordedAtMs.keys();
        if (oldest !== undefined) this.recordedAtMs.delete(oldest);
    }
}
