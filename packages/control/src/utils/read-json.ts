import { err, ok, type Result } from "neverthrow";
import type { OperatorResponse } from "../types/operator.ts";
import { createErrorResponse } from "./operator-responses.ts";

/**
 * Reads a JSON body of at most `maxBytes`, with or without a `Content-Length`.
 * Hono's own body limit middleware is not used because it creates a new `Request`, which fails for requests of Hono's
 * Node.js server when that server runs with `overrideGlobalObjects: false`.
 *
 * @example
 * const body = await readJson(context.req.raw, 1_000_000);
 */
export async function readJson(request: Request, maxBytes: number): Promise<Result<unknown, OperatorResponse>> {
    const parts: Uint8Array[] = [];
    let sizeBytes = 0;
    const tooLarge = createErrorResponse(413, "too_large", `The body is over ${maxBytes} bytes.`);
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
        return err(createErrorResponse(400, "invalid_json", "The body is not JSON."));
    }
}
