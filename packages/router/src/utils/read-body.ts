import type { Refusal } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import { refusals } from "./refusals.ts";

/**
 * A body up to this many times the limit is read to its end and discarded, since many callers read the response
 * only after they have sent the whole body.
 */
const DISCARD_FACTOR = 4;

/**
 * Reads a request body of limited length. The error is `undefined` if the caller disconnected.
 *
 * @example
 * const body = await readBody(incoming, 4 * 1024 * 1024, 30_000);
 */
export function readBody(
    incoming: IncomingMessage,
    maxBytes: number,
    timeoutMs: number,
): Promise<Result<Buffer, Refusal | undefined>> {
    const tooLarge = err(refusals.bodyTooLarge(maxBytes));
    if (Number(incoming.headers["content-length"] ?? 0) > maxBytes * DISCARD_FACTOR) return Promise.resolve(tooLarge);
    return new Promise(resolve => {
        let chunks: Buffer[] = [];
        let sizeBytes = 0;
        const timer = setTimeout(() => finish(err(refusals.bodyTimeout())), timeoutMs);
        const finish = (result: Result<Buffer, Refusal | undefined>) => {
            clearTimeout(timer);
            incoming.removeAllListeners("data");
            resolve(result);
        };
        incoming.on("data", (chunk: Buffer) => {
            sizeBytes += chunk.length;
            if (sizeBytes <= maxBytes) chunks.push(chunk);
            else chunks = [];
            if (sizeBytes > maxBytes * DISCARD_FACTOR) finish(tooLarge);
        });
        incoming.once("end", () => finish(sizeBytes > maxBytes ? tooLarge : ok(joinChunks(chunks))));
        incoming.once("error", () => finish(err(undefined)));
        incoming.once("close", () => finish(err(undefined)));
    });
}

function joinChunks(chunks: readonly Buffer[]): Buffer {
    return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
}
