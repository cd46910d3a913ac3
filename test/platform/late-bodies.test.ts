import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import { PacedCaller } from "../support/paced-caller.ts";
import { createConfigurationDocument, HOST, PlatformFixture } from "./stand-ins/fixture.ts";

const DEADLINE_MS = 800;
const SLACK_MS = 500;
const MAX_BODY_BYTES = 4 * 1024 * 1024;
/** Stated bodies of this many callers are more than the gateway has room for. */
const UPLOAD_COUNT = 20;

let fixture: PlatformFixture;
let callers: PacedCaller[] = [];

beforeAll(async () => {
    fixture = await PlatformFixture.start();
    await fixture.addServer({ id: "d1", service: "desk" });
    const limits = { max_body_bytes: MAX_BODY_BYTES, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 };
    fixture.store.put("op/config", createConfigurationDocument(2, { limits }, 10_000));
    await fixture.addGateway("edge-1");
    await fixture.waitUntilServerAvailable(0, "d1");
});

afterEach(() => {
    for (const caller of callers) caller.close();
    callers = [];
});

afterAll(async () => {
    await fixture.close();
});

function connectCaller(): PacedCaller {
    const caller = new PacedCaller(fixture.frontPort(0));
    callers.push(caller);
    return caller;
}

function createHead(bodyHeader: string, deadlineMs = DEADLINE_MS): string {
    const lines = `host: ${HOST}\r\nx-attempt-id: ${fixture.newId()}\r\nx-deadline-ms: ${deadlineMs}\r\n`;
    return `POST /lookup/x HTTP/1.1\r\n${lines}${bodyHeader}\r\n\r\n`;
}

// Guards against callers that keep connections and memory with a body that never ends.
describe("a body that is late", () => {
    it.each<{ name: string; status?: number; code?: string; start: (caller: PacedCaller) => unknown; }>([
        { name: "without a byte", start: caller => caller.send(createHead("content-length: 100")) },
        { name: "after half of it", start: caller => caller.send(`${createHead("content-length: 8")}half`) },
        {
            name: "one byte at a time",
            start: caller => caller.send(createHead("content-length: 1000")).drip("x", 100),
        },
        {
            name: "one chunk at a time",
            start: caller => caller.send(createHead("transfer-encoding: chunked")).drip("1\r\nx\r\n", 100),
        },
        {
            // It is refused before it is late; the rest is read until then, so that its caller can take the refusal.
            name: "above the limit, one byte at a time",
            status: 413,
            code: "invalid_request",
            start: caller => caller.send(createHead(`content-length: ${MAX_BODY_BYTES + 1}`)).drip("x", 100),
        },
    ])("is refused, and its connection ends at the request's deadline: $name", async (
        { status = 408, code = "body_timeout", start },
    ) => {
        const caller = connectCaller();
        start(caller);
        const elapsedMs = await caller.waitForEnd(caller.connectedAtMs);
        expect(caller.statuses).toEqual([status]);
        expect(caller.received).toMatch(/\r\nconnection: close\r\n/i);
        expect(JSON.parse(caller.received.split("\r\n\r\n")[1]!)).toMatchObject({
            error: { code, execution: "not_run" },
        });
        expect(elapsedMs).toBeGreaterThanOrEqual(DEADLINE_MS - 50);
        expect(elapsedMs).toBeLessThan(DEADLINE_MS + SLACK_MS);
        expect(fixture.servers[0]!.requests).toEqual([]);
    });

    it("leaves the response before it complete", async () => {
        const first = createHead("content-length: 0");
        const caller = connectCaller().send(`${first}${createHead("content-length: 8")}half`);
        await caller.waitForEnd(caller.connectedAtMs);
        expect(caller.statuses).toEqual([200, 408]);
    });

    it("gives its memory to others, and those that were refused for memory don't keep their connections", async () => {
        const uploads = Array.from({ length: UPLOAD_COUNT }, () => {
            const head = createHead(`content-length: ${MAX_BODY_BYTES}`);
            return connectCaller().send(head).drip("x", 100);
        });
        const startedAtMs = performance.now();
        await Promise.all(uploads.map(caller => caller.waitForEnd(startedAtMs)));
        expect(new Set(uploads.flatMap(caller => caller.statuses))).toEqual(new Set([408, 503]));
        expect(performance.now() - startedAtMs).toBeLessThan(DEADLINE_MS + 2 * SLACK_MS);
        const body = "x".repeat(MAX_BODY_BYTES);
        expect(await fixture.call(0, "/lookup/x", { headers: { "x-deadline-ms": "8000" }, body }))
            .toMatchObject({ status: 200 });
    }, 20_000);

    it("is served if it is slow but complete by the deadline", async () => {
        const caller = connectCaller().send(createHead("content-length: 5", 4_000));
        for (const byte of "bytes") {
            await new Promise(resolve => setTimeout(resolve, 200));
            caller.send(byte);
        }
        expect(await caller.waitForResponses(1)).toEqual([200]);
    });
});
