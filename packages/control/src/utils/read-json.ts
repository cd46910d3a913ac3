import { err, ok, type Result } from "neverthrow";
import type { OperatorAnswer } from "../types/operator.ts";
import { refuse } from "./operator-answers.ts";

/**
 * Reads a JSON body of at most `maxBytes`, with or without a `Content-Length`.
 * The limit is checked here because hono's body limit builds a new `Request`, which fails on the requests of its
 * Node.js server when that leaves the global classes alone.
 *
 * @example
 * const body = await readJson(context.req.raw, 1_000_000);
 */
export async function readJson(request: Request, maxBytes: number): Promise<Result<unknown, OperatorAnswer>> {
    const parts: Uint8Array[] = [];
    let sizeBytes = 0;
    const tooLarge = refuse(413, "too_large", `The body is over ${maxBytes} bytes.`);
    if (Number(request.headers.get("content-length") ?? 0) > maxBytes) return err(tooLarge);
    try {
        for await (const part of (request.body ?? []) as AsyncIterable<Uint8Array>) {
            sizeBytes += part.length;
            if (sizeBytes > maxBytes) return err(tooLarge);
            parts.push(part);
        }
        return ok(JSON.parse(Buffer.concat(parts).toString("utf8")));
    }
    catch {
        return err(refuse(400, "invalid_json", "The body is not JSON."));
    }
}
