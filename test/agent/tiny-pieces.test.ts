import { describe, expect, it, vi } from "vitest";
import { readResponseBody } from "../../packages/agent/src/runtime/response-body.ts";
import { SseParser } from "../../packages/agent/src/runtime/sse-parser.ts";
import { MAX_HELD_BYTES, TinyPieces } from "../support/held-memory.ts";

// Guards against an engine whose response takes a hundred times its size.
describe("a body in tiny pieces", () => {
    it("is read with little more memory than its bytes", async () => {
        const pieces = new TinyPieces();
        const body = await readResponseBody(pieces.read(), String(pieces.text.length), pieces.text.length);
        expect(Buffer.from(body._unsafeUnwrap()).toString()).toBe(pieces.text);
        expect(pieces.heldByteCount).toBeLessThan(MAX_HELD_BYTES);
    });

    it.each([
        { text: "abc", stated: "3", maxBytes: 3, error: undefined },
        { text: "abc", stated: undefined, maxBytes: 2, error: "The answer is too long." },
        { text: "abc", stated: "4", maxBytes: 9, error: "The answer's length differs from its Content-Length." },
    ])("is checked: %o", async ({ text, stated, maxBytes, error }) => {
        const body = await readResponseBody(new TinyPieces(text).read(), stated, maxBytes);
        expect(body.isErr() ? body.error : undefined).toBe(error);
    });
});

describe("an event in tiny pieces", () => {
    it("takes little more memory than its bytes", async () => {
        const parser = new SseParser(Infinity);
        const pieces = new TinyPieces();
        await pieces.passTo(piece => void parser.push(piece));
        expect(pieces.heldByteCount).toBeLessThan(MAX_HELD_BYTES);
    });

    // Guards against work that grows with the square of an event's length: its pending bytes were copied and scanned
    // again for each piece.
    it("is copied and scanned a few times at most", () => {
        const text = `id: 1\ndata: ${"x".repeat(10_000)}\n\n`;
        const concat = vi.spyOn(Buffer, "concat");
        const indexOf = vi.spyOn(Buffer.prototype, "indexOf");
        const parser = new SseParser(Infinity);
        const events = Array.from(Buffer.from(text), byte => parser.push(Buffer.from([byte]))).flat();
        const copiedByteCount = concat.mock.results.reduce((sum, { value }) => sum + (value as Buffer).length, 0);
        const scannedByteCount = indexOf.mock.contexts.reduce(
            (sum: number, buffer, index) =>
                sum + (buffer as Buffer).length - Number(indexOf.mock.calls[index]![1] ?? 0),
            0,
        );
        concat.mockRestore();
        indexOf.mockRestore();
        expect(events.map(event => Buffer.from(event.raw).toString())).toEqual([text]);
        expect(copiedByteCount).toBeLessThanOrEqual(2 * text.length);
        expect(scannedByteCount).toBeLessThanOrEqual(2 * text.length);
    });
});
