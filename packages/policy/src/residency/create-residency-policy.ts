import type { ResidencyPolicy } from "../types/policies.ts";
import { numberOption } from "../utils/options.ts";
import { FixedIdleResidency, KeepWarmResidency } from "./baseline-residency.ts";
import { CostResidency } from "./cost-residency.ts";

export interface ResidencyPolicyOptions {
    /** @default "cost" */
    readonly name?: "keep-warm" | "fixed-idle" | "cost";
    /** Shortest idle time before an unload. @default 60000 */
    readonly minIdleMs?: number;
    /** Longest idle time before an unload; `fixed-idle` always uses this time. @default 600000 */
    readonly maxIdleMs?: number;
    /**
     * Idle time after which keeping a model loaded costs more than reloading it, as a multiple of the reload time.
     *
     * @default 30
     */
    readonly keepFactor?: number;
    /** Idle time after which reuse is unlikely, as a multiple of the typical gap between requests. @default 3 */
    readonly gapFactor?: number;
    /**
     * Maximum ratio of the longest to the shortest time between bursts of requests for a model that counts as used
     * periodically.
     *
     * @default 1.2
     */
    readonly maxPeriodRatio?: number;
}

export interface ResolvedResidencyPolicy {
    readonly name: "keep-warm" | "fixed-idle" | "cost";
    readonly minIdleMs: number;
    readonly maxIdleMs: number;
    readonly keepFactor: number;
    readonly gapFactor: number;
    readonly maxPeriodRatio: number;
}

/**
 * Checks the options of a residency policy and fills in the defaults.
 *
 * @throws InvalidInputError when a value is out of range.
 */
export function resolveResidencyPolicy(options: ResidencyPolicyOptions = {}): ResolvedResidencyPolicy {
    const minIdleMs = numberOption("minIdleMs", options.minIdleMs, 60_000, 0);
    return {
        name: options.name ?? "cost",
        minIdleMs,
        maxIdleMs: numberOption("maxIdleMs", options.maxIdleMs, 600_000, minIdleMs),
        keepFactor: numberOption("keepFactor", options.keepFactor, 30, 0),
        gapFactor: numberOption("gapFactor", options.gapFactor, 3, 0),
        maxPeriodRatio: numberOption("maxPeriodRatio", options.maxPeriodRatio, 1.2, 1),
    };
}

/**
 * Creates the policy that decides which models stay in the memory of one backend server.
 *
 * @throws InvalidInputError when a value is out of range.
 * @example
 * const modelIds = createResidencyPolicy().chooseEvictions(resident, freeBytes, neededBytes, Date.now());
 */
export function createResidencyPolicy(options?: ResidencyPolicyOptions): ResidencyPolicy {
    const resolved = resolveResidencyPolicy(options);
    if (resolved.name === "keep-warm") return new KeepWarmResidency();
    return resolved.name === "fixed-idle" ? new FixedIdleResidency(resolved.maxIdleMs) : new CostResidency(resolved);
}
