import { connect, type Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { eventually } from "../support/eventually.ts";
import { createConfigurationDocument, HOST, type LogLine, PlatformFixture } from "./stand-ins/fixture.ts";
import type { PlatformServerStandIn } from "./stand-ins/platform-server.ts";

const STREAM = { "x-model": "m1", "x-deadline-ms": "20000" };
/** More than the number of lines about requests that are logged in a second. */
const STREAM_COUNT = 30;
/** Exceeds what the sockets between gateway and caller hold. */
const LONG_BODY_BYTES = 12 * 1024 * 1024;

let fixture: PlatformFixture;
let engine: PlatformServerStandIn;

beforeEach(async () => {
    fixture = await PlatformFixture.start();
    fixture.store.put("op/config", createConfigurationDocument(2, {}, 20_000));
});

afterEach(async () => {
    await fixture.close();
});

async function start(eventCount: number): Promise<void> {
    engine = await fixture.addServer({
        id: "e1",
        service: "assistant",
        models: ["m1"],
        eventCount,
        eventIntervalMs: 20,
    });
    await fixture.addGateway("edge-1");
    await fixture.waitUntilServerAvailable(0, "e1");
}

function findLines(step: string, log = fixture.gateways[0]!.log): LogLine[] {
    return log.filter(line => line.step === step);
}

/** Stops the gateway and returns its log. */
async function stopGateway(): Promise<LogLine[]> {
    const [stopped] = fixture.gateways.splice(0);
    await stopped!.gateway.stop();
    return stopped!.log;
}

/** Sends the head of a request and reads nothing. */
function sendHead(path: string, requestId: string, contentLength: number): Socket {
    const socket = connect(fixture.frontPort(0), "127.0.0.1");
    const headers = `host: ${HOST}\r\nx-attempt-id: ${requestId}\r\nx-deadline-ms: 20000\r\n`;
    socket.write(`POST ${path} HTTP/1.1\r\n${headers}content-length: ${contentLength}\r\n\r\n`);
    socket.on("error", () => undefined);
    return socket;
}

// Guards against incidents in which neither logs nor metrics tell why a stream ended.
describe("the end of a stream", () => {
    it.each(
        [
            { name: "with neither a length nor chunks", fault: "stream_without_length", count: 1 },
            { name: "in chunks", fault: undefined, count: 0 },
        ] as const,
    )("that its engine sent $name is logged and counted $count times", async ({ fault, count }) => {
        await start(4);
        if (fault !== undefined) engine.faults.push(fault);
        const id = fixture.newId();
        const result = await fixture.call(0, "/draft/x", { headers: { ...STREAM, "x-attempt-id": id } });
        expect(result).toMatchObject({ status: 200, isTruncated: false });
        const expected = { requestId: id, server: "e1", events: 4, lastEventId: 4 };
        expect(findLines("request.end_unverified")).toMatchObject(count === 0 ? [] : [expected]);
        const { unverifiedEnds } = fixture.gateways[0]!.gateway.metrics;
        expect((await unverifiedEnds.get()).values[0]!.value).toBe(count);
    });

    it.each(
        [
            {
                name: "that its engine breaks off",
                fault: "closed_between_events",
                deadlineMs: 20_000,
                cause: "the connection closed within the response",
            },
            { name: "at its deadline", fault: "stream_without_length", deadlineMs: 500, cause: "deadline" },
        ] as const,
    )("$name is logged with its cause", async ({ fault, deadlineMs, cause }) => {
        await start(300);
        engine.faults.push(fault);
        const id = fixture.newId();
        const headers = { ...STREAM, "x-attempt-id": id, "x-deadline-ms": String(deadlineMs) };
        expect(await fixture.call(0, "/draft/x", { headers })).toMatchObject({ isTruncated: true });
        expect(findLines("request.broken")).toMatchObject([{ requestId: id, server: "e1", cause }]);
    });
});

// Guards against a stop that ends requests without a line that names them, or whose lines the rate limit left out.
describe("a stop that ends requests", () => {
    it("names each stream that it cuts, however many they are", async () => {
        await start(2_000);
        const ids = Array.from({ length: STREAM_COUNT }, () => fixture.newId());
        const calls = ids.map(id => fixture.call(0, "/draft/x", { headers: { ...STREAM, "x-attempt-id": id } }));
        await eventually("the engine works on all streams", () => engine.requests.length === STREAM_COUNT || undefined);
        const log = await stopGateway();
        for (const call of calls) expect(await call).toMatchObject({ status: 200, isTruncated: true });
        const stopped = findLines("request.stopped", log);
        expect(stopped.every(line => line["during"] === "serving" && line["outcome"] === "aborted")).toBe(true);
        expect(stopped.map(line => line["requestId"])).toEqual(ids);
        expect(findLines("request.broken", log).map(line => line["requestId"])).toEqual(ids);
    }, 20_000);

    it("names an upload that it refuses and a response that its caller doesn't read", async () => {
        await start(4);
        const desk = await fixture.addServer({ id: "d1", service: "desk", bodyByteCount: LONG_BODY_BYTES });
        await fixture.waitUntilServerAvailable(0, "d1");
        const sockets = [sendHead("/orders/x", "upload", 100), sendHead("/orders/x", "unread", 0)];
        await eventually("the desk has the second request", () => desk.requests.length === 1 || undefined);
        const log = await stopGateway();
        for (const socket of sockets) socket.destroy();
        expect(findLines("request.stopped", log)).toMatchObject([
            { requestId: "upload", during: "reading", outcome: "refused" },
            { requestId: "unread", during: "writing", outcome: "aborted" },
        ]);
    }, 20_000);
});
