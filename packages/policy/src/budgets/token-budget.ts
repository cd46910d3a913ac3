/** Tokens earned as a share of the requests; spending is bounded by `initial + share * requests`. */
export class TokenBudget {
    private tokens: number;

    constructor(
        private readonly share: number,
        private readonly maxTokens: number,
        initialTokens: number,
    ) {
        this.tokens = Math.min(maxTokens, initialTokens);
    }

    earn(): void {
        this.tokens = Math.min(this.maxTokens, this.tokens + this.share);
    }

    trySpend(): boolean {
        // Sums of a binary fraction such as 0.05 end slightly below 1; the tolerance is far below one share.
        if (this.tokens < 1 - 1e-9) return false;
        this.tokens = Math.max(0, this.tokens - 1);
        return true;
    }
}
