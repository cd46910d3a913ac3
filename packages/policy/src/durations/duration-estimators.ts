import type { DurationEstimator } from "../types/policies.ts";
import type { ResolvedDurationEstimator } from "./create-duration-estimator.ts";

/** Baseline: the configured duration, never learned. */
export class FixedEstimator implements DurationEstimator {
    constructor(private readonly highFactor: number) {}

    expectedMs(_group: string, fallbackMs: number): number {
        return fallbackMs;
    }

    highMs(_group: string, fallbackMs: number): number {
        return fallbackMs * this.highFactor;
    }

    record(_group: string, _durationMs: number): void {}
}

interface Window {
    readonly durationsMs: number[];
    nextIndex: number;
    sumMs: number;
    /** High percentile of the window; undefined after a new duration. */
    highMs: number | undefined;
}

/** Mean and high percentile over the most recent durations of each group; memory is bounded. */
export class QuantileEstimator implements DurationEstimator {
    private readonly windows = new Map<string, Window>();

    constructor(private readonly options: ResolvedDurationEstimator) {}

    expectedMs(group: string, fallbackMs: number): number {
        const window = this.windows.get(group);
        if (window === undefined) return fallbackMs;
        const count = window.durationsMs.length;
        const missing = Math.max(0, this.options.minSamples - count);
        return (window.sumMs + missing * fallbackMs) / (count + missing);
    }

    highMs(group: string, fallbackMs: number): number {
        const window = this.windows.get(group);
        const { highFactor, highQuantile, minSamples } = this.options;
        if (window === undefined || window.durationsMs.length < minSamples) {
            return this.expectedMs(group, fallbackMs) * highFactor;
        }
        window.highMs ??= quantile(window.durationsMs, highQuantile);
        return window.highMs;
    }

    record(group: string, durationMs: number): void {
        if (!Number.isFinite(durationMs) || durationMs < 0) return;
        const window = this.windows.get(group) ?? { durationsMs: [], nextIndex: 0, sumMs: 0, highMs: undefined };
        this.windows.delete(group);
        this.windows.set(group, window);
        window.sumMs += durationMs - (window.durationsMs[window.nextIndex] ?? 0);
        window.durationsMs[window.nextIndex] = durationMs;
        window.nextIndex = (window.nextIndex + 1) % this.options.windowSize;
        window.highMs = undefined;
        this.dropOldest();
    }

    private dropOldest(): void {
        if (this.windows.size <= this.options.maxGroups) return;
        const [oldest] = this.windows.keys();
        if (oldest !== undefined) this.windows.delete(oldest);
    }
}

function quantile(values: readonly number[], share: number): number {
    const sorted = Float64Array.from(values).sort();
    return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
}
