import type { AdmissionPolicy } from "../types/policies.ts";
import { numberOption } from "../utils/options.ts";
import { BoundedQueueAdmission, DeadlineAdmission } from "./admission-policies.ts";

export interface AdmissionPolicyOptions {
    /** @default "deadline" */
    readonly name?: "bounded-queue" | "deadline";
    /** Seed of the retry jitter. @default the current time */
    readonly seed?: number;
    /** Number of waiting and running requests at which further requests are refused. @default 1024 */
    readonly maxCount?: number;
    /** Share of `maxCount` in use from which each service is limited to its share by weight. @default 0.5 */
    readonly fairFromShare?: number;
    /** Safety factor on the expected wait and duration, which must fit before the deadline. @default 1.1 */
    readonly safetyFactor?: number;
    /** Shortest retry delay of a refused request, before jitter. @default 500 */
    readonly minRetryMs?: number;
    /** Longest retry delay of a refused request, before jitter. @default 30000 */
    readonly maxRetryMs?: number;
}

export interface ResolvedAdmissionPolicy {
    readonly name: "bounded-queue" | "deadline";
    readonly seed: number;
    readonly maxCount: number;
    readonly fairFromShare: number;
    readonly safetyFactor: number;
    readonly minRetryMs: number;
    readonly maxRetryMs: number;
}

/**
 * Checks the options of an admission policy and fills in the defaults.
 *
 * @throws InvalidInputError when a value is out of range.
 */
export function resolveAdmissionPolicy(options: AdmissionPolicyOptions = {}): ResolvedAdmissionPolicy {
    const minRetryMs = numberOption("minRetryMs", options.minRetryMs, 500, 1);
    return {
        name: options.name ?? "deadline",
        seed: options.seed ?? Date.now(),
        maxCount: numberOption("maxCount", options.maxCount, 1_024, 1),
        fairFromShare: numberOption("fairFromShare", options.fairFromShare, 0.5, 0, 1),
        safetyFactor: numberOption("safetyFactor", options.safetyFactor, 1.1, 1),
        minRetryMs,
        maxRetryMs: numberOption("maxRetryMs", options.maxRetryMs, 30_000, minRetryMs),
    };
}

/**
 * Creates the admission policy of a router or an agent.
 *
 * @throws InvalidInputError when a value is out of range.
 * @example
 * const decision = createAdmissionPolicy({ maxCount: 256 }).decide(request);
 */
export function createAdmissionPolicy(options?: AdmissionPolicyOptions): AdmissionPolicy {
    const resolved = resolveAdmissionPolicy(options);
    return resolved.name === "bounded-queue" ? new BoundedQueueAdmission(resolved) : new DeadlineAdmission(resolved);
}
