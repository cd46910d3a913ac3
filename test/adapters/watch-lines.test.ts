import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { readLines } from "../../packages/adapters/src/runtime/etcd-watch.ts";
import { MAX_HELD_BYTES, TinyPieces } from "../support/held-memory.ts";
import { seeded } from "../support/seed.ts";

const CHUNK_BYTES = 1024;
const SHORT_LINE_BYTES = 1024 * 1024;
const LONG_LINE_BYTES = 16 * SHORT_LINE_BYTES;
/** Work per byte may grow by this factor at most from a short to a long line. */
const MAX_WORK_GROWTH = 8;
const RUN_COUNT = 5;

async function* cut(bytes: Buffer, cuts: readonly number[]): AsyncGenerator<Buffer> {
    const bounds = [0, ...cuts.map(at => at % (bytes.length + 1)).sort((a, b) => a - b), bytes.length];
    for (const [index, end] of bounds.slice(1).entries()) yield bytes.subarray(bounds[index], end);
}

async function collect(body: AsyncIterable<Buffer>, maxBytes: number): Promise<string[]> {
    const lines: string[] = [];
    for await (const line of readLines(body, maxBytes, "peer")) lines.push(line);
    return lines;
}

async function measureOnce(lineByteCount: number): Promise<number> {
    const bytes = Buffer.concat([Buffer.alloc(lineByteCount, "x"), Buffer.from("\n")]);
    const cuts = Array.from({ length: lineByteCount / CHUNK_BYTES }, (_, index) => index * CHUNK_BYTES);
    const startedAtMs = performance.now();
    expect(await collect(cut(bytes, cuts), Infinity)).toHaveLength(1);
    return (performance.now() - startedAtMs) / lineByteCount;
}

/** Shortest of several runs, since other processes slow single ones down. */
async function measureMsPerByte(lineByteCount: number): Promise<number> {
    let shortestMs = Infinity;
    for (let run = 0; run < RUN_COUNT; run += 1) shortestMs = Math.min(shortestMs, await measureOnce(lineByteCount));
    return shortestMs;
}

// Guards against a watch that blocks its process, or fills its memory, while a long line arrives in parts.
describe("the lines of a watch", () => {
    it("are the same wherever the bytes are cut", async () => {
        const text = fc.array(fc.constantFrom("\n", "\r\n", "{}", "é", " ", "x"), { maxLength: 40 })
            .map(parts => parts.join(""));
        await fc.assert(
            fc.asyncProperty(text, fc.array(fc.nat(200), { maxLength: 12 }), async (whole, cuts) => {
                const expected = whole.split("\n").slice(0, -1).map(line => line.trim()).filter(line => line !== "");
                expect(await collect(cut(Buffer.from(whole), cuts), Infinity)).toEqual(expected);
            }),
            seeded(500),
        );
    });

    it("cost no more per byte if they are long", async () => {
        const msPerByte = await measureMsPerByte(SHORT_LINE_BYTES);
        expect(await measureMsPerByte(LONG_LINE_BYTES)).toBeLessThan(MAX_WORK_GROWTH * msPerByte);
    });

    it("take little more memory than their bytes in tiny pieces", async () => {
        const pieces = new TinyPieces(undefined, "\n");
        expect(await collect(pieces.read(), Infinity)).toEqual([pieces.text]);
        expect(pieces.heldByteCount).toBeLessThan(MAX_HELD_BYTES);
    });

    it("end the watch if one is longer than a message may be", async () => {
        await expect(collect(cut(Buffer.alloc(4 * CHUNK_BYTES), [CHUNK_BYTES]), CHUNK_BYTES)).rejects.toMatchObject({
            message: "the watch message is too long",
        });
    });
});
