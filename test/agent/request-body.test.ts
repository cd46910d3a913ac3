import { BodyMemory } from "@skylarkmill/coordination";
import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import { describe, expect, it } from "vitest";
import { readRequestBody } from "../../packages/agent/src/utils/read-request-body.ts";
import { measureKeptPieces } from "../support/kept-memory.ts";

const MAX_BYTES = 400_000;

function toRequest(body: PassThrough, headers: IncomingMessage["headers"] = {}): IncomingMessage {
    return Object.assign(body, { headers }) as unknown as IncomingMessage;
}

describe("a request's body at an agent", () => {
    // Guards against memory that grows with the number of pieces in place of their bytes.
    it("takes little more memory than its bytes in one-byte pieces", async () => {
        const text = "x".repeat(300_000);
        const { keptBytes, result } = await measureKeptPieces(
            text,
            body => readRequestBody(toRequest(body), MAX_BYTES, new BodyMemory(2 * MAX_BYTES).open()),
        );
        expect(Buffer.from(result._unsafeUnwrap()!).toString("latin1")).toBe(text);
        expect(keptBytes).toBeLessThan(6_000_000);
    });

    it.each([
        { name: "empty", pieces: [], expected: undefined },
        { name: "of one piece", pieces: ["abc"], expected: "abc" },
        { name: "of several pieces", pieces: ["a", "b".repeat(70_000), "c"], expected: `a${"b".repeat(70_000)}c` },
        { name: "of the largest size", pieces: ["a".repeat(MAX_BYTES)], expected: "a".repeat(MAX_BYTES) },
        { name: "over the limit", pieces: ["a".repeat(MAX_BYTES), "b"], error: "too_large" },
        { name: "with a stated length over the limit", pieces: [], stated: "400001", error: "too_large" },
    ])("is read or refused: $name", async ({ pieces, expected, stated, error }) => {
        const request = toRequest(new PassThrough(), stated === undefined ? {} : { "content-length": stated });
        const result = readRequestBody(request, MAX_BYTES, new BodyMemory(2 * MAX_BYTES).open());
        for (const piece of pieces) (request as unknown as PassThrough).write(Buffer.from(piece));
        (request as unknown as PassThrough).end();
        const body = await result;
        expect(body.isErr() ? body.error : undefined).toBe(error);
        expect(body.isOk() && body.value !== undefined ? Buffer.from(body.value).toString() : undefined).toBe(expected);
    });

    // Guards against a request that waits for ever, and against memory that nobody returns.
    it.each(["before", "while"])("is broken if its connection closes %s it is read", async moment => {
        const memory = new BodyMemory(MAX_BYTES);
        const request = toRequest(new PassThrough());
        if (moment === "before") request.destroy();
        const result = readRequestBody(request, MAX_BYTES, memory.open());
        if (moment === "while") {
            (request as unknown as PassThrough).write("abc");
            setImmediate(() => request.destroy());
        }
        expect((await result)._unsafeUnwrapErr()).toBe("broken");
        expect(memory.heldByteCount).toBe(0);
    });

    it("is refused if there is no memory for it", async () => {
        const memory = new BodyMemory(1_000);
        const request = toRequest(new PassThrough());
        const result = readRequestBody(request, MAX_BYTES, memory.open());
        (request as unknown as PassThrough).write("x".repeat(1_001));
        expect((await result)._unsafeUnwrapErr()).toBe("no_memory");
        expect(memory.heldByteCount).toBe(0);
    });
});
