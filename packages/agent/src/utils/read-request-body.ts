import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";

/**
 * Reads a request body. Returns `undefined` for an empty body and the error `broken` for an incomplete one.
 *
 * @example
 * const body = await readRequestBody(incoming, 4_194_304);
 */
export async function readRequestBody(
    incoming: IncomingMessage,
    maxBytes: number,
): Promise<Result<Uint8Array | undefined, "too_large" | "broken">> {
    if (Number(incoming.headers["content-length"] ?? 0) > maxBytes) return err("too_large");
    const parts: Buffer[] = [];
    let size = 0;
    try {
        // The connection must stay open to send the refusal of a body that is too large.
        for await (const part of incoming.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
            size += part.length;
            if (size > maxBytes) return err("too_large");
            parts.push(part);
        }
    }
    catch {
        return err("broken");
    }
    return ok(size === 0 ? undefined : Buffer.concat(parts));
}
