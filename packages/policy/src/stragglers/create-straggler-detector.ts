import type { StragglerDetector } from "../types/policies.ts";
import { numberOption } from "../utils/options.ts";
import { NoDetector, ObservedDetector, ReportedDetector } from "./straggler-detectors.ts";

export interface StragglerDetectorOptions {
    /** @default "observed" */
    readonly name?: "none" | "reported" | "observed";
    /** Slowness from which a server counts as a straggler. @default 2.5 */
    readonly threshold?: number;
    /** Weight of a new observation in the moving average, 0 to 1. @default 0.3 */
    readonly newWeight?: number;
    /** Time after which an observation has half of its effect. @default 5000 */
    readonly halfLifeMs?: number;
    /** Maximum number of tracked servers; the least recently observed one is evicted. @default 4096 */
    readonly maxServers?: number;
}

export interface ResolvedStragglerDetector {
    readonly name: "none" | "reported" | "observed";
    readonly threshold: number;
    readonly newWeight: number;
    readonly halfLifeMs: number;
    readonly maxServers: number;
}

/**
 * Checks the options of a straggler detector and fills in the defaults.
 *
 * @throws InvalidInputError when a value is out of range.
 */
export function resolveStragglerDetector(options: StragglerDetectorOptions = {}): ResolvedStragglerDetector {
    return {
        name: options.name ?? "observed",
        threshold: numberOption("threshold", options.threshold, 2.5, 1),
        newWeight: numberOption("newWeight", options.newWeight, 0.3, 0, 1),
        halfLifeMs: numberOption("halfLifeMs", options.halfLifeMs, 5_000, 1),
        maxServers: numberOption("maxServers", options.maxServers, 4_096, 1),
    };
}

/**
 * Creates the straggler detector of one router.
 *
 * @throws InvalidInputError when a value is out of range.
 * @example
 * const detector = createStragglerDetector();
 * detector.record(serverId, 2_400, 300, Date.now());
 */
export function createStragglerDetector(options?: StragglerDetectorOptions): StragglerDetector {
    const resolved = resolveStragglerDetector(options);
    if (resolved.name === "none") return new NoDetector();
    return resolved.name === "reported" ? new ReportedDetector(resolved.threshold) : new ObservedDetector(resolved);
}
