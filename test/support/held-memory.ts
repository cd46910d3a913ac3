import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Size of what one read brings; a piece of it keeps all of it in memory. */
const READ_BYTES = 64 * 1024;
/** Bytes that a process may hold beside the pieces, such as blocks that they are copied to. */
export const MAX_HELD_BYTES = 8 * 1024 * 1024;
const TINY_PIECE_COUNT = 1_000;

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

function measureBufferBytes(): number {
    // Buffers that nothing holds are freed beside the program, at the latest before the next collection.
    collectGarbage();
    collectGarbage();
    return process.memoryUsage().arrayBuffers;
}

/**
 * Yields one-byte pieces, each of a read of its own, and measures what their reader holds when the last one has been
 * taken.
 *
 * @example
 * const pieces = new TinyPieces();
 * for await (const piece of pieces.read()) collector.append(piece);
 * expect(pieces.heldByteCount).toBeLessThan(MAX_HELD_BYTES);
 */
export class TinyPieces {
    /** Bytes of buffers that were held in the end. */
    heldByteCount = 0;

    constructor(readonly text = "x".repeat(TINY_PIECE_COUNT), private readonly ending = "") {}

    async *read(): AsyncGenerator<Buffer> {
        const startByteCount = measureBufferBytes();
        for (const character of this.text) yield createPiece(character);
        // What is still in use by the last step is given back by then.
        await new Promise(resolve => setImmediate(resolve));
        this.heldByteCount = measureBufferBytes() - startByteCount;
        for (const character of this.ending) yield createPiece(character);
    }

    /** Passes the pieces to a function. */
    async passTo(push: (piece: Buffer) => void): Promise<void> {
        for await (const piece of this.read()) push(piece);
    }
}

function createPiece(character: string): Buffer {
    return Buffer.from(new ArrayBuffer(READ_BYTES), 0, 1).fill(character, "latin1");
}
