import type { DurationEstimator } from "../types/policies.ts";
import type { ResolvedDurationEstimator } from "./create-duration-estimator.ts";

/** Baseline: returns the caller's fallback duration, and a multiple of it as the high percentile. */
export class FixedEstimator implements DurationEstimator {
    constructor(private readonly highFactor: number) {}

    expectedMs(_group: string, fallbackMs: number): number {
        return fallbackMs;
    }

    highPercentileMs(_group: string, fallbackMs: number): number {
        return fallbackMs * this.highFactor;
    }

    record(_group: string, _durationMs: number): void {}
}

interface DurationWindow {
    readonly durationsMs: number[];
    nextIndex: number;
    sumMs: number;
    /** Cached high percentile of the window; undefined after a new duration was recorded. */
    highPercentileMs: number | undefined;
}

/** Returns the mean and a high percentile of the most recent durations per group, for a bounded number of groups. */
export class QuantileEstimator implements DurationEstimator {
    private readonly windows = new Map<string, DurationWindow>();

    constructor(private readonly options: ResolvedDurationEstimator) {}

    expectedMs(group: string, fallbackMs: number): number {
        const window = this.windows.get(group);
        if (window === undefined) return fallbackMs;
        const count = window.durationsMs.length;
        const missingCount = Math.max(0, this.options.minSamples - count);
        return (window.sumMs + missingCount * fallbackMs) / (count + missingCount);
    }

    highPercentileMs(group: string, fallbackMs: number): number {
        const window = this.windows.get(group);
        const { highFactor, highQuantile, minSamples } = this.options;
        if (window === undefined || window.durationsMs.length < minSamples) {
            return this.expectedMs(group, fallbackMs) * highFactor;
        }
        window.highPercentileMs ??= quantile(window.durationsMs, highQuantile);
        return window.highPercentileMs;
    }

    record(group: string, durationMs: number): void {
        if (!Number.isFinite(durationMs) || durationMs < 0) return;
        const window = this.windows.get(group)
            ?? { durationsMs: [], nextIndex: 0, sumMs: 0, highPercentileMs: undefined };
        this.windows.delete(group);
        this.windows.set(group, window);
        window.sumMs += durationMs - (window.durationsMs[window.nextIndex] ?? 0);
        window.durationsMs[window.nextIndex] = durationMs;
        window.nextIndex = (window.nextIndex + 1) % this.options.windowSize;
        window.highPercentileMs = undefined;
        this.evictOldestGroup();
    }

    private evictOldestGroup(): void {
        if (this.windows.size <= this.options.maxGroups) return;
        const [oldestGroup] = this.windows.keys();
        if (oldestGroup !== undefined) this.windows.delete(oldestGroup);
    }
}

function quantile(values: readonly number[], share: number): number {
    const sorted = Float64Array.from(values).sort();
    return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
}
