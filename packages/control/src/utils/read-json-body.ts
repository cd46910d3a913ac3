import { err, ok, type Result } from "neverthrow";
import type { OperatorAnswer } from "../types/operator.ts";
import { refuse } from "./operator-answers.ts";

/** A section takes at most 1 MB as stored; indented text is longer. */
const MAX_BODY_BYTES = 4 * 1024 * 1024;

/**
 * Reads a JSON body of bounded size, with or without a `content-length`.
 *
 * hono's `bodyLimit` is not used: it fails on chunked bodies while `@hono/node-server` leaves the
 * global `Request` alone.
 *
 * @example
 * const body = await readJsonBody(context.req.raw);
 */
export async function readJsonBody(request: Request): Promise<Result<unknown, OperatorAnswer>> {
    const tooLarge = refuse(413, "too_large", `The body is over ${MAX_BODY_BYTES} bytes.`, { outcome: "not_accepted" });
    if (Number(request.headers.get("content-length") ?? 0) > MAX_BODY_BYTES) return err(tooLarge);
    const chunks: Uint8Array[] = [];
    let sizeBytes = 0;
    const stream = request.body as AsyncIterable<Uint8Array> | undefined;
    for await (const chunk of stream ?? []) {
        sizeBytes += chunk.byteLength;
        if (sizeBytes > MAX_BODY_BYTES) return err(tooLarge);
        chunks.push(chunk);
    }
    try {
        return ok(JSON.parse(Buffer.concat(chunks).toString("utf8")));
    }
    catch {
        return err(refuse(400, "invalid_json", "The body is not JSON.", { outcome: "not_accepted" }));
    }
}
