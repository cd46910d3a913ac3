import { type BodyShare, ByteCollector } from "@skylarkmill/coordination";
import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";

/**
 * Reads a request body. Returns `undefined` for an empty body, and as errors `too_large`, `no_memory` if there is no room
 * in the memory for bodies, and `broken` for an incomplete one.
 *
 * @param share memory for the body, which is released here if the body can't be read
 * @example
 * const body = await readRequestBody(incoming, 4_194_304, memory.open());
 */
export function readRequestBody(
    incoming: IncomingMessage,
    maxBytes: number,
    share: BodyShare,
): Promise<Result<Uint8Array | undefined, "too_large" | "no_memory" | "broken">> {
    return new Promise(resolve => {
        const collector = new ByteCollector();
        let isFinished = false;
        const finish = (result: Result<Uint8Array | undefined, "too_large" | "no_memory" | "broken">): void => {
            if (isFinished) return;
            isFinished = true;
            incoming.removeListener("data", keep);
            collector.clear();
            if (result.isErr()) share.release();
            else share.complete();
            resolve(result);
        };
        const keep = (part: Buffer): void => {
            collector.append(part);
            const { byteCount, heldByteCount } = collector;
            if (byteCount > maxBytes) finish(err("too_large"));
            else if (heldByteCount > share.byteCount && !share.tryHold(heldByteCount)) finish(err("no_memory"));
        };
        if (Number(incoming.headers["content-length"] ?? 0) > maxBytes) return finish(err("too_large"));
        // Its events have been emitted already.
        if (incoming.destroyed) return finish(err("broken"));
        share.onTakenAway(() => finish(err("no_memory")));
        incoming.on("data", keep);
        incoming.once("end", () => finish(ok(collector.byteCount === 0 ? undefined : collector.toBuffer())));
        // The connection must stay open to send the refusal of a body that can't be kept.
        incoming.once("error", () => finish(err("broken")));
        incoming.once("close", () => finish(err("broken")));
    });
}
