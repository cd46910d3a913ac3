import type { DurationEstimator } from "@skylarkmill/policy";

/** Requests are refused because of observed durations only if the latest one is not older than this. */
const MAX_OBSERVATION_AGE_MS = 5000;
/**
 * Maximum number of groups whose latest observation time is stored; more than the number of models times request
 * classes in the largest deployment.
 */
const MAX_GROUPS = 4096;

/** Tracks durations observed from responses, and the time of the latest observation of each group. */
export class DurationTracker {
    private readonly estimator: DurationEstimator;
    private readonly recordedAtMs = new Map<string, number>();

    constructor(estimator: DurationEstimator) {
        this.estimator = estimator;
    }

    expectedMs(group: string, assumedMs: number): number {
        return this.estimator.expectedMs(group, assumedMs);
    }

    highMs(group: string, assumedMs: number): number {
        return this.estimator.highPercentileMs(group, assumedMs);
    }

    /**
     * Returns the duration to compare with a deadline; 0 without a recent observation. Old observations are ignored:
     * if slow responses caused every request to be refused, no new observation would show that they are fast again.
     */
    recentMs(group: string, nowMs: number): number {
        const atMs = this.recordedAtMs.get(group) ?? -Infinity;
        return nowMs - atMs > MAX_OBSERVATION_AGE_MS ? 0 : this.estimator.expectedMs(group, 0);
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
