/** Requests and retries are counted in buckets of this length. */
const BUCKET_MS = 500;

export interface RetryBudgetOptions {
    /** Retries allowed per request in the window. */
    readonly ratio: number;
    /** Retries allowed in addition to the ratio, over all gateways together. */
    readonly slack: number;
    readonly windowMs: number;
}

/** Share of the budget that gateways use; the rest covers the offsets between the sliding windows of the gateways. */
const USED_BUDGET_SHARE = 0.7;
/** Lower bound on the assumed number of gateways, since this gateway may not have discovered all of them. */
const MIN_ASSUMED_GATEWAY_COUNT = 5;

/** Limits the retries of one gateway to one service to its part of the shared budget, over a sliding window. */
export class RetryBudget {
    private readonly requests: { atMs: number; count: number; }[] = [];
    private readonly retries: { atMs: number; count: number; }[] = [];

    constructor(private readonly options: RetryBudgetOptions) {}

    recordRequest(now: number): void {
        incrementBucket(this.requests, now);
    }

    /** Consumes one retry of the budget; returns false when the budget of the window is used up. */
    tryConsumeRetry(now: number, gatewayCount: number): boolean {
        if (!this.canRetry(now, gatewayCount)) return false;
        incrementBucket(this.retries, now);
        return true;
    }

    /** Whether one more retry stays within the budget of the window. */
    canRetry(now: number, gatewayCount: number): boolean {
        const { ratio, slack, windowMs } = this.options;
        const requestCount = sumBuckets(this.requests, now - windowMs);
        const retryCount = sumBuckets(this.retries, now - windowMs);
        const ownSlack = slack / Math.max(MIN_ASSUMED_GATEWAY_COUNT, gatewayCount);
        return retryCount + 1 <= USED_BUDGET_SHARE * (ratio * requestCount + ownSlack);
    }
}

function incrementBucket(buckets: { atMs: number; count: number; }[], now: number): void {
    const last = buckets.at(-1);
    if (last !== undefined && now - last.atMs < BUCKET_MS) last.count += 1;
    else buckets.push({ atMs: now, count: 1 });
}

function sumBuckets(buckets: { atMs: number; count: number; }[], sinceMs: number): number {
    // A bucket counts until the whole time that it covers has left the window.
    while (buckets.length > 0 && buckets[0]!.atMs + BUCKET_MS < sinceMs) buckets.shift();
    return buckets.reduce((total, bucket) => total + bucket.count, 0);
}
