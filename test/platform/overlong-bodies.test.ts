import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import { PacedCaller } from "../support/paced-caller.ts";
import { createConfigurationDocument, HOST, PlatformFixture } from "./stand-ins/fixture.ts";

const MAX_BODY_BYTES = 1024 * 1024;
/** Longer than these tests, so that no deadline ends a connection. */
const DEADLINE_MS = 60_000;
const END_TIMEOUT_MS = 15_000;
const BLOCK = "x".repeat(65_536);

let fixture: PlatformFixture;
let caller: PacedCaller;

beforeAll(async () => {
    fixture = await PlatformFixture.start();
    await fixture.addServer({ id: "d1", service: "desk" });
    const limits = { max_body_bytes: MAX_BODY_BYTES, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 };
    fixture.store.put("op/config", createConfigurationDocument(2, { limits }, DEADLINE_MS));
    await fixture.addGateway("edge-1");
    await fixture.waitUntilServerAvailable(0, "d1");
});

afterEach(() => {
    caller.close();
    expect(fixture.servers[0]!.requests).toEqual([]);
});

afterAll(async () => {
    await fixture.close();
});

function createHead(bodyHeader: string): string {
    const lines = `host: ${HOST}\r\nx-attempt-id: ${fixture.newId()}\r\nx-deadline-ms: ${DEADLINE_MS}\r\n`;
    return `POST /lookup/x HTTP/1.1\r\n${lines}${bodyHeader}\r\n\r\n`;
}

function expectRefusal(): void {
    expect(caller.statuses).toEqual([413]);
    expect(JSON.parse(caller.received.split("\r\n\r\n")[1]!)).toMatchObject({ error: { execution: "not_run" } });
}

// Guards against callers who are never told, and keep a connection, since their body is read to an end that never comes.
describe("a body over the limit", () => {
    it.each<{ name: string; start: (caller: PacedCaller) => unknown; }>([
        {
            name: "of a stated length, which goes on",
            start: caller => caller.send(createHead("content-length: 50000000000")).drip(BLOCK, 5),
        },
        {
            name: "of a stated length, which goes on slowly",
            start: caller => caller.send(createHead("content-length: 50000000000")).drip("x", 5_000),
        },
        {
            name: "of a stated length, without a byte",
            start: caller => caller.send(createHead("content-length: 50000000000")),
        },
        {
            name: "of a stated length just over it, without a byte",
            start: caller => caller.send(createHead(`content-length: ${MAX_BODY_BYTES + 1}`)),
        },
        {
            name: "in chunks without end",
            start: caller => caller.send(createHead("transfer-encoding: chunked")).drip(`10000\r\n${BLOCK}\r\n`, 5),
        },
        {
            name: "in chunks, which stop without an end",
            start: caller =>
                caller.send(`${createHead("transfer-encoding: chunked")}${`10000\r\n${BLOCK}\r\n`.repeat(17)}`),
        },
    ])("is refused before its end, and its connection ends: $name", async ({ start }) => {
        caller = new PacedCaller(fixture.frontPort(0));
        start(caller);
        await caller.waitForEnd(caller.connectedAtMs, END_TIMEOUT_MS);
        expectRefusal();
        expect(caller.received).toMatch(/\r\nconnection: close\r\n/i);
    }, 30_000);

    it.each([
        {
            name: "stated",
            createRequest: (body: string) => `${createHead(`content-length: ${body.length}`)}${body}`,
        },
        {
            name: "in chunks",
            createRequest: (body: string) =>
                `${createHead("transfer-encoding: chunked")}${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
        },
    ])(
        "is refused to a caller who reads only after the whole of three times the limit: $name",
        async ({ createRequest }) => {
            caller = new PacedCaller(fixture.frontPort(0));
            caller.socket.pause();
            await new Promise(resolve => {
                caller.socket.write(createRequest("x".repeat(3 * MAX_BODY_BYTES)), "latin1", resolve);
            });
            await new Promise(resolve => setTimeout(resolve, 500));
            caller.socket.resume();
            await caller.waitForResponses(1, END_TIMEOUT_MS);
            expectRefusal();
            expect(caller.ending).not.toBe("reset");
        },
        30_000,
    );
});
