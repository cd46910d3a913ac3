import type { Refusal } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import { refusals } from "./refusals.ts";

/**
 * A body up to this many times the limit is read to its end and discarded, since many callers read the response
 * only after they have sent the whole body.
 */
const DISCARDED_FACTOR = 4;

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
    if (Number(incoming.headers["content-length"] ?? 0) > maxBytes * DISCARDED_FACTOR) return Promise.resolve(tooLarge);
    return new Promise(resolve => {
        let chunks: Buffer[] = [];
        let sizeBytes = 0;
        const timer = setTimeout(() => settle(err(refusals.bodyTimeout())), timeoutMs);
        const settle = (result: Result<Buffer, Refusal | undefined>) => {
            clearTimeout(timer);
            incoming.removeAllListeners("data");
            resolve(result);
        };
        incoming.on("data", (chunk: Buffer) => {
            sizeBytes += chunk.length;
            if (sizeBytes <= maxBytes) chunks.push(chunk);
            else chunks = [];
            if (sizeBytes > maxBytes * DISCARDED_FACTOR) settle(tooLarge);
        });
        incoming.once("end", () => settle(sizeBytes > maxBytes ? tooLarge : ok(join(chunks))));
        incoming.once("error", () => settle(err(undefined)));
        incoming.once("close", () => settle(err(undefined)));
    });
}

function join(chunks: readonly Buffer[]): Buffer {
    return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
}
