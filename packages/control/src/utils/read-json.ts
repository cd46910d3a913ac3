import { type BodyMemory, ByteCollector } from "@skylarkmill/coordination";
import { err, ok, type Result } from "neverthrow";
import type { OperatorResponse } from "../types/operator.ts";
import { createErrorResponse } from "./operator-responses.ts";

/**
 * Reads a JSON body of at most `maxBytes`, with or without a `Content-Length`.
 * Hono's own body limit middleware is not used because it creates a new `Request`, which fails for requests of Hono's
 * Node.js server when that server runs with `overrideGlobalObjects: false`.
 *
 * @param memory memory for the bodies of all requests; the body holds a part of it until it has been parsed
 * @example
 * const body = await readJson(context.req.raw, 1_000_000, new BodyMemory(16_000_000));
 */
export async function readJson(
    request: Request,
    maxBytes: number,
    memory: BodyMemory,
): Promise<Result<unknown, OperatorResponse>> {
    const tooLarge = createErrorResponse(413, "too_large", `The body is over ${maxBytes} bytes.`);
    if (Number(request.headers.get("content-length") ?? 0) > maxBytes) return err(tooLarge);
    const invalid = createErrorResponse(400, "invalid_json", "The body is not JSON.");
    const share = memory.open();
    try {
        const collector = new ByteCollector();
        const reader = (request.body as ReadableStream<Uint8Array> | null)?.getReader();
        let isTakenAway = false;
        share.onTakenAway(() => {
            isTakenAway = true;
            collector.clear();
            // Ends the read that waits for more of the body.
            reader?.cancel().catch(() => undefined);
        });
        for (let part = await reader?.read(); part?.done === false; part = await reader?.read()) {
            collector.append(part.value);
            if (collector.byteCount > maxBytes) return err(tooLarge);
            const { heldByteCount } = collector;
            isTakenAway ||= heldByteCount > share.byteCount && !share.tryHold(heldByteCount);
            if (isTakenAway) break;
        }
        if (isTakenAway) return err(createNoMemoryResponse());
        return ok(JSON.parse(collector.toBuffer().toString("utf8")));
    }
    catch {
        return err(invalid);
    }
    finally {
        share.release();
    }
}

function createNoMemoryResponse(): OperatorResponse {
    const message = "There is no memory for the body at the moment.";
    return createErrorResponse(503, "no_memory", message, { outcome: "not_accepted" });
}
