import { KEYS } from "@skylarkmill/config";
import { HEADERS, toId } from "@skylarkmill/protocol";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { FencingTokenSource } from "../../packages/agent/src/node/fencing-token-source.ts";
import { RequestDeduplicator } from "../../packages/agent/src/runtime/request-deduplicator.ts";
import { SseParser } from "../../packages/agent/src/runtime/sse-parser.ts";
import { StreamChecker, StreamNumbering } from "../../packages/agent/src/runtime/stream-checker.ts";
import { parseRequestHead } from "../../packages/agent/src/utils/request-head.ts";
import { MemoryKeyValueStore } from "../support/memory-key-value-store.ts";
import { seeded } from "../support/seed.ts";
import { doneEvent, streamChunk } from "./fakes/fake-engine.ts";

const HOUR_MS = 3_600_000;

// Guards against a second run of a non-idempotent request, and against unbounded growth of the stored keys.
describe("the deduplication of non-idempotent requests", () => {
    const cases = [
        { name: "the same key", storedKeys: ["a"], releasedKeys: [], atMs: 1, keys: ["a"], isAccepted: false },
        {
            name: "two keys of which one is stored",
            storedKeys: ["a"],
            releasedKeys: [],
            atMs: 1,
            keys: ["b", "a"],
            isAccepted: false,
        },
        { name: "another key", storedKeys: ["a"], releasedKeys: [], atMs: 1, keys: ["b"], isAccepted: true },
        {
            name: "a key whose request did not run",
            storedKeys: ["a"],
            releasedKeys: ["a"],
            atMs: 1,
            keys: ["a"],
            isAccepted: true,
        },
        {
            name: "a key that has reached the maximum age",
            storedKeys: ["a"],
            releasedKeys: [],
            atMs: 24 * HOUR_MS,
            keys: ["a"],
            isAccepted: true,
        },
        {
            name: "a key just below the maximum age",
            storedKeys: ["a"],
            releasedKeys: [],
            atMs: 24 * HOUR_MS - 1,
            keys: ["a"],
            isAccepted: false,
        },
        {
            name: "the newest of more keys than fit",
            storedKeys: ["a", "b", "c", "d"],
            releasedKeys: [],
            atMs: 1,
            keys: ["d"],
            isAccepted: false,
        },
        {
            name: "the oldest of more keys than fit",
            storedKeys: ["a", "b", "c", "d"],
            releasedKeys: [],
            atMs: 1,
            keys: ["a"],
            isAccepted: true,
        },
    ];
    it.each(cases)("returns $isAccepted for $name", ({ storedKeys, releasedKeys, atMs, keys, isAccepted }) => {
        const deduplicator = new RequestDeduplicator({ maxCount: 3, maxAgeMs: 24 * HOUR_MS });
        for (const key of storedKeys) deduplicator.tryAdd([key], 0);
        deduplicator.release(releasedKeys);
        expect(deduplicator.tryAdd(keys, atMs)).toBe(isAccepted);
    });
});

// Guards against relayed bytes that depend on how the network splits the stream into packets.
it("parses the same events wherever the stream is split", () => {
    const events = [streamChunk("1", 0), ": ping\r\n\r\n", streamChunk("1", 1, true), doneEvent(2)];
    const bytes = Buffer.from(events.join(""));
    fc.assert(
        fc.property(fc.array(fc.nat(bytes.length)), cuts => {
            const parser = new SseParser(10_000);
            const ends = [...new Set(cuts), bytes.length].sort((a, b) => a - b);
            const parsed = ends.flatMap((end, index) => parser.push(bytes.subarray(ends[index - 1] ?? 0, end)));
            expect(parsed.map(event => Buffer.from(event.raw).toString())).toEqual(events);
        }),
        seeded(300),
    );
});

// Guards against an event without an end that fills the agent's memory.
it("throws a RangeError for an event that exceeds the maximum size", () => {
    const parser = new SseParser(10);
    expect(() => parser.push(Buffer.from("data: 0123456789"))).toThrow(RangeError);
});

// Guards against an undetected loss of the first chunk, at engines that number chunks from 0 or from 1.
describe("the first chunk of a stream", () => {
    const cases = [
        { seen: [], first: 0, verdict: "relay" },
        { seen: [], first: 1, verdict: "relay" },
        { seen: [], first: 2, verdict: "gap" },
        { seen: [1], first: 1, verdict: "relay" },
        { seen: [0], first: 1, verdict: "gap" },
    ];
    it.each(cases)(
        "with number $first after streams that started with $seen gets the verdict $verdict",
        ({ seen, first, verdict }) => {
            const numbering = new StreamNumbering();
            const check = (sequence: number): string => {
                const [event] = new SseParser(1000).push(Buffer.from(streamChunk("1", sequence)));
                return new StreamChecker(toId("1"), numbering).check(event!);
            };
            seen.forEach(check);
            expect(check(first)).toBe(verdict);
        },
    );
});

// Guards against requests that run without a deadline or under the id of another request.
describe("the parser of request heads", () => {
    const complete: Record<string, string> = {
        [HEADERS.requestId]: "r",
        [HEADERS.attemptId]: "a",
        [HEADERS.service]: "s",
        [HEADERS.remainingMs]: "250",
    };
    it("reads the ids and computes the absolute deadline", () => {
        const head = parseRequestHead(name => complete[name], 1000)._unsafeUnwrap();
        expect(head).toMatchObject({ requestId: "r", attemptId: "a", deadlineAtMs: 1250, isNonIdempotent: false });
    });
    const faults = [
        ...Object.keys(complete).map(name => ({ name, value: undefined })),
        ...["", "soon", "-1", "600001", "NaN"].map(value => ({ name: HEADERS.remainingMs, value })),
    ];
    it.each(faults)("names the header $name in the error when its value is $value", ({ name, value }) => {
        const headers = { ...complete, [name]: value };
        expect(parseRequestHead(key => headers[key], 0)._unsafeUnwrapErr()).toContain(name);
    });
});

// Guards against two agents that both send orders to one engine, and against an agent whose orders are refused
// permanently after the key-value service was restored from older data.
describe("the fencing token", () => {
    const cases = [
        {
            name: "first start",
            storedStartNumber: undefined,
            startNumberBeforeRefusal: undefined,
            expectedChange: "raised",
            expectedStartNumber: 1,
        },
        {
            name: "third start",
            storedStartNumber: "2",
            startNumberBeforeRefusal: undefined,
            expectedChange: "raised",
            expectedStartNumber: 3,
        },
        {
            name: "refusal after a restore of older data",
            storedStartNumber: "6",
            startNumberBeforeRefusal: "4",
            expectedChange: "raised",
            expectedStartNumber: 8,
        },
        {
            name: "refusal after another agent started",
            storedStartNumber: "6",
            startNumberBeforeRefusal: "9",
            expectedChange: "kept",
            expectedStartNumber: 7,
        },
    ];
    it.each(cases)(
        "is raised above all earlier tokens, but kept when another agent has claimed a newer one: $name",
        async ({ storedStartNumber, startNumberBeforeRefusal, expectedChange, expectedStartNumber }) => {
            const store = new MemoryKeyValueStore();
            const key = KEYS.fence("server-1");
            const put = async (value: string): Promise<void> => {
                const modRevision = (await store.get(key))._unsafeUnwrap()?.modRevision ?? 0;
                await store.commit({ compare: [{ key, modRevision }], puts: [{ key, value }] });
            };
            if (storedStartNumber !== undefined) await put(storedStartNumber);
            const fencing = new FencingTokenSource(store, toId("server-1"));
            (await fencing.claimStartNumber())._unsafeUnwrap();
            if (startNumberBeforeRefusal !== undefined) {
                await put(startNumberBeforeRefusal);
                expect((await fencing.claimStartNumberAfterRefusal()).isOk()).toBe(expectedChange === "raised");
            }
            expect(fencing.token).toBe(expectedStartNumber * 1_000_000);
            fencing.incrementLocally();
            expect(fencing.token).toBe(expectedStartNumber * 1_000_000 + 1);
            expect((await store.get(key))._unsafeUnwrap()?.value).toBe(
                expectedChange === "kept" ? startNumberBeforeRefusal : String(expectedStartNumber),
            );
        },
    );
});
