import { classifyUnnumberedEvent, EventSplitter, MAX_EVENT_BYTES } from "@skylarkmill/gateway";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { MAX_HELD_BYTES, TinyPieces } from "../support/held-memory.ts";
import { seeded } from "../support/seed.ts";

const CHUNK_BYTES = 16 * 1024;
const LONG_EVENT_BYTES = 16 * 1024 * 1024;
/** Work per byte may grow by this factor at most from a short to a long event; copies of all pending bytes grow by 100. */
const MAX_WORK_GROWTH = 8;

/** Splits with a regular expression over the whole text, as a reference. */
function splitWhole(text: string): string[] {
    return text.match(/[^]*?\n\r?\n/g) ?? [];
}

function pushAll(splitter: EventSplitter, text: string, cuts: readonly number[]): string[] {
    const bytes = Buffer.from(text, "latin1");
    const bounds = [0, ...cuts.map(cut => cut % (bytes.length + 1)).sort((a, b) => a - b), bytes.length];
    return bounds.slice(1).flatMap((end, index) => splitter.push(bytes.subarray(bounds[index], end))).map(event =>
        event.raw.toString("latin1")
    );
}

describe("event splitter", () => {
    it("finds the same events wherever the bytes are cut", () => {
        const text = fc.array(fc.constantFrom("\n", "\r", "\r\n", "\n\n", "id: 7", "data: x", "é"), { maxLength: 40 })
            .map(parts => parts.join(""));
        fc.assert(
            fc.property(text, fc.array(fc.nat(200), { maxLength: 12 }), (whole, cuts) => {
                const splitter = new EventSplitter();
                const events = pushAll(splitter, whole, cuts);
                expect(events).toEqual(splitWhole(whole));
                expect(splitter.pendingByteCount).toBe(Buffer.from(whole, "latin1").length - events.join("").length);
            }),
            seeded(500),
        );
    });

    it.each([
        { text: "id: 7\n\n", id: 7 },
        { text: "data: x\nid:12\n\n", id: 12 },
        { text: "id: 999999999999999\n\n", id: 999_999_999_999_999 },
        { text: "id: 9007199254740993\n\n", id: undefined },
        { text: `id: ${"9".repeat(400)}\n\n`, id: undefined },
        { text: "id: x\n\n", id: undefined },
    ])("reads the id $id of an event, and none that is no exact integer", ({ text, id }) => {
        expect(new EventSplitter().push(Buffer.from(text))).toMatchObject([{ id }]);
    });

    it("accepts any bytes", () => {
        fc.assert(
            fc.property(fc.array(fc.uint8Array({ maxLength: 64 }), { maxLength: 20 }), chunks => {
                const splitter = new EventSplitter();
                for (const chunk of chunks) splitter.push(Buffer.from(chunk));
            }),
            seeded(500),
        );
    });

    // Guards against an engine that stalls a host and takes its memory: all pending bytes were copied and scanned again
    // for each chunk of an event without end.
    it("detects an event without end within its limit", () => {
        const splitter = new EventSplitter();
        let byteCount = 0;
        while (!splitter.isEventTooLong) {
            expect(splitter.push(Buffer.alloc(CHUNK_BYTES, "x"))).toEqual([]);
            byteCount += CHUNK_BYTES;
            expect(byteCount).toBeLessThanOrEqual(MAX_EVENT_BYTES + CHUNK_BYTES);
        }
    });

    // Guards against memory that grows with the number of pieces.
    it("takes little more memory than an incomplete event", async () => {
        const splitter = new EventSplitter();
        const pieces = new TinyPieces();
        await pieces.passTo(piece => void splitter.push(piece));
        expect(splitter.pendingByteCount).toBe(pieces.text.length);
        expect(pieces.heldByteCount).toBeLessThan(MAX_HELD_BYTES);
    });

    it("does linear work on a long event", () => {
        const measureNsPerByte = (byteCount: number): number => {
            const splitter = new EventSplitter();
            const chunk = Buffer.alloc(CHUNK_BYTES, "x");
            const startedAt = process.hrtime.bigint();
            for (let pushed = 0; pushed < byteCount; pushed += CHUNK_BYTES) splitter.push(chunk);
            return Number(process.hrtime.bigint() - startedAt) / byteCount;
        };
        measureNsPerByte(LONG_EVENT_BYTES / 16);
        const shortest = (byteCount: number): number =>
            Math.min(...Array.from({ length: 5 }, () => measureNsPerByte(byteCount)));
        expect(shortest(LONG_EVENT_BYTES)).toBeLessThanOrEqual(MAX_WORK_GROWTH * shortest(LONG_EVENT_BYTES / 16));
    });
});

// Guards against bytes that are relayed as an event although no reader of event streams would take them for one.
describe("an event without an id", () => {
    it.each([
        ["data: x\n\n", "data"],
        [": note\ndata\r\n\r\n", "data"],
        ["data: \n\n", "data"],
        [": ping\n\n", "control"],
        ["event: end\nretry: 10\n\n", "control"],
        ["\n", "control"],
        ["internal error\n\n", "foreign"],
        ["database: down\n\n", "foreign"],
        ["HTTP/1.1 500 Error\r\nContent-Length: 4\r\n\r\n", "foreign"],
        [': ping\n{"error": 1}\n\n', "foreign"],
    ])("%j is %s", (raw, kind) => expect(classifyUnnumberedEvent(Buffer.from(raw))).toBe(kind));
});
