/** Limits the bytes of requests and incomplete responses that one process buffers, over all requests. */
export class ByteBudget {
    private usedByteCount = 0;

    constructor(private readonly maxByteCount: number) {}

    get byteCount(): number {
        return this.usedByteCount;
    }

    /** Returns false, and reserves nothing, if the limit would be exceeded. */
    tryReserve(byteCount: number): boolean {
        if (this.usedByteCount + byteCount > this.maxByteCount) return false;
        this.usedByteCount += byteCount;
        return true;
    }

    release(byteCount: number): void {
        this.usedByteCount -= byteCount;
    }
}
