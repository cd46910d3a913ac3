import { ByteCollector } from "@skylarkmill/coordination";
import { describe, expect, it } from "vitest";

const READ_BYTES = 65_536;

/** Cuts bytes into pieces of one size; pieces share the buffer that one read brought, as a parser hands them over. */
function cut(bytes: Buffer, pieceByteCount: number): Buffer[] {
    const pieces: Buffer[] = [];
    let read = Buffer.alloc(0);
    for (let offset = 0; offset < bytes.length; offset += pieceByteCount) {
        const byteCount = Math.min(pieceByteCount, bytes.length - offset);
        if (read.length < byteCount) read = Buffer.allocUnsafeSlow(READ_BYTES);
        bytes.copy(read, 0, offset, offset + byteCount);
        pieces.push(read.subarray(0, byteCount));
        read = read.subarray(byteCount);
    }
    return pieces;
}

describe("collected pieces", () => {
    it.each([
        { byteCount: 0, pieceByteCounts: [1] },
        { byteCount: 1, pieceByteCounts: [1] },
        { byteCount: 256, pieceByteCounts: [1] },
        { byteCount: 257, pieceByteCounts: [1] },
        { byteCount: 100_000, pieceByteCounts: [1] },
        { byteCount: 100_000, pieceByteCounts: [255, 256, 257] },
        { byteCount: 500_000, pieceByteCounts: [1, 65_536] },
        { byteCount: 500_000, pieceByteCounts: [65_536, 32_768, 32_767, 5] },
    ])("come back unchanged: $byteCount bytes in pieces of $pieceByteCounts", ({ byteCount, pieceByteCounts }) => {
        const bytes = Buffer.from(Array.from({ length: byteCount }, (_, index) => (index * 7) % 251));
        const collector = new ByteCollector();
        for (let offset = 0, index = 0; offset < byteCount; index += 1) {
            const piece = bytes.subarray(offset, offset + pieceByteCounts[index % pieceByteCounts.length]!);
            for (const part of cut(piece, piece.length)) collector.append(part);
            offset += piece.length;
        }
        expect(collector.byteCount).toBe(byteCount);
        expect(collector.toBuffer().equals(bytes)).toBe(true);
        expect(collector.toBuffer().equals(bytes)).toBe(true);
        expect(Buffer.concat(collector.toParts()).equals(bytes)).toBe(true);
        collector.clear();
        expect(collector.byteCount).toBe(0);
        expect(collector.toBuffer().length).toBe(0);
    });

    // Guards against memory that grows with the number of pieces.
    it.each([1, 64, 1_000, 30_000])("take little more memory than their bytes in pieces of %i", pieceByteCount => {
        const bytes = Buffer.alloc(300_000, "x");
        const collector = new ByteCollector();
        for (const piece of cut(bytes, pieceByteCount)) collector.append(piece);
        expect(collector.heldByteCount).toBeLessThanOrEqual(2 * bytes.length + 256);
    });
});
