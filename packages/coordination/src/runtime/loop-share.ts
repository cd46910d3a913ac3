import { nowMs } from "../utils/clock.ts";

/** Part of the event loop's time that costly reads may take together; the rest is for ordinary requests. */
export const DEFAULT_MAX_SHARE = 0.5;
/**
 * Longest time that counts for one read. A read of one-byte chunks takes some 15 ms of a whole core, measured; far more
 * means that the process was suspended during the read.
 */
export const MAX_READ_COST_MS = 100;

/** What connections whose reads take long have cost and waited so far. */
export interface LoopShareTotals {
    /** Number of costly reads. */
    readonly readCount: number;
    /** Time that these reads took on the event loop. */
    readonly costMs: number;
    /** Time that connections waited for their turn, over all of them. */
    readonly heldMs: number;
}

/** A connection that waits until it may be read again. */
export interface WaitingRead {
    /** Time that its last read took on the event loop, in milliseconds; the next one is expected to take the same. */
    readonly costMs: number;
    /** Whether the connection has closed meanwhile. */
    readonly isGone: () => boolean;
    readonly resume: () => void;
}

/**
 * Shares the event loop between connections whose reads take long and all other work. Those connections are read one at
 * a time in the order in which they came, with pauses in between, so that their number doesn't matter to the others.
 *
 * @example
 * const share = new LoopShare();
 * socket.pause();
 * share.add({ costMs: 12, isGone: () => socket.destroyed, resume: () => socket.resume() });
 */
export class LoopShare {
    private readonly waiting: (WaitingRead & { readonly addedAtMs: number; })[] = [];
    private readCount = 0;
    private costMs = 0;
    private heldMs = 0;
    /** Time at which the reads so far have had their share. */
    private freeAtMs = 0;
    private timer: NodeJS.Timeout | undefined;

    /** @param maxShare part of the time, above 0 and at most 1 */
    constructor(private readonly maxShare = DEFAULT_MAX_SHARE) {}

    /** Number of connections that wait. */
    get waitingCount(): number {
        return this.waiting.length;
    }

    get totals(): LoopShareTotals {
        return { readCount: this.readCount, costMs: this.costMs, heldMs: this.heldMs };
    }

    /** Adds a connection that is not read any more; `resume` is called once, when it may be. */
    add(read: WaitingRead): void {
        const costMs = Math.min(read.costMs, MAX_READ_COST_MS);
        const pauseMs = costMs * (1 / this.maxShare - 1);
        this.freeAtMs = Math.max(this.freeAtMs, nowMs()) + pauseMs;
        this.readCount += 1;
        this.costMs += read.costMs;
        this.wait({ ...read, costMs });
    }

    /** Adds a connection that has not been read yet, such as a new one; `resume` is called once, when it may be. */
    wait(read: WaitingRead): void {
        this.waiting.push({ ...read, addedAtMs: nowMs() });
        this.schedule();
    }

    private schedule(): void {
        if (this.timer !== undefined || this.waiting.length === 0) return;
        this.timer = setTimeout(() => this.resumeNext(), Math.max(0, this.freeAtMs - nowMs()));
    }

    private resumeNext(): void {
        this.timer = undefined;
        const leftMs = this.freeAtMs - nowMs();
        const next = leftMs > 0 ? undefined : this.takeNext();
        if (next !== undefined) {
            // The next connection waits until this one has been read; a read that is longer adds to the time.
            this.freeAtMs = nowMs() + next.costMs;
            next.resume();
        }
        this.schedule();
    }

    private takeNext(): WaitingRead | undefined {
        for (let read = this.waiting.shift(); read !== undefined; read = this.waiting.shift()) {
            this.heldMs += nowMs() - read.addedAtMs;
            if (!read.isGone()) return read;
        }
        return undefined;
    }
}
