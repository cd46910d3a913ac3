import { ByteCollector } from "@skylarkmill/coordination";
import type { AttemptId } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";
import { parseObject, responseIds } from "./stream-checker.ts";

/**
 * Reads a complete response body. The error describes why the body is incomplete or too long.
 *
 * @example
 * const body = await readResponseBody(response.body, response.headers["content-length"], 16_777_216);
 */
export async function readResponseBody(
    body: AsyncIterable<Uint8Array>,
    contentLength: string | string[] | undefined,
    maxBytes: number,
): Promise<Result<Uint8Array, string>> {
    const collector = new ByteCollector();
    try {
        for await (const part of body) {
            collector.append(part);
            if (collector.byteCount > maxBytes) return err("The answer is too long.");
        }
    }
    catch (error) {
        return err(
            `The answer broke off: ${error instanceof Error ? error.message : String(error)}.`,
        );
    }
    if (contentLength !== undefined && Number(contentLength) !== collector.byteCount) {
        return err("The answer's length differs from its Content-Length.");
    }
    return ok(collector.toBuffer());
}

/** Checks that a complete response body belongs to the attempt. The error describes the failed check. */
export function checkResponseBody(body: Uint8Array, attemptId: AttemptId): Result<Uint8Array, string> {
    const response = parseObject(Buffer.from(body).toString("utf8"));
    if (response === undefined) return err("The answer is not a JSON object.");
    return responseIds(attemptId).has(response["id"]) ? ok(body) : err("The answer belongs to another request.");
}
