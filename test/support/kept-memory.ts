import { PassThrough } from "node:stream";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

function readKeptBytes(): number {
    setFlagsFromString("--expose-gc");
    const collectGarbage = runInNewContext("gc") as () => void;
    collectGarbage();
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
}

/**
 * Measures what is kept of a body that comes in one-byte pieces, before it ends; returns bytes, and the result of its
 * reader afterwards.
 *
 * @param text sent one byte a piece, except for its last byte, which ends the body
 * @example
 * const { keptBytes, result } = await measureKeptPieces("{}", body => readAll(body));
 */
export async function measureKeptPieces<T>(
    text: string,
    read: (body: PassThrough) => Promise<T>,
): Promise<{ readonly keptBytes: number; readonly result: T; }> {
    const bytes = Buffer.from(text, "latin1");
    const body = new PassThrough();
    const startBytes = readKeptBytes();
    const result = read(body);
    for (let offset = 0; offset < bytes.length - 1; offset += 1) {
        // A buffer of its own for each piece; a part of `bytes` would be smaller than what a parser hands over.
        body.write(Buffer.from([bytes[offset]!]));
        // Pieces that wait together would be read as one.
        await waitUntilRead(body);
    }
    const keptBytes = readKeptBytes() - startBytes;
    body.end(bytes.subarray(-1));
    return { keptBytes, result: await result };
}

async function waitUntilRead(body: PassThrough): Promise<void> {
    do await new Promise(resolve => setImmediate(resolve));
    while (body.readableLength > 0 || body.writableLength > 0);
}
