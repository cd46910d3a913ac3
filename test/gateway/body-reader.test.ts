import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import { describe, expect, it } from "vitest";
import { type BodyMemory, BodyReader } from "../../packages/gateway/src/node/body-reader.ts";
import { ByteBudget } from "../../packages/gateway/src/runtime/byte-budget.ts";
import { BodyBlockPool } from "../../packages/gateway/src/runtime/request-body.ts";

const MAX_BODY_BYTES = 1024 * 1024;

function createReader(
    request: PassThrough,
    maxSmallBytes = MAX_BODY_BYTES,
): { readonly memory: BodyMemory; readonly reader: BodyReader; } {
    const memory = {
        largeBudget: new ByteBudget(MAX_BODY_BYTES),
        smallBudget: new ByteBudget(maxSmallBytes),
        pool: new BodyBlockPool(),
    };
    const message = Object.assign(request, { headers: {} }) as unknown as IncomingMessage;
    return { memory, reader: new BodyReader(message, MAX_BODY_BYTES, memory) };
}

describe("the budget of a body in small pieces", () => {
    it.each([
        { byteCount: 300, pieceByteCount: 1 },
        { byteCount: 9_000, pieceByteCount: 1 },
        { byteCount: 9_000, pieceByteCount: 100 },
        { byteCount: 9_000, pieceByteCount: 9_000 },
    ])("counts its bytes once it is complete: %o", async ({ byteCount, pieceByteCount }) => {
        const request = new PassThrough({ highWaterMark: MAX_BODY_BYTES });
        const { memory, reader } = createReader(request);
        const read = reader.read();
        for (let offset = 0; offset < byteCount; offset += pieceByteCount) request.write(Buffer.alloc(pieceByteCount));
        request.end();
        const body = (await read)._unsafeUnwrap();
        expect(body!.byteCount).toBe(byteCount);
        expect(memory.smallBudget.byteCount).toBe(byteCount);
        reader.discard();
        reader.discard();
        expect(memory.smallBudget.byteCount).toBe(0);
    });

    it.each([
        { name: "small", byteCount: 10_000, maxSmallBytes: 5_000 },
        { name: "that moves to blocks and exceeds their room", byteCount: 1_040_000, maxSmallBytes: 100_000 },
        { name: "over the limit", byteCount: 1_100_000, maxSmallBytes: 100_000 },
    ])("is free after a refusal, whatever still comes: a body $name", async ({ byteCount, maxSmallBytes }) => {
        const request = new PassThrough({ highWaterMark: 2 * MAX_BODY_BYTES });
        const { memory, reader } = createReader(request, maxSmallBytes);
        memory.largeBudget.reserve(65_536);
        const read = reader.read();
        for (let offset = 0; offset < byteCount; offset += 100) request.write(Buffer.alloc(100));
        request.end();
        expect((await read).isErr()).toBe(true);
        reader.discard();
        request.destroy();
        reader.discard();
        expect(memory.smallBudget.byteCount).toBe(0);
        expect(memory.largeBudget.byteCount).toBe(65_536);
    });
});
