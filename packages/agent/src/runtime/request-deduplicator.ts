export interface RequestDeduplicatorOptions {
    readonly maxCount: number;
    readonly maxAgeMs: number;
}

/**
 * Detects repeated non-idempotent requests by request id and idempotency key.
 * Stores a limited number of keys for a limited time.
 *
 * @example
 * const deduplicator = new RequestDeduplicator({ maxCount: 10_000, maxAgeMs: 86_400_000 });
 * deduplicator.tryAdd(["request:1"], Date.now()); // true
 * deduplicator.tryAdd(["request:1"], Date.now()); // false
 */
export class RequestDeduplicator {
    private readonly addedAtMs = new Map<string, number>();

    constructor(private readonly options: RequestDeduplicatorOptions) {}

    /** Stores all keys and returns true, or stores none and returns false when one of them is stored already. */
    tryAdd(keys: readonly string[], nowMs: number): boolean {
        this.removeExpired(nowMs);
        if (keys.some(key => this.addedAtMs.has(key))) return false;
        for (const key of keys) this.addedAtMs.set(key, nowMs);
        while (this.addedAtMs.size > this.options.maxCount) this.removeOldest();
        return true;
    }

    /** Deletes the keys of a request that did not run. */
    release(keys: readonly string[]): void {
        for (const key of keys) this.addedAtMs.delete(key);
    }

    private removeExpired(nowMs: number): void {
        for (const [key, atMs] of this.addedAtMs) {
            if (nowMs - atMs < this.options.maxAgeMs) return;
            this.addedAtMs.delete(key);
        }
    }

    private removeOldest(): void {
        const oldest = this.addedAtMs.keys().next();
        if (oldest.done !== true) this.addedAtMs.delete(oldest.value);
    }
}
