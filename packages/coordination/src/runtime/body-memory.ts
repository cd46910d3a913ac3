import { nowMs } from "../utils/clock.ts";

/** Time that a body may take in any case; a body within the limit arrives in a part of it over an ordinary link. */
const MIN_RECEIVE_MS = 1000;

/** Part of one request's body in the memory for all bodies. */
export class BodyShare {
    private readonly memory: BodyMemory;
    private takeAwayListener: (() => void) | undefined;
    readonly openedAtMs = nowMs();
    /** Memory that this body holds, in bytes. */
    byteCount = 0;

    constructor(memory: BodyMemory) {
        this.memory = memory;
    }

    /** Called if the memory is taken away before the body is complete. */
    onTakenAway(listener: () => void): void {
        this.takeAwayListener = listener;
    }

    /** Holds `byteCount` bytes in all from now on; returns false if there is no room, and holds as much as before then. */
    tryHold(byteCount: number): boolean {
        return this.memory.tryHold(this, byteCount);
    }

    /** The body is complete: its memory is kept until it is released. */
    complete(): void {
        this.memory.complete(this);
    }

    release(): void {
        this.memory.release(this);
    }

    takeAway(): void {
        this.release();
        this.takeAwayListener?.();
    }
}

/**
 * Memory for the bodies of all requests. Bodies hold what has arrived of them, so that callers who never send the rest
 * keep out nobody else; what those hold is taken away once it is needed, the oldest body first.
 *
 * @example
 * const memory = new BodyMemory(64 * 1024 * 1024);
 * const share = memory.open();
 * share.onTakenAway(() => refuse());
 * if (!share.tryHold(1000)) refuse();
 * share.complete();
 * share.release();
 */
export class BodyMemory {
    private readonly maxByteCount: number;
    /** Shares of bodies that are not complete, the oldest first. */
    private readonly unfinished = new Set<BodyShare>();
    private usedByteCount = 0;

    constructor(maxByteCount: number) {
        this.maxByteCount = maxByteCount;
    }

    get heldByteCount(): number {
        return this.usedByteCount;
    }

    open(): BodyShare {
        const share = new BodyShare(this);
        this.unfinished.add(share);
        return share;
    }

    /** Makes room for a body of `byteCount` bytes, if it can be made; nothing is held for it yet. */
    makeRoom(byteCount: number, taker?: BodyShare): boolean {
        for (const share of this.unfinished) {
            if (this.usedByteCount + byteCount <= this.maxByteCount) return true;
            if (nowMs() - share.openedAtMs < MIN_RECEIVE_MS) break;
            if (share !== taker && share.byteCount > 0) share.takeAway();
        }
        return this.usedByteCount + byteCount <= this.maxByteCount;
    }

    tryHold(share: BodyShare, byteCount: number): boolean {
        const addedByteCount = byteCount - share.byteCount;
        if (!this.makeRoom(addedByteCount, share)) return false;
        this.usedByteCount += addedByteCount;
        share.byteCount = byteCount;
        return true;
    }

    complete(share: BodyShare): void {
        this.unfinished.delete(share);
    }

    release(share: BodyShare): void {
        this.unfinished.delete(share);
        this.usedByteCount -= share.byteCount;
        share.byteCount = 0;
    }
}
