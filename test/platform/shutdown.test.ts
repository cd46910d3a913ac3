import { connect } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { eventually } from "../support/eventually.ts";
import { callRaw } from "../support/raw-caller.ts";
import { type CallResult, createConfigurationDocument, HOST, PlatformFixture } from "./stand-ins/fixture.ts";

let fixture: PlatformFixture;

beforeEach(async () => {
    fixture = await PlatformFixture.start();
});

afterEach(async () => {
    await fixture.close();
});

describe("stopping a gateway", () => {
    // Guards against requests without a response: a request that waited for a model when the process exited got a
    // closed connection.
    it("completes or refuses every request, including one that waits for a model that is never loaded", async () => {
        const engine = await fixture.addServer({
            id: "e1",
            service: "assistant",
            models: ["m1"],
            eventCount: 40,
            eventIntervalMs: 20,
        });
        const desk = await fixture.addServer({ id: "d1", service: "desk", responseDelayMs: 300 });
        fixture.store.put("op/config", createConfigurationDocument(2, {}, 20_000));
        await fixture.addGateway("edge-1");
        for (const id of ["e1", "d1"]) await fixture.waitUntilServerAvailable(0, id);
        // Orders are applied only after 60 s, so the model is not loaded during the test.
        engine.orderDelayMs = 60_000;
        const longDeadlineHeaders = { "x-deadline-ms": "20000" };
        const calls: Promise<CallResult>[] = [
            fixture.call(0, "/chat/x", { headers: { "x-model": "m1" } }),
            fixture.call(0, "/orders/x"),
            fixture.call(0, "/draft/x", { headers: { ...longDeadlineHeaders, "x-model": "m4" } }),
        ];
        await new Promise(resolve => setTimeout(resolve, 100));
        const { gateway } = fixture.gateways[0]!;
        const stopped = gateway.stop();
        expect(await fixture.fetchReadyStatus(0)).toBe(503);
        // Callers still reach the process until the load balancer detects that it is not ready.
        const late = await fixture.call(0, "/lookup/x", { method: "GET" });
        expect(late.headers["connection"]).toBe("close");
        const [chatResult, ordersResult, draftResult] = await Promise.all(calls);
        await stopped;
        fixture.gateways.length = 0;
        expect(chatResult).toMatchObject({ status: 200, isTruncated: false });
        expect(ordersResult).toMatchObject({ status: 200 });
        expect(draftResult).toMatchObject({ status: 503 });
        expect(draftResult!.headers["retry-after"]).toBeDefined();
        expect(desk.requests.every(request => !request.isAbandoned)).toBe(true);
    }, 15_000);
});

describe("the last phase of a stop", () => {
    // Guards against lost requests that arrive just before the process exits: during an outage of the key-value service
    // the process accepted requests after its last check of open requests.
    it("completes, refuses or does not accept each new request", async () => {
        await fixture.addServer({
            id: "e1",
            service: "assistant",
            models: ["m1"],
            eventCount: 600,
            eventIntervalMs: 20,
        });
        const desk = await fixture.addServer({ id: "d1", service: "desk", responseDelayMs: 60 });
        fixture.store.put("op/config", createConfigurationDocument(2, {}, 20_000));
        await fixture.addGateway("edge-1");
        for (const id of ["e1", "d1"]) await fixture.waitUntilServerAvailable(0, id);
        // Keeps a request in progress until the end of the stop, which then aborts it.
        const longDeadlineHeaders = { "x-model": "m1", "x-deadline-ms": "20000" };
        const stream = fixture.call(0, "/draft/x", { headers: longDeadlineHeaders }).catch(() => undefined);
        await new Promise(resolve => setTimeout(resolve, 100));
        fixture.store.outage = "silent";
        const outcomes: Promise<{ id: string; result: string; }>[] = [];
        let isStopped = false;
        const stopped = fixture.gateways[0]!.gateway.stop().then(() => {
            isStopped = true;
        });
        // Guards against streams that start late and outlive the process.
        const lateStream = new Promise(resolve => setTimeout(resolve, 3_000))
            .then(() => fixture.call(0, "/chat/x", { headers: { "x-model": "m1", "connection": "close" } }));
        while (!isStopped) {
            const id = fixture.newId();
            const headers = { "x-attempt-id": id, "connection": "close" };
            outcomes.push(
                fixture.call(0, "/orders/x", { headers }).then(
                    response => ({ id, result: String(response.status) }),
                    (error: NodeJS.ErrnoException) => ({ id, result: error.code ?? error.message }),
                ),
            );
            await new Promise(resolve => setTimeout(resolve, 20));
        }
        await stopped;
        fixture.gateways.length = 0;
        expect((await lateStream).status).toBe(503);
        const results = await Promise.all(outcomes);
        expect(results.some(({ result }) => result === "200")).toBe(true);
        for (const { id, result } of results) {
            // The kernel resets connections that were not yet accepted when the listening socket closed.
            expect(["200", "503", "ECONNREFUSED", "ECONNRESET"]).toContain(result);
            if (result !== "200") expect(desk.countRuns(id), `${result} ${id}`).toBe(0);
        }
        await stream;
    }, 20_000);
});

// Guards against requests that a stopping process takes although it ends before their deadline: the end cut them, and
// whether an order had run stayed unknown to its caller.
describe("a request that arrives late in a stop and could outlast the process", () => {
    it.each([
        { deadlineMs: 5_000, responseDelayMs: 2_000, status: 503, runs: 0 },
        { deadlineMs: 600, responseDelayMs: 300, status: 200, runs: 1 },
    ])("with a deadline of $deadlineMs ms is answered with $status", async testCase => {
        const { deadlineMs, responseDelayMs, status, runs } = testCase;
        await fixture.addServer({
            id: "e1",
            service: "assistant",
            models: ["m1"],
            eventCount: 600,
            eventIntervalMs: 20,
        });
        const desk = await fixture.addServer({ id: "d1", service: "desk", responseDelayMs });
        fixture.store.put("op/config", createConfigurationDocument(2, {}, 20_000));
        await fixture.addGateway("edge-1");
        for (const id of ["e1", "d1"]) await fixture.waitUntilServerAvailable(0, id);
        const headers = { "x-model": "m1", "x-deadline-ms": "20000" };
        const stream = fixture.call(0, "/draft/x", { headers });
        await new Promise(resolve => setTimeout(resolve, 100));
        const stopped = fixture.gateways[0]!.gateway.stop();
        await new Promise(resolve => setTimeout(resolve, 4_000));
        const id = fixture.newId();
        const order = await fixture.call(0, "/orders/x", {
            headers: { "x-attempt-id": id, "x-deadline-ms": String(deadlineMs) },
        });
        await stopped;
        fixture.gateways.length = 0;
        expect({ status: order.status, runs: desk.countRuns(id) }).toEqual({ status, runs });
        if (status === 503) expect(order.headers["retry-after"]).toBeDefined();
        expect(await stream).toMatchObject({ isTruncated: true });
    }, 15_000);
});

describe("a caller that reads its response during a stop", () => {
    const BODY_BYTES = 12 * 1024 * 1024;

    // Guards against responses that are cut although their servers had sent them and time was left: the stop closed
    // connections with bytes that were still to be written.
    it.each([
        { name: "slowly gets all of it", readDelayMs: 3_500, isComplete: true },
        { name: "too slowly for the stop can tell that it was cut", readDelayMs: 7_500, isComplete: false },
    ])("$name", async ({ readDelayMs, isComplete }) => {
        const desk = await fixture.addServer({ id: "d1", service: "desk", bodyByteCount: BODY_BYTES });
        fixture.store.put("op/config", createConfigurationDocument(2, {}, 20_000));
        await fixture.addGateway("edge-1");
        await fixture.waitUntilServerAvailable(0, "d1");
        const headers = { "host": HOST, "x-attempt-id": fixture.newId(), "x-deadline-ms": "20000" };
        const call = { port: fixture.frontPort(0), path: "/orders/x", version: "1.1", headers, readDelayMs } as const;
        const response = callRaw(call);
        await eventually("the order runs", () => desk.requests.some(({ hasStarted }) => hasStarted) || undefined);
        await fixture.gateways.pop()!.gateway.stop();
        const result = await response;
        expect(result).toMatchObject({ status: 200, framing: "length", isComplete });
        if (isComplete) expect(result.text.length).toBe(BODY_BYTES);
    }, 20_000);
});

// Guards against pipelined requests that are passed on and never answered: the first response closed their connection.
describe("pipelined requests", () => {
    const IDS = ["pipelined-1", "pipelined-2", "pipelined-3"];

    async function sendPipelined(port: number, meanwhile: () => Promise<void>): Promise<string> {
        const socket = connect(port, "127.0.0.1");
        const chunks: Buffer[] = [];
        socket.on("data", chunk => chunks.push(chunk));
        const closed = new Promise(resolve => socket.once("close", resolve));
        const format = (id: string): string =>
            `GET /lookup/${id} HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: ${id}\r\n\r\n`;
        socket.write(IDS.map(format).join(""));
        await meanwhile();
        // A connection that is kept open is closed here.
        await Promise.race([closed, new Promise(resolve => setTimeout(resolve, 1_500))]);
        socket.destroy();
        return Buffer.concat(chunks).toString();
    }

    it.each([
        { name: "that a stopping gateway has read", shouldStop: true, faults: [] },
        { name: "behind a response without a length", shouldStop: false, faults: ["without_length"] as const },
    ])("$name are all answered, in order", async ({ shouldStop, faults }) => {
        const desk = await fixture.addServer({ id: "d1", service: "desk", responseDelayMs: 200 });
        await fixture.addGateway("edge-1");
        await fixture.waitUntilServerAvailable(0, "d1");
        desk.faults.push(...faults);
        const { gateway } = fixture.gateways[0]!;
        let stopped: Promise<void> | undefined;
        const text = await sendPipelined(fixture.frontPort(0), async () => {
            await eventually("all requests run", () => desk.requests.length >= IDS.length || undefined);
            if (shouldStop) stopped = gateway.stop();
        });
        await stopped;
        if (shouldStop) fixture.gateways.length = 0;
        const answeredIds = [...text.matchAll(/\r\nx-attempt-id: (\S+)/gi)].map(match => match[1]);
        expect(answeredIds).toEqual(IDS);
        expect(text.match(/HTTP\/1.1 200 /g)).toHaveLength(IDS.length);
        if (shouldStop) expect(text.lastIndexOf("onnection: close")).toBeGreaterThan(text.indexOf(IDS[2]!));
    }, 20_000);
});

// Guards against idle connections that stay open for a whole stop, on which requests arrive at its end.
describe("an idle connection of a stopping gateway", () => {
    it("is closed although a stream is in progress", async () => {
        await fixture.addServer({
            id: "e1",
            service: "assistant",
            models: ["m1"],
            eventCount: 600,
            eventIntervalMs: 20,
        });
        fixture.store.put("op/config", createConfigurationDocument(2, {}, 20_000));
        await fixture.addGateway("edge-1");
        await fixture.waitUntilServerAvailable(0, "e1");
        const stream = fixture.call(0, "/draft/x", { headers: { "x-model": "m1", "x-deadline-ms": "20000" } });
        const socket = connect(fixture.frontPort(0), "127.0.0.1");
        socket.resume();
        const closed = new Promise<number>(resolve => socket.once("close", () => resolve(performance.now())));
        socket.write(`GET /nothing/x HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: idle-1\r\n\r\n`);
        await new Promise(resolve => setTimeout(resolve, 200));
        const startedAtMs = performance.now();
        await fixture.gateways.pop()!.gateway.stop();
        expect(await closed - startedAtMs).toBeLessThan(3_500);
        await stream;
    }, 20_000);
});

describe("an upload that is still coming in", () => {
    async function upload(partCount: number): Promise<string> {
        const desk = await fixture.addServer({ id: "d1", service: "desk" });
        fixture.store.put("op/config", createConfigurationDocument(2, {}, 20_000));
        await fixture.addGateway("edge-1");
        await fixture.waitUntilServerAvailable(0, "d1");
        const socket = connect(fixture.frontPort(0), "127.0.0.1");
        const chunks: Buffer[] = [];
        socket.on("data", chunk => chunks.push(chunk));
        const closed = new Promise(resolve => socket.once("close", resolve));
        socket.write(
            `POST /orders/x HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: upload-1\r\nX-Deadline-Ms: 5000\r\nContent-Length: 20\r\n\r\n`,
        );
        socket.write("0123456789");
        await new Promise(resolve => setTimeout(resolve, 200));
        const stopped = fixture.gateways.pop()!.gateway.stop();
        await new Promise(resolve => setTimeout(resolve, 3_000));
        if (partCount === 2) socket.write("0123456789");
        await stopped;
        await closed;
        expect(desk.countRuns("upload-1")).toBe(partCount === 2 ? 1 : 0);
        return Buffer.concat(chunks).toString();
    }

    // Guards against a stop that ends before an upload that began before it.
    it("is served when it ends within the stop", async () => {
        expect(await upload(2)).toMatch(/^HTTP\/1.1 200 .*done by d1$/s);
    }, 20_000);

    it("is refused as not run at the end of the stop", async () => {
        const response = await upload(1);
        expect(response).toMatch(/^HTTP\/1.1 503 /);
        expect(response).toMatch(/retry-after: /i);
    }, 20_000);
});

describe("starting a gateway", () => {
    it("responds with 503 and is not ready until it has a configuration, which it gets from a peer", async () => {
        await fixture.addServer({ id: "d1", service: "desk" });
        await fixture.addGateway("edge-1");
        await fixture.waitUntilServerAvailable(0, "d1");
        fixture.store.outage = "unavailable";
        const second = await fixture.addGateway("edge-2", false);
        const early = await fixture.call(second, "/lookup/x", { method: "GET" });
        if (early.status === 503) expect(await fixture.fetchReadyStatus(second)).toBe(503);
        await fixture.waitUntilServerAvailable(second, "d1");
        expect((await fixture.call(second, "/lookup/x", { method: "GET" })).status).toBe(200);
        expect(await fixture.fetchReadyStatus(second)).toBe(200);
    });
});
