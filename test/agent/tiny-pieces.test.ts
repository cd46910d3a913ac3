import { describe, expect, it } from "vitest";
import { readResponseBody } from "../../packages/agent/src/runtime/response-body.ts";
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
