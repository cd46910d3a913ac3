const BUCKET_MS = 500;

export interface RepeatBudgetOptions {
    /** Repeats allowed as a share of the requests in the window. */
    readonly ratio: number;
    /** Repeats allowed beside the share, over all gateways. */
    readonly slack: number;
    readonly windowMs: number;
}

/** Part of the shared allowance that gateways use; the rest covers windows that slide across gateways. */
const USED_SHARE = 0.7;
/** Gateways assumed while fewer are known, since some may be unknown to this one. */
const MIN_GATEWAY_COUNT = 5;

/** Share of one gateway in the allowance of repeated sends to one service, over a sliding window. */
export class RepeatBudget {
    private readonly requests: { atMs: number; count: number; }[] = [];
    private readonly repeats: { atMs: number; count: number; }[] = [];

    constructor(private readonly options: RepeatBudgetOptions) {}

    recordRequest(now: number): void {
        add(this.requests, now);
    }

    /** Takes one repeat; false when the window's share is used up. */
    tryTake(now: number, gatewayCount: number): boolean {
        if (!this.mayTake(now, gatewayCount)) return false;
        add(this.repeats, now);
        return true;
    }

    /** Whether one more repeat stays within the window's share. */
    mayTake(now: number, gatewayCount: number): boolean {
        const { ratio, slack, windowMs } = this.options;
        const requestCount = sum(this.requests, now - windowMs);
        const repeatCount = sum(this.repeats, now - windowMs);
        const ownSlack = slack / Math.max(MIN_GATEWAY_COUNT, gatewayCount);
        return repeatCount + 1 <= USED_SHARE * (ratio * requestCount + ownSlack);
    }
}

function add(buckets: { atMs: number; count: number; }[], now: number): void {
    const last = buckets.at(-1);
    if (last !== undefined && now - last.atMs < BUCKET_MS) last.count += 1;
    else buckets.push({ atMs: now, count: 1 });
}

function sum(buckets: { atMs: number; count: number; }[], sinceMs: number): number {
    // A bucket counts until its whole span has left the window.
    while (buckets.length > 0 && buckets[0]!.atMs + BUCKET_MS < sinceMs) buckets.shift();
    return buckets.reduce((total, bucket) => total + bucket.count, 0);
}
