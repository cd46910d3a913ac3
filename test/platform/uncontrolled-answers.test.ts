import { afterEach, describe, expect, it } from "vitest";
import { eventually } from "../support/eventually.ts";
import { RawReader } from "../support/raw-reader.ts";
import { CrowdedGateway } from "./stand-ins/crowded-gateway.ts";
import { HOST } from "./stand-ins/fixture.ts";
import type { ServerFault } from "./stand-ins/platform-server.ts";

/** Fewer than the connections that one server takes. */
const CLIENT_COUNT = 40;
/** Fewer than the streams that one engine gets at once. */
const STREAM_COUNT = 12;
/** Number of ordinary requests, one after the other. */
const ORDINARY_COUNT = 20;
const BODY_BYTES = 200_000;
const EVENT_COUNT = 2_000;
const STREAM = { path: "/chat/x", headers: "x-model: m1\r\nx-token-count: 100,60\r\n" };
const DRAFT = { ...STREAM, path: "/draft/x" };
/** Runs on after its caller has gone. */
const ORDER = { path: "/orders/x", headers: "" };
const RESPONSE = { path: "/lookup/x", headers: "" };

let gateway: CrowdedGateway;

afterEach(() => gateway.close());

function createRequest({ path, headers }: { readonly path: string; readonly headers: string; }): Buffer {
    return Buffer.from(
        `GET ${path} HTTP/1.1\r\nhost: ${HOST}\r\nx-attempt-id: a1\r\nx-deadline-ms: 60000\r\n${headers}\r\n`,
    );
}

interface AnswerCrowd {
    readonly name: string;
    readonly request: { readonly path: string; readonly headers: string; };
    readonly fault: ServerFault;
    readonly readsResponses: boolean;
}

// Guards against servers that end the process or keep it busy by the number of pieces in which their responses come.
describe("responses in one-byte chunks to many callers", () => {
    it.each<AnswerCrowd>([
        { name: "bodies short of the end", request: RESPONSE, fault: "unfinished_tiny_body", readsResponses: true },
        { name: "bodies without end", request: RESPONSE, fault: "endless_tiny_body", readsResponses: true },
        { name: "whole bodies that nobody reads", request: RESPONSE, fault: "tiny_pieces", readsResponses: false },
        { name: "whole bodies", request: RESPONSE, fault: "tiny_pieces", readsResponses: true },
        { name: "events short of the end", request: STREAM, fault: "unfinished_tiny_event", readsResponses: true },
        { name: "events without end", request: STREAM, fault: "endless_tiny_event", readsResponses: true },
        { name: "streams without end", request: STREAM, fault: "endless_tiny_events", readsResponses: true },
        { name: "bodies without end, not repeated", request: ORDER, fault: "endless_tiny_body", readsResponses: true },
        {
            name: "streams without end, not resumed",
            request: DRAFT,
            fault: "endless_tiny_events",
            readsResponses: true,
        },
        { name: "whole streams that nobody reads", request: STREAM, fault: "tiny_pieces", readsResponses: false },
    ])("leave the process alive within its memory: $name", async ({ request, fault, readsResponses }) => {
        gateway = await CrowdedGateway.start({ bodyByteCount: BODY_BYTES, eventCount: EVENT_COUNT });
        const traffic = { start: createRequest(request), readsResponses };
        await gateway.expectToSurvive(traffic, { port: "front", clientCount: CLIENT_COUNT, fault });
    }, 60_000);
});

// Guards against servers that end the process by the number of their events.
describe("streams of very short events to many callers", () => {
    it.each([
        { name: "that read", readsResponses: true },
        { name: "that don't read", readsResponses: false },
    ])("leave the process alive within its memory: $name", async ({ readsResponses }) => {
        gateway = await CrowdedGateway.start();
        const traffic = { start: createRequest(STREAM), readsResponses };
        const play = { port: "front", clientCount: CLIENT_COUNT, fault: "endless_short_events" } as const;
        await gateway.expectToSurvive(traffic, play);
    }, 60_000);
});

// Guards against servers whose streams keep the event loop for themselves, until they end after some seconds.
describe("ordinary requests beside streams that go on", () => {
    it.each<{ readonly name: string; readonly fault: ServerFault; }>([
        { name: "in one-byte chunks", fault: "endless_tiny_events" },
        { name: "in tiny events", fault: "endless_short_events" },
    ])("are answered: $name", async ({ fault }) => {
        gateway = await CrowdedGateway.start({ routeTimeoutMs: 40_000 });
        gateway.engine.faults.push(...Array.from({ length: STREAM_COUNT }, () => fault));
        const callers = Array.from({ length: STREAM_COUNT }, () => new RawReader(gateway.ports.front));
        for (const caller of callers) caller.send(createRequest(DRAFT));
        await eventually("the streams", () => callers.every(({ byteCount }) => byteCount > 0) || undefined, 20_000);
        const statuses: number[] = [];
        while (statuses.length < ORDINARY_COUNT) statuses.push((await gateway.fetch("/lookup/x")).status);
        const openCount = callers.filter(({ isOpen }) => isOpen).length;
        for (const caller of callers) caller.close();
        expect(new Set(statuses)).toEqual(new Set([200]));
        expect(openCount).toBe(STREAM_COUNT);
    }, 60_000);
});

describe("one response in one-byte chunks", () => {
    it("reaches the caller unchanged as a body", async () => {
        gateway = await CrowdedGateway.start({ bodyByteCount: BODY_BYTES });
        gateway.server.faults.push("tiny_pieces");
        const response = await gateway.fetch("/lookup/x");
        expect(response.status).toBe(200);
        expect(response.text === gateway.server.createBody("a1")).toBe(true);
    }, 60_000);

    it("reaches the caller unchanged as a stream", async () => {
        gateway = await CrowdedGateway.start({ eventCount: EVENT_COUNT });
        gateway.engine.faults.push("tiny_pieces");
        const response = await gateway.fetch("/chat/x", { "x-model": "m1", "x-token-count": "100,60" });
        expect(response.status).toBe(200);
        expect(response.text === gateway.engine.createStream("a1")).toBe(true);
    }, 60_000);
});
