import type { DurationEstimator } from "../types/policies.ts";
import { numberOption } from "../utils/options.ts";
import { FixedEstimator, QuantileEstimator } from "./duration-estimators.ts";

export interface DurationEstimatorOptions {
    /** @default "quantile" */
    readonly name?: "fixed" | "quantile";
    /** Number of recent durations kept per group. @default 64 */
    readonly windowSize?: number;
    /** Number of durations below which the fallback duration is averaged in. @default 5 */
    readonly minSamples?: number;
    /** Quantile that `highPercentileMs` returns, 0 to 1. @default 0.95 */
    readonly highQuantile?: number;
    /** Ratio of `highPercentileMs` to `expectedMs` until `minSamples` durations are recorded. @default 3 */
    readonly highFactor?: number;
    /** Maximum number of groups; the least recently recorded one is evicted. @default 4096 */
    readonly maxGroups?: number;
}

export interface ResolvedDurationEstimator {
    readonly name: "fixed" | "quantile";
    readonly windowSize: number;
    readonly minSamples: number;
    readonly highQuantile: number;
    readonly highFactor: number;
    readonly maxGroups: number;
}

/**
 * Checks the options of a duration estimator and fills in the defaults.
 *
 * @throws InvalidInputError when a value is out of range.
 */
export function resolveDurationEstimator(options: DurationEstimatorOptions = {}): ResolvedDurationEstimator {
    return {
        name: options.name ?? "quantile",
        windowSize: numberOption("windowSize", options.windowSize, 64, 1),
        minSamples: numberOption("minSamples", options.minSamples, 5, 1),
        highQuantile: numberOption("highQuantile", options.highQuantile, 0.95, 0, 1),
        highFactor: numberOption("highFactor", options.highFactor, 3, 1),
        maxGroups: numberOption("maxGroups", options.maxGroups, 4_096, 1),
    };
}

/**
 * Creates an estimator of durations per group, such as a combination of service, model and class.
 *
 * @throws InvalidInputError when a value is out of range.
 * @example
 * const estimator = createDurationEstimator();
 * estimator.record("workshop-assistant/diagnosis", 840);
 */
export function createDurationEstimator(options?: DurationEstimatorOptions): DurationEstimator {
    const resolved = resolveDurationEstimator(options);
    return resolved.name === "fixed" ? new FixedEstimator(resolved.highFactor) : new QuantileEstimator(resolved);
}
