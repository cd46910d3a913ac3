import type { DurationEstimator } from "../types/policies.ts";
import { numberOption } from "../utils/options.ts";
import { FixedEstimator, QuantileEstimator } from "./duration-estimators.ts";

export interface DurationEstimatorOptions {
    /** @default "quantile" */
    readonly name?: "fixed" | "quantile";
    /** Most recent durations kept per group. @default 64 */
    readonly windowSize?: number;
    /** Durations below which the fallback counts as well. @default 5 */
    readonly minSamples?: number;
    /** Percentile of `highMs`, as a share. @default 0.95 */
    readonly highQuantile?: number;
    /** `highMs` divided by `expectedMs` until enough durations are known. @default 3 */
    readonly highFactor?: number;
    /** Groups kept; the one that was recorded least recently is dropped. @default 4096 */
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
 * Creates the estimator of durations per group, such as service, model and class.
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
