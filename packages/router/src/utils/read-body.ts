import type { Refusal } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import { refusals } from "./refusals.ts";

/**
 * Reads a request body of limited length. `undefined` as an error: the caller disconnected.
 *
 * @example
 * const body = await readBody(incoming, 4 * 1024 * 1024, 30_000);
 */
export function readBody(
    incoming: IncomingMessage,
    maxBytes: number,
    timeoutMs: number,
): Promise<Result<Buffer, Refusal | undefined>> {
    if (Number(incoming.headers["content-length"] ?? 0) > maxBytes) {
        return Promise.resolve(err(refusals.bodyTooLarge(maxBytes)));
    }
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let sizeBytes = 0;
        const timer = setTimeout(() => settle(err(refusals.bodyTimeout())), timeoutMs);
        const settle = (result: Result<Buffer, Refusal | undefined>) => {
            clearTimeout(timer);
            incoming.removeAllListeners("data");
            resolve(result);
        };
        incoming.on("data", (chunk: Buffer) => {
            sizeBytes += chunk.length;
            if (sizeBytes > maxBytes) settle(err(refusals.bodyTooLarge(maxBytes)));
            else chunks.push(chunk);
        });
        incoming.once("end", () => settle(ok(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks))));
        incoming.once("error", () => settle(err(undefined)));
        incoming.once("close", () => settle(err(undefined)));
    });
}
