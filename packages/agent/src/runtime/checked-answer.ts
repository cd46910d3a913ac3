import type { AttemptId } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";
import { answerIds, parseObject } from "./stream-checker.ts";

/**
 * Reads a whole answer; the error says what is wrong with its length.
 *
 * @example
 * const body = await readWhole(response.body, response.headers["content-length"], 16_777_216);
 */
export async function readWhole(
    body: AsyncIterable<Uint8Array>,
    contentLength: string | string[] | undefined,
    maxBytes: number,
): Promise<Result<Uint8Array, string>> {
    const parts: Uint8Array[] = [];
    let size = 0;
    try {
        for await (const part of body) {
            parts.push(part);
            size += part.length;
            if (size > maxBytes) return err("The answer is too long.");
        }
    }
    catch (error) {
        return err(`The answer broke off: ${error instanceof Error ? error.message : String(error)}.`);
    }
    if (contentLength !== undefined && Number(contentLength) !== size) {
        return err("The answer's length differs from its Content-Length.");
    }
    return ok(Buffer.concat(parts));
}

/** Checks that a whole answer belongs to the attempt; the error says what is wrong. */
export function checkAnswer(body: Uint8Array, attemptId: AttemptId): Result<Uint8Array, string> {
    const answer = parseObject(Buffer.from(body).toString("utf8"));
    if (answer === undefined) return err("The answer is not a JSON object.");
    return answerIds(attemptId).has(answer["id"]) ? ok(body) : err("The answer belongs to another request.");
}
