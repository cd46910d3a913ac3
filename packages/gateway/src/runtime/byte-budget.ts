/** Size up to which a body takes room of a budget of its own, so that large bodies leave room for small ones. */
export const MAX_SMALL_BODY_BYTES = 16 * 1024;

/** Limits the bytes of requests and responses that one process buffers, over all requests. */
export class ByteBudget {
    private usedByteCount = 0;
    private reclaim: (missingByteCount: number) => void = () => undefined;

    constructor(private readonly maxByteCount: number) {}

    get byteCount(): number {
        return this.usedByteCount;
    }

    /** Sets what is called when there is no room; it may release some. */
    onShort(reclaim: (missingByteCount: number) => void): void {
        this.reclaim = reclaim;
    }

    /** Returns false, and reserves nothing, if the limit would be exceeded. */
    tryReserve(byteCount: number): boolean {
        const missingByteCount = this.usedByteCount + byteCount - this.maxByteCount;
        if (missingByteCount > 0) this.reclaim(missingByteCount);
        if (this.usedByteCount + byteCount > this.maxByteCount) return false;
        this.usedByteCount += byteCount;
        return true;
    }

    /** Reserves bytes that the process holds already. */
    reserve(byteCount: number): void {
        this.usedByteCount += byteCount;
    }

    release(byteCount: number): void {
        this.usedByteCount -= byteCount;
    }
}
