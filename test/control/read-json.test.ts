import { BodyMemory } from "@skylarkmill/coordination";
import { PassThrough, Readable } from "node:stream";
import { describe, expect, it } from "vitest";
import { readJson } from "../../packages/control/src/utils/read-json.ts";
import { eventually } from "../support/eventually.ts";
import { measureKeptPieces } from "../support/kept-memory.ts";

const MAX_BYTES = 400_000;

function toRequest(body: Readable): Request {
    return new Request("http://h/", { method: "PUT", body: Readable.toWeb(body) as ReadableStream, duplex: "half" });
}

describe("a body that an operator sends", () => {
    // Guards against memory that grows with the number of pieces in place of their bytes.
    it("takes little more memory than its bytes in one-byte pieces", async () => {
        const text = JSON.stringify({ text: "x".repeat(300_000) });
        const { keptBytes, result } = await measureKeptPieces(
            text,
            body => readJson(toRequest(body), MAX_BYTES, new BodyMemory(2 * MAX_BYTES)),
        );
        expect(JSON.stringify(result._unsafeUnwrap())).toBe(text);
        expect(keptBytes).toBeLessThan(6_000_000);
    });

    // Guards against bodies that never end and keep all others out.
    it("gives its memory up to another one after its time, and is refused", async () => {
        const memory = new BodyMemory(1_500);
        const unfinished = new PassThrough();
        const refused = readJson(toRequest(unfinished), MAX_BYTES, memory);
        unfinished.write("x".repeat(1_000));
        const text = JSON.stringify("y".repeat(1_000));
        const status = await eventually("another body is read", async () => {
            const result = await readJson(toRequest(Readable.from([Buffer.from(text)])), MAX_BYTES, memory);
            return result.isOk() ? 200 : undefined;
        });
        expect(status).toBe(200);
        expect((await refused)._unsafeUnwrapErr()).toMatchObject({ status: 503, body: { outcome: "not_accepted" } });
        expect(memory.heldByteCount).toBe(0);
    });
});
