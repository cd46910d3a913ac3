import { KEYS } from "@skylarkmill/config";
import { HEADERS, toId } from "@skylarkmill/protocol";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { Fencing } from "../../packages/agent/src/node/fencing.ts";
import { OnceMemory } from "../../packages/agent/src/runtime/once-memory.ts";
import { SseParser } from "../../packages/agent/src/runtime/sse-parser.ts";
import { StreamChecker, StreamNumbering } from "../../packages/agent/src/runtime/stream-checker.ts";
import { parseRequestHead } from "../../packages/agent/src/utils/request-head.ts";
import { MemoryKeyValueStore } from "../support/memory-key-value-store.ts";
import { seeded } from "../support/seed.ts";
import { chunk, done } from "./fakes/fake-engine.ts";

const HOUR_MS = 3_600_000;

// Guards against a second run of a non-idempotent request, and against a memory that grows without bound.
describe("the memory of requests that must run once", () => {
    const cases = [
        { name: "the same name", earlier: ["a"], release: [], atMs: 1, names: ["a"], taken: false },
        { name: "one of two names", earlier: ["a"], release: [], atMs: 1, names: ["b", "a"], taken: false },
        { name: "another name", earlier: ["a"], release: [], atMs: 1, names: ["b"], taken: true },
        { name: "a name that did not run", earlier: ["a"], release: ["a"], atMs: 1, names: ["a"], taken: true },
        { name: "a name of yesterday", earlier: ["a"], release: [], atMs: 24 * HOUR_MS, names: ["a"], taken: true },
        { name: "a name of today", earlier: ["a"], release: [], atMs: 24 * HOUR_MS - 1, names: ["a"], taken: false },
        { name: "the newest of many", earlier: ["a", "b", "c", "d"], release: [], atMs: 1, names: ["d"], taken: false },
        { name: "the oldest of many", earlier: ["a", "b", "c", "d"], release: [], atMs: 1, names: ["a"], taken: true },
    ];
    it.each(cases)("answers for $name", ({ earlier, release, atMs, names, taken }) => {
        const once = new OnceMemory({ maxCount: 3, maxAgeMs: 24 * HOUR_MS });
        for (const name of earlier) once.take([name], 0);
        once.release(release);
        expect(once.take(names, atMs)).toBe(taken);
    });
});

// Guards against answers whose relayed bytes depend on how the network cut them.
it("relays the same events however the stream is cut", () => {
    const events = [chunk("1", 0), ": ping\r\n\r\n", chunk("1", 1, true), done(2)];
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

// Guards against an engine that fills the agent's memory with one event.
it("refuses an event without an end", () => {
    const parser = new SseParser(10);
    expect(() => parser.push(Buffer.from("data: 0123456789"))).toThrow(RangeError);
});

// Guards against a first chunk that is lost unseen, with engines that number from 0 and from 1.
describe("the first chunk of a stream", () => {
    const cases = [
        { seen: [], first: 0, verdict: "relay" },
        { seen: [], first: 1, verdict: "relay" },
        { seen: [], first: 2, verdict: "gap" },
        { seen: [1], first: 1, verdict: "relay" },
        { seen: [0], first: 1, verdict: "gap" },
    ];
    it.each(cases)("numbered $first after streams that began at $seen: $verdict", ({ seen, first, verdict }) => {
        const numbering = new StreamNumbering();
        const check = (sequence: number): string => {
            const [event] = new SseParser(1000).push(Buffer.from(chunk("1", sequence)));
            return new StreamChecker(toId("1"), numbering).check(event!);
        };
        seen.forEach(check);
        expect(check(first)).toBe(verdict);
    });
});

// Guards against requests that run without a deadline or under another request's name.
describe("the head of a request", () => {
    const complete: Record<string, string> = {
        [HEADERS.requestId]: "r",
        [HEADERS.attemptId]: "a",
        [HEADERS.service]: "s",
        [HEADERS.deadlineMs]: "250",
    };
    it("is read from the headers", () => {
        const head = parseRequestHead(name => complete[name], 1000)._unsafeUnwrap();
        expect(head).toMatchObject({ requestId: "r", attemptId: "a", deadlineAtMs: 1250, once: false });
    });
    const faults = [
        ...Object.keys(complete).map(name => ({ name, value: undefined })),
        ...["", "soon", "-1", "600001", "NaN"].map(value => ({ name: HEADERS.deadlineMs, value })),
    ];
    it.each(faults)("names $name when it is $value", ({ name, value }) => {
        const headers = { ...complete, [name]: value };
        expect(parseRequestHead(key => headers[key], 0)._unsafeUnwrapErr()).toContain(name);
    });
});

// Guards against two agents that go on ordering one engine, and against an agent that can't order it
// any more after the key-value service was restored from older data.
describe("the fencing token", () => {
    const cases = [
        { name: "first start", stored: undefined, between: undefined, after: "raised", token: 1 },
        { name: "third start", stored: "2", between: undefined, after: "raised", token: 3 },
        { name: "refused, older data", stored: "6", between: "4", after: "raised", token: 8 },
        { name: "refused, another agent", stored: "6", between: "9", after: "kept", token: 7 },
    ];
    it.each(cases)("is right after: $name", async ({ stored, between, after, token }) => {
        const store = new MemoryKeyValueStore();
        const key = KEYS.fence("server-1");
        const put = async (value: string): Promise<void> => {
            const modRevision = (await store.get(key))._unsafeUnwrap()?.modRevision ?? 0;
            await store.commit({ compare: [{ key, modRevision }], puts: [{ key, value }] });
        };
        if (stored !== undefined) await put(stored);
        const fencing = new Fencing(store, toId("server-1"));
        (await fencing.raise())._unsafeUnwrap();
        if (between !== undefined) {
            await put(between);
            expect((await fencing.raiseAfterRefusal()).isOk()).toBe(after === "raised");
        }
        expect(fencing.token).toBe(token * 1_000_000);
        fencing.raiseLocally();
        expect(fencing.token).toBe(token * 1_000_000 + 1);
        expect((await store.get(key))._unsafeUnwrap()?.value).toBe(after === "kept" ? between : String(token));
    });
});
