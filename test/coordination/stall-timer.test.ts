import { StallTimer } from "@skylarkmill/coordination";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { MAX_HELD_BYTES, TinyPieces } from "../support/held-memory.ts";

const TIMEOUT_MS = 60_000;

let timer: StallTimer;

beforeEach(() => {
    timer = new StallTimer(TIMEOUT_MS, TIMEOUT_MS);
});

afterEach(() => timer.stop());

// Guards against a peer whose response takes a hundred times its size, or is read without end.
describe("the text of a response in tiny pieces", () => {
    it("is read with little more memory than its bytes", async () => {
        const pieces = new TinyPieces();
        expect(await timer.readText(pieces.read(), pieces.text.length)).toBe(pieces.text);
        expect(pieces.heldByteCount).toBeLessThan(MAX_HELD_BYTES);
    });

    it.each([
        { text: "abc", maxBytes: 3, isRead: true },
        { text: "abc", maxBytes: 2, isRead: false },
        { text: "", maxBytes: 0, isRead: true },
    ])("is read up to its limit: %o", async ({ text, maxBytes, isRead }) => {
        const result = timer.readText(new TinyPieces(text).read(), maxBytes);
        if (isRead) expect(await result).toBe(text);
        else await expect(result).rejects.toThrow(RangeError);
    });
});
