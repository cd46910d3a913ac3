import type { ScalingInput, ScalingPolicy } from "../types/policies.ts";
import { numberOption } from "../utils/options.ts";

export interface ScalingPolicyOptions {
    /** @default "backlog" */
    readonly name?: "fixed" | "backlog";
    /** Number of replicas that `fixed` wants while requests are queued or a replica is loaded. @default 1 */
    readonly replicas?: number;
    /** Backlog per replica from which a replica is added, as a multiple of the load time. @default 1 */
    readonly loadFactor?: number;
}

export interface ResolvedScalingPolicy {
    readonly name: "fixed" | "backlog";
    readonly replicas: number;
    readonly loadFactor: number;
}

/** Baseline: wants a constant number of replicas, regardless of the backlog. */
export class FixedReplicas implements ScalingPolicy {
    constructor(private readonly replicas: number) {}

    wantedReplicas(input: ScalingInput): number {
        const isIdle = input.backlogMs <= 0 && input.loadedCount === 0;
        return isIdle ? 0 : Math.min(input.grantCount, this.replicas);
    }
}

/** Adds replicas while the backlog per replica takes longer than loading another replica. */
export class BacklogScaling implements ScalingPolicy {
    constructor(private readonly options: ResolvedScalingPolicy) {}

    wantedReplicas(input: ScalingInput): number {
        if (input.backlogMs <= 0) return Math.min(input.grantCount, input.loadedCount);
        const backlogPerReplicaMs = Math.max(1, input.loadMs * this.options.loadFactor) * Math.max(1, input.slotCount);
        const replicasForBacklog = Math.floor(input.backlogMs / backlogPerReplicaMs);
        return Math.min(input.grantCount, Math.max(1, input.loadedCount, replicasForBacklog));
    }
}

/**
 * Checks the options of a scaling policy and fills in the defaults.
 *
 * @throws InvalidInputError when a value is out of range.
 */
export function resolveScalingPolicy(options: ScalingPolicyOptions = {}): ResolvedScalingPolicy {
    return {
        name: options.name ?? "backlog",
        replicas: numberOption("replicas", options.replicas, 1, 0),
        loadFactor: numberOption("loadFactor", options.loadFactor, 1, 0),
    };
}

/**
 * Creates the policy that decides how many replicas of a model should be loaded.
 *
 * @throws InvalidInputError when a value is out of range.
 * @example
 * const wanted = createScalingPolicy().wantedReplicas(
 *     { loadedCount: 1, grantCount: 3, backlogMs: 160_000, loadMs: 8_000, slotCount: 8 },
 * );
 */
export function createScalingPolicy(options?: ScalingPolicyOptions): ScalingPolicy {
    const resolved = resolveScalingPolicy(options);
    return resolved.name === "fixed" ? new FixedReplicas(resolved.replicas) : new BacklogScaling(resolved);
}
