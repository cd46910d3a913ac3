/** Token bucket that each request refills by `share`; at most `initial + share * requests` tokens can be consumed. */
export class TokenBudget {
    private tokens: number;

    constructor(
        private readonly share: number,
        private readonly maxTokens: number,
        initialTokens: number,
    ) {
        this.tokens = Math.min(maxTokens, initialTokens);
    }

    refill(): void {
        this.tokens = Math.min(this.maxTokens, this.tokens + this.share);
    }

    tryConsume(): boolean {
        // Repeated addition of shares such as 0.05 can end slightly below 1. The tolerance is far smaller than a share.
        if (this.tokens < 1 - 1e-9) return false;
        this.tokens = Math.max(0, this.tokens - 1);
        return true;
    }
}
