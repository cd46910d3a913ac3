const MIN_BLOCK_BYTES = 256;
const MAX_BLOCK_BYTES = 64 * 1024;

/**
 * Collects the pieces of a body. What it keeps depends on their bytes and not on their number: a piece takes some hundred
 * bytes besides its own, and one that is a small part of what a read brought keeps all of that in memory.
 *
 * @example
 * const collector = new ByteCollector();
 * for await (const piece of body) collector.append(piece);
 * const text = collector.toBuffer().toString("utf8");
 */
export class ByteCollector {
    private parts: Buffer[] = [];
    /** Block that small pieces are copied to, and its bytes in use. */
    private block: Buffer | undefined;
    private usedByteCount = 0;
    private collectedByteCount = 0;
    private bufferByteCount = 0;

    /** Number of bytes that were appended since the last `clear`. */
    get byteCount(): number {
        return this.collectedByteCount;
    }

    /** Size of the buffers that are kept, in bytes. */
    get heldByteCount(): number {
        return this.bufferByteCount;
    }

    append(piece: Uint8Array): void {
        this.collectedByteCount += piece.byteLength;
        if (piece.byteLength >= MIN_BLOCK_BYTES && piece.byteLength * 2 >= piece.buffer.byteLength) this.keep(piece);
        else this.copy(piece);
    }

    /** Returns the bytes in order, in buffers that are not copied; the collector stays usable. */
    toParts(): Buffer[] {
        return [...this.parts, ...this.getUsedBlock()];
    }

    /** Returns the bytes in order; the collector stays usable. */
    toBuffer(): Buffer {
        const parts = this.toParts();
        return parts.length === 1 ? parts[0]! : Buffer.concat(parts, this.collectedByteCount);
    }

    clear(): void {
        this.parts = [];
        this.block = undefined;
        this.usedByteCount = 0;
        this.collectedByteCount = 0;
        this.bufferByteCount = 0;
    }

    private keep(piece: Uint8Array): void {
        this.bufferByteCount += piece.buffer.byteLength;
        this.parts.push(...this.getUsedBlock(), Buffer.from(piece.buffer, piece.byteOffset, piece.byteLength));
        this.block = this.block?.subarray(this.usedByteCount);
        this.usedByteCount = 0;
    }

    private copy(piece: Uint8Array): void {
        let offset = 0;
        while (offset < piece.byteLength) {
            if (this.block === undefined || this.usedByteCount === this.block.length) this.startBlock();
            const target = this.block!;
            const copiedBytes = piece.subarray(offset, offset + target.length - this.usedByteCount);
            target.set(copiedBytes, this.usedByteCount);
            this.usedByteCount += copiedBytes.byteLength;
            offset += copiedBytes.byteLength;
        }
    }

    /** Blocks grow with what was collected, so that a short body takes little and a long one few blocks. */
    private startBlock(): void {
        this.parts.push(...this.getUsedBlock());
        const byteCount = Math.min(Math.max(this.collectedByteCount, MIN_BLOCK_BYTES), MAX_BLOCK_BYTES);
        this.block = Buffer.allocUnsafeSlow(byteCount);
        this.bufferByteCount += byteCount;
        this.usedByteCount = 0;
    }

    private getUsedBlock(): Buffer[] {
        return this.usedByteCount === 0 ? [] : [this.block!.subarray(0, this.usedByteCount)];
    }
}
