import { ProtocolError } from "@skylarkmill/protocol";
import { describe, expect, it } from "vitest";
import { readBoundedBody } from "../../packages/adapters/src/runtime/bounded-body.ts";
import { MAX_HELD_BYTES, TinyPieces } from "../support/held-memory.ts";

const CONTEXT = { step: "test", peer: "peer" };

// Guards against a store or an engine whose answer takes a hundred times its size.
describe("an answer in tiny pieces", () => {
    it("is read with little more memory than its bytes", async () => {
        const pieces = new TinyPieces();
        expect(await readBoundedBody(pieces.read(), pieces.text.length, CONTEXT)).toBe(pieces.text);
        expect(pieces.heldByteCount).toBeLessThan(MAX_HELD_BYTES);
    });

    it.each([
        { text: "abc", maxBytes: 3, isRead: true },
        { text: "abc", maxBytes: 2, isRead: false },
        { text: "", maxBytes: 0, isRead: true },
    ])("is read up to its limit: %o", async ({ text, maxBytes, isRead }) => {
        const result = readBoundedBody(new TinyPieces(text).read(), maxBytes, CONTEXT);
        if (isRead) expect(await result).toBe(text);
        else await expect(result).rejects.toThrow(ProtocolError);
    });
});
