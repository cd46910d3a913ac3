import { type BodyShare, ByteCollector } from "@skylarkmill/coordination";
import type { Refusal } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import { refusals } from "./refusals.ts";

/**
 * A body up to this many times the limit is read to its end and discarded, since many callers read the response
 * only after they have sent the whole body.
 */
const DISCARD_FACTOR = 4;
/** Retry delay returned when the limit on memory for bodies is reached. */
const NO_MEMORY_RETRY_MS = 1000;

export interface BodyLimits {
    readonly maxBytes: number;
    readonly timeoutMs: number;
    /** Memory for the body; released by the caller, or taken away if the body can't be read. */
    readonly share: BodyShare;
}

/**
 * Reads a request body of limited length. The error is `undefined` if the caller disconnected.
 *
 * @example
 * const body = await readBody(incoming, { maxBytes: 4 * 1024 * 1024, timeoutMs: 30_000, share: memory.open() });
 */
export function readBody(
    incoming: IncomingMessage,
    { maxBytes, timeoutMs, share }: BodyLimits,
): Promise<Result<Buffer, Refusal | undefined>> {
    const tooLarge = err(refusals.bodyTooLarge(maxBytes));
    const noMemory = err(refusals.overloaded("queue_full", NO_MEMORY_RETRY_MS));
    if (Number(incoming.headers["content-length"] ?? 0) > maxBytes * DISCARD_FACTOR) return Promise.resolve(tooLarge);
    return new Promise(resolve => {
        const collector = new ByteCollector();
        let sizeBytes = 0;
        let isFinished = false;
        const finish = (result: Result<Buffer, Refusal | undefined>) => {
            if (isFinished) return;
            isFinished = true;
            clearTimeout(timer);
            incoming.removeAllListeners("data");
            collector.clear();
            if (result.isErr()) share.release();
            else share.complete();
            resolve(result);
        };
        const timer = setTimeout(
            () => finish(sizeBytes > maxBytes ? tooLarge : err(refusals.bodyTimeout())),
            timeoutMs,
        );
        share.onTakenAway(() => finish(noMemory));
        incoming.on("data", (chunk: Buffer) => {
            sizeBytes += chunk.length;
            if (sizeBytes > maxBytes * DISCARD_FACTOR) finish(tooLarge);
            else if (sizeBytes > maxBytes) {
                collector.clear();
                share.release();
            }
            else {
                collector.append(chunk);
                if (collector.heldByteCount > share.byteCount && !share.tryHold(collector.heldByteCount)) {
                    finish(noMemory);
                }
            }
        });
        incoming.once("end", () => finish(sizeBytes > maxBytes ? tooLarge : ok(collector.toBuffer())));
        incoming.once("error", () => finish(err(undefined)));
        incoming.once("close", () => finish(err(undefined)));
    });
}
