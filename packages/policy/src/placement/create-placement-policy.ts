import type { PlacementPolicy } from "../types/policies.ts";
import { numberOption } from "../utils/options.ts";
import { LoadAnywherePlacement } from "./load-anywhere-placement.ts";
import { LocalityPlacement } from "./locality-placement.ts";

export interface PlacementPolicyOptions {
    /** @default "locality" */
    readonly name?: "load-anywhere" | "locality";
    /** Seed of the random choices of `load-anywhere`. @default the current time */
    readonly seed?: number;
    /** Weight of the checkpoint's location, whose cost is 0 for memory, 0.5 for disk and 1 for remote. @default 4 */
    readonly localityWeight?: number;
    /** Weight of the memory of granted models, as a share of the server's memory. @default 1 */
    readonly memoryWeight?: number;
    /** Weight of the requests per second of granted models. @default 1 */
    readonly demandWeight?: number;
    /** Weight of each other grant of the model in the same data centre. @default 1 */
    readonly spreadWeight?: number;
    /** Weight of each model granted to the server that becomes active at about the same time. @default 1 */
    readonly togetherWeight?: number;
}

export interface ResolvedPlacementPolicy {
    readonly name: "load-anywhere" | "locality";
    readonly seed: number;
    readonly localityWeight: number;
    readonly memoryWeight: number;
    readonly demandWeight: number;
    readonly spreadWeight: number;
    readonly togetherWeight: number;
}

/**
 * Checks the options of a placement policy and fills in the defaults.
 *
 * @throws InvalidInputError when a value is out of range.
 */
export function resolvePlacementPolicy(options: PlacementPolicyOptions = {}): ResolvedPlacementPolicy {
    return {
        name: options.name ?? "locality",
        seed: options.seed ?? Date.now(),
        localityWeight: numberOption("localityWeight", options.localityWeight, 4, 0),
        memoryWeight: numberOption("memoryWeight", options.memoryWeight, 1, 0),
        demandWeight: numberOption("demandWeight", options.demandWeight, 1, 0),
        spreadWeight: numberOption("spreadWeight", options.spreadWeight, 1, 0),
        togetherWeight: numberOption("togetherWeight", options.togetherWeight, 1, 0),
    };
}

/**
 * Creates the policy that decides which backend servers get the grants of each model.
 *
 * @throws InvalidInputError when a value is out of range.
 * @example
 * const changes = createPlacementPolicy().plan(models, servers);
 */
export function createPlacementPolicy(options?: PlacementPolicyOptions): PlacementPolicy {
    const resolved = resolvePlacementPolicy(options);
    return resolved.name === "load-anywhere"
        ? new LoadAnywherePlacement(resolved.seed)
        : new LocalityPlacement(resolved);
}
