import type { HedgePolicy } from "../types/policies.ts";
import { numberOption } from "../utils/options.ts";
import { TokenBudget } from "./token-budget.ts";

export interface HedgePolicyOptions {
    /** @default "budgeted" */
    readonly name?: "none" | "budgeted";
    /** Maximum number of hedges as a share of the requests. @default 0.05 */
    readonly share?: number;
    /** Maximum number of unused hedges that accumulate. @default 20 */
    readonly maxTokens?: number;
    /** Shortest delay before a hedge. @default 10 */
    readonly minDelayMs?: number;
    /** Delay before a hedge, as a multiple of the high percentile of the response time. @default 1.5 */
    readonly delayFactor?: number;
    /**
     * Slowness of the first attempt's server at or above which a hedge is sent after the expected response time, without
     * the delay factor.
     *
     * @default 2.5
     */
    readonly stragglerSlowness?: number;
}

export interface ResolvedHedgePolicy {
    readonly name: "none" | "budgeted";
    readonly share: number;
    readonly maxTokens: number;
    readonly minDelayMs: number;
    readonly delayFactor: number;
    readonly stragglerSlowness: number;
}

/** Baseline: sends no second attempts. */
export class NoHedge implements HedgePolicy {
    recordRequest(_nowMs: number): void {}

    hedgeDelayMs(_expectedResponseMs: number, _highPercentileMs: number, _slowness: number): number | undefined {
        return undefined;
    }

    tryConsume(_nowMs: number): boolean {
        return false;
    }
}

/** Allows a second attempt when the first is late, for at most a share of the requests. */
export class BudgetedHedge implements HedgePolicy {
    private readonly budget: TokenBudget;

    constructor(private readonly options: ResolvedHedgePolicy) {
        this.budget = new TokenBudget(options.share, options.maxTokens, 0);
    }

    recordRequest(_nowMs: number): void {
        this.budget.refill();
    }

    hedgeDelayMs(expectedResponseMs: number, highPercentileMs: number, slowness: number): number | undefined {
        const { minDelayMs, delayFactor, stragglerSlowness } = this.options;
        const lateAfterMs = slowness >= stragglerSlowness
            ? expectedResponseMs
            : Math.max(expectedResponseMs, highPercentileMs * delayFactor);
        return Math.max(minDelayMs, lateAfterMs);
    }

    tryConsume(_nowMs: number): boolean {
        return this.budget.tryConsume();
    }
}

/**
 * Checks the options of a hedge policy and fills in the defaults.
 *
 * @throws InvalidInputError when a value is out of range.
 */
export function resolveHedgePolicy(options: HedgePolicyOptions = {}): ResolvedHedgePolicy {
    return {
        name: options.name ?? "budgeted",
        share: numberOption("share", options.share, 0.05, 0, 1),
        maxTokens: numberOption("maxTokens", options.maxTokens, 20, 1),
        minDelayMs: numberOption("minDelayMs", options.minDelayMs, 10, 0),
        delayFactor: numberOption("delayFactor", options.delayFactor, 1.5, 0),
        stragglerSlowness: numberOption("stragglerSlowness", options.stragglerSlowness, 2.5, 1),
    };
}

/**
 * Creates the hedge policy of one router.
 *
 * @throws InvalidInputError when a value is out of range.
 * @example
 * const hedges = createHedgePolicy({ share: 0.05 });
 * const delayMs = hedges.hedgeDelayMs(300, 900, 1);
 */
export function createHedgePolicy(options?: HedgePolicyOptions): HedgePolicy {
    const resolved = resolveHedgePolicy(options);
    return resolved.name === "none" ? new NoHedge() : new BudgetedHedge(resolved);
}
