export interface OnceMemoryOptions {
    readonly maxCount: number;
    readonly maxAgeMs: number;
}

/**
 * Remembers which non-idempotent requests were taken on, by request id and idempotency key.
 *
 * @example
 * const once = new OnceMemory({ maxCount: 10_000, maxAgeMs: 86_400_000 });
 * once.take(["request:1"], Date.now()); // true
 * once.take(["request:1"], Date.now()); // false
 */
export class OnceMemory {
    private readonly takenAtMs = new Map<string, number>();

    constructor(private readonly options: OnceMemoryOptions) {}

    /** Takes all names, or none when one of them is taken. */
    take(names: readonly string[], nowMs: number): boolean {
        this.expire(nowMs);
        if (names.some(name => this.takenAtMs.has(name))) return false;
        for (const name of names) this.takenAtMs.set(name, nowMs);
        while (this.takenAtMs.size > this.options.maxCount) this.dropOldest();
        return true;
    }

    /** Forgets names whose request certainly did not run. */
    release(names: readonly string[]): void {
        for (const name of names) this.takenAtMs.delete(name);
    }

    private expire(nowMs: number): void {
        for (const [name, atMs] of this.takenAtMs) {
            if (nowMs - atMs < this.options.maxAgeMs) return;
            this.takenAtMs.delete(name);
        }
    }

    private dropOldest(): void {
        const oldest = this.takenAtMs.keys().next();
        if (oldest.done !== true) this.takenAtMs.delete(oldest.value);
    }
}
