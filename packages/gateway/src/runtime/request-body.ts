/** Size of the blocks that hold large bodies; Node reads at most as much from a connection at once. */
export const BODY_BLOCK_BYTES = 64 * 1024;

/** Keeps the blocks of former bodies, since memory that is left to the garbage collector stays occupied for long. */
export class BodyBlockPool {
    private readonly freeBlocks: Buffer[] = [];

    /** Number of blocks that can be taken without an allocation. */
    get freeCount(): number {
        return this.freeBlocks.length;
    }

    take(): Buffer {
        return this.freeBlocks.pop() ?? Buffer.allocUnsafeSlow(BODY_BLOCK_BYTES);
    }

    /** Accepts a block that nothing reads or writes any more. */
    give(block: Buffer): void {
        this.freeBlocks.push(block);
    }
}

/**
 * The body of a caller's request. Its memory is used again for other bodies as soon as its owner has discarded it and no
 * attempt holds it.
 *
 * @example
 * const release = body.hold();
 * for (const part of body.parts) connection.write(part);
 * connection.once("finish", release);
 */
export class RequestBody {
    readonly byteCount: number;
    private currentParts: readonly Buffer[];
    private holdCount = 0;
    private isDiscarded = false;
    private readonly onFree: () => void;

    /** `onFree` is called once, when the parts may be overwritten. */
    constructor(parts: readonly Buffer[], byteCount: number, onFree: () => void) {
        this.currentParts = parts;
        this.byteCount = byteCount;
        this.onFree = onFree;
    }

    /** The bytes in order; valid only while the body is held. */
    get parts(): readonly Buffer[] {
        return this.currentParts;
    }

    /** Keeps the parts until the returned function is called. Throws if the body has been discarded. */
    hold(): () => void {
        if (this.isDiscarded) throw new Error("the body has been discarded");
        this.holdCount += 1;
        let isHeld = true;
        return () => {
            if (!isHeld) return;
            isHeld = false;
            this.holdCount -= 1;
            this.freeIfUnused();
        };
    }

    /** States that no further attempt will send the body. */
    discard(): void {
        if (this.isDiscarded) return;
        this.isDiscarded = true;
        this.freeIfUnused();
    }

    private freeIfUnused(): void {
        if (!this.isDiscarded || this.holdCount > 0) return;
        this.currentParts = [];
        this.onFree();
    }
}
