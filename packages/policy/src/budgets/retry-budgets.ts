import type { RetryBudget } from "../types/policies.ts";
import { numberOption } from "../utils/options.ts";
import { TokenBudget } from "./token-budget.ts";

export interface RetryBudgetOptions {
    /** @default "token-bucket" */
    readonly name?: "unlimited" | "token-bucket";
    /** Maximum number of retries as a share of the requests. @default 0.1 */
    readonly share?: number;
    /** Maximum number of unused retries that accumulate. @default 100 */
    readonly maxTokens?: number;
    /** Retries available at the start, so that a router with few requests can retry after a server loss. @default 10 */
    readonly initialTokens?: number;
}

export interface ResolvedRetryBudget {
    readonly name: "unlimited" | "token-bucket";
    readonly share: number;
    readonly maxTokens: number;
    readonly initialTokens: number;
}

/** Baseline: allows every retry. */
export class UnlimitedRetries implements RetryBudget {
    recordRequest(_nowMs: number): void {}

    tryConsume(_nowMs: number): boolean {
        return true;
    }
}

/** Limits retries to a share of the requests, so that retries can't amplify an outage. */
export class TokenBucketRetries implements RetryBudget {
    private readonly budget: TokenBudget;

    constructor(options: ResolvedRetryBudget) {
        this.budget = new TokenBudget(options.share, options.maxTokens, options.initialTokens);
    }

    recordRequest(_nowMs: number): void {
        this.budget.refill();
    }

    tryConsume(_nowMs: number): boolean {
        return this.budget.tryConsume();
    }
}

/**
 * Checks the options of a retry budget and fills in the defaults.
 *
 * @throws InvalidInputError when a value is out of range.
 */
export function resolveRetryBudget(options: RetryBudgetOptions = {}): ResolvedRetryBudget {
    return {
        name: options.name ?? "token-bucket",
        share: numberOption("share", options.share, 0.1, 0, 1),
        maxTokens: numberOption("maxTokens", options.maxTokens, 100, 1),
        initialTokens: numberOption("initialTokens", options.initialTokens, 10, 0),
    };
}

/**
 * Creates the retry budget of one router.
 *
 * @throws InvalidInputError when a value is out of range.
 * @example
 * const retries = createRetryBudget();
 * if (retries.tryConsume(Date.now())) resend();
 */
export function createRetryBudget(options?: RetryBudgetOptions): RetryBudget {
    const resolved = resolveRetryBudget(options);
    return resolved.name === "unlimited" ? new UnlimitedRetries() : new TokenBucketRetries(resolved);
}
