import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";

/**
 * Reads a request's body; `undefined` stands for an empty one. `too_large` and `broken` are the possible errors.
 *
 * @example
 * const body = await readBody(incoming, 4_194_304);
 */
export async function readBody(
    incoming: IncomingMessage,
    maxBytes: number,
): Promise<Result<Uint8Array | undefined, "too_large" | "broken">> {
    if (Number(incoming.headers["content-length"] ?? 0) > maxBytes) return err("too_large");
    const parts: Buffer[] = [];
    let size = 0;
    try {
        // The connection stays open for the refusal of a body that is too large.
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
