import type { ServerId } from "@skylarkmill/protocol";
import type { ServerResponse } from "node:http";
import { connect } from "node:net";
import { Client, request } from "undici";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { callRaw } from "../support/raw-caller.ts";
import {
    type AgentBehaviour,
    breakConnection,
    type ReceivedRequest,
    respondWithJson,
    respondWithStream,
} from "./support/fake-agent.ts";
import { Harness, preferServers } from "./support/harness.ts";

const EVENT = 'data: {"choices":[]}\n\n';

function streamThen(end: (response: ServerResponse) => void): AgentBehaviour {
    return (_request, response) => {
        response.writeHead(200, { "content-type": "text/event-stream" });
        response.write(EVENT, () => end(response));
    };
}

/** Sends the head and a part of the announced body, then breaks the connection. */
function truncatedBody(contentType: string, length: number): AgentBehaviour {
    return (_request, response) => {
        response.writeHead(200, { "content-type": contentType, "content-length": String(length) });
        response.write('{"id":', () => response.destroy());
    };
}

describe("broken responses", () => {
    let harness: Harness;
    beforeEach(async () => {
        harness = await new Harness().start({
            policies: { chooser: preferServers(["engine-1", "ledger-1"] as ServerId[]) },
        });
    });
    afterEach(() => harness.stop());

    // Guards against a truncated stream that looks complete to the caller.
    it.each([
        ["connection breaks", streamThen(response => response.destroy()), "stream_broken"],
        ["ends without its end mark", streamThen(response => response.end()), "stream_broken"],
        ["continues past the deadline", streamThen(() => undefined), "deadline_exceeded"],
    ])("ends with an error event if the stream %s", async (_name, behaviour, code) => {
        harness.agents["engine-1"]!.behaviour = behaviour;
        const response = await harness.chat({ model: "bench-diagnosis", stream: true }, {
            "x-request-timeout-ms": "300",
        });
        const events = response.text.split("\n\n").filter(event => event.startsWith("data: "));
        expect(events[0]).toBe(EVENT.trim());
        expect(JSON.parse(events.at(-1)!.slice("data: ".length))).toMatchObject({
            error: { code, execution: "unknown" },
        });
        expect(response.text).not.toContain("[DONE]");
        expect(harness.receivedRequestCount()).toBe(1);
    });

    // Guards against a cut response that looks complete to a caller of HTTP/1.0, which can't be sent chunks.
    it.each([
        ["connection breaks", (response: ServerResponse) => response.destroy()],
        ["deadline passes", () => undefined],
    ])("resets the connection of a caller of HTTP/1.0 if a plain service's %s", async (_name, end) => {
        harness.agents["ledger-1"]!.behaviour = (_request, response) => {
            response.writeHead(200, { "content-type": "text/plain" });
            response.write("a part", () => end(response));
        };
        const result = await callRaw({
            port: harness.ports.port,
            path: "/services/parts-ledger/stock/7",
            version: "1.0",
            headers: { "host": "router.example", "x-request-timeout-ms": "300" },
        });
        expect(result).toEqual({
            status: 200,
            text: "a part",
            framing: "none",
            ending: "reset",
            isComplete: false,
            extraByteCount: 0,
            isLast: true,
        });
    });

    it("forwards an agent's error event without adding another", async () => {
        harness.agents["engine-1"]!.behaviour = streamThen(response =>
            response.end('data: {"error":{"code":"gap"}}\n\n')
        );
        const response = await harness.chat({ model: "bench-diagnosis", stream: true });
        expect(response.text.match(/"error"/g)).toHaveLength(1);
    });

    it("retries a request whose buffered response breaks before its end", async () => {
        harness.agents["engine-1"]!.behaviour = truncatedBody("application/json", 100);
        const response = await harness.chat({ model: "bench-diagnosis" });
        expect(response.status).toBe(200);
        expect(JSON.parse(response.text)).toHaveProperty("echo");
    });

    it("closes the caller's connection if a long plain response breaks", async () => {
        harness.agents["ledger-1"]!.behaviour = truncatedBody("text/csv", 1_000_000);
        await expect(harness.send("GET", "/services/parts-ledger/stock")).rejects.toThrow();
    });

    // Guards against a refusal that is written into a response in progress.
    it("closes the connection if the caller sends data that is not HTTP during a response", async () => {
        harness.agents["engine-1"]!.behaviour = streamThen(() => undefined);
        const body = JSON.stringify({ model: "bench-diagnosis", stream: true });
        const socket = connect(Number(new URL(harness.url).port), "127.0.0.1");
        let received = "";
        const closed = new Promise(resolve => socket.once("close", resolve));
        socket.on("error", () => undefined);
        socket.on("data", chunk => {
            received += chunk.toString();
            if (received.includes(EVENT)) socket.write("HELLO\r\n\r\n");
        });
        socket.write(
            `POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
        );
        await closed;
        expect(received.match(/HTTP\/1.1/g)).toHaveLength(1);
        await harness.agents["engine-1"]!.untilClosedEarly(1);
    });

    // Guards against a slow caller that uses up memory or delays other callers.
    it("disconnects a caller that stops reading at its deadline and serves others meanwhile", async () => {
        const streamEndlessly: AgentBehaviour = (_request, response) => {
            response.writeHead(200, { "content-type": "text/event-stream" });
            const write = () => {
                while (!response.destroyed && response.write(EVENT.repeat(1000)));
            };
            response.on("drain", write);
            write();
        };
        harness.agents["engine-1"]!.behaviour = streamEndlessly;
        const { port } = new URL(harness.url);
        const body = JSON.stringify({ model: "bench-diagnosis", stream: true });
        const socket = connect(Number(port), "127.0.0.1");
        socket.write(
            `POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-request-timeout-ms: 500\r\n`
                + `content-length: ${body.length}\r\n\r\n${body}`,
        );
        socket.pause();
        await harness.agents["engine-1"]!.untilReceived(1);
        expect((await harness.send("GET", "/services/parts-ledger/stock/1")).status).toBe(200);
        await harness.agents["engine-1"]!.untilClosedEarly(1);
        socket.destroy();
    });
});

/** An agent behaviour that responds only once the test calls `release`. */
class DeferredResponse {
    private respond: () => void = () => undefined;
    readonly behaviour: AgentBehaviour = (entry, response) => {
        this.respond = () => respondWithJson(entry, response);
    };

    release(): void {
        this.respond();
    }
}

describe("hedges", () => {
    let harness: Harness;
    let remainingHedges: number;
    beforeEach(async () => {
        remainingHedges = 1;
        harness = await new Harness().start({
            policies: {
                chooser: preferServers(["engine-1"] as ServerId[]),
                hedges: {
                    recordRequest: () => undefined,
                    hedgeDelayMs: () => 30,
                    tryConsume: () => remainingHedges-- > 0,
                },
            },
        });
        // Hedges are sent only to servers that are known to have the model loaded, so both servers respond once first.
        for (const agent of Object.values(harness.agents)) {
            agent.behaviour = respondWithJson;
        }
        await harness.chat({ model: "bench-diagnosis" });
        harness.agents["engine-1"]!.behaviour = breakConnection;
        await harness.chat({ model: "bench-diagnosis" });
        for (const agent of Object.values(harness.agents)) agent.receivedRequests.length = 0;
    });
    afterEach(() => harness.stop());

    const completionIdOf = (entry: ReceivedRequest | undefined) =>
        `chatcmpl-${String(entry?.headers["x-skylarkmill-attempt-id"])}`;

    // Guards against responses mixed from two attempts, and against a first attempt that keeps running
    // after the second has responded.
    it("relays the response of the second attempt and cancels the first", async () => {
        harness.agents["engine-1"]!.behaviour = () => undefined;
        const response = await harness.chat({ model: "bench-diagnosis" });
        expect(JSON.parse(response.text)).toHaveProperty(
            "id",
            completionIdOf(harness.agents["engine-2"]!.receivedRequests[0]),
        );
        await harness.agents["engine-1"]!.untilClosedEarly(1);
    });

    it("relays the response of the first attempt if it precedes the second's", async () => {
        const deferred = new DeferredResponse();
        harness.agents["engine-1"]!.behaviour = deferred.behaviour;
        harness.agents["engine-2"]!.behaviour = () => deferred.release();
        const response = await harness.chat({ model: "bench-diagnosis" });
        expect(JSON.parse(response.text)).toHaveProperty(
            "id",
            completionIdOf(harness.agents["engine-1"]!.receivedRequests[0]),
        );
        await harness.agents["engine-2"]!.untilClosedEarly(1);
    });

    it("continues with the first attempt if the second is refused", async () => {
        const deferred = new DeferredResponse();
        harness.agents["engine-1"]!.behaviour = deferred.behaviour;
        harness.agents["engine-2"]!.behaviour = (_entry, response) => {
            response.writeHead(503, { "x-skylarkmill-execution": "not_run" });
            response.end("{}", () => deferred.release());
        };
        expect((await harness.chat({ model: "bench-diagnosis" })).status).toBe(200);
    });

    it.each([
        ["the hedge budget is used up", "/v1/chat/completions", 0],
        ["the request is not idempotent", "/v1/completions", 1],
    ])("sends no second attempt if %s", async (_name, path, budget) => {
        remainingHedges = budget;
        harness.agents["engine-1"]!.behaviour = () => undefined;
        const body = JSON.stringify({ model: "bench-diagnosis" });
        const response = await harness.send("POST", path, body, { "x-request-timeout-ms": "200" });
        expect(response.json.error).toMatchObject({ code: "deadline_exceeded", execution: "unknown" });
        expect(harness.receivedRequestCount()).toBe(1);
    });
});

describe("shutdown", () => {
    // Guards against responses that a restart interrupts and requests that are lost during it.
    it("refuses new connections, serves requests on open ones, then closes", async () => {
        const harness = await new Harness().start();
        const pendingResponses: (() => void)[] = [];
        for (const agent of Object.values(harness.agents)) {
            agent.behaviour = (entry, response) => void pendingResponses.push(() => respondWithStream(entry, response));
        }
        const keepAliveClient = new Client(harness.url);
        expect(await (await keepAliveClient.request({ method: "GET", path: "/readyz" })).body.text()).toContain(
            "ready",
        );
        const inProgress = harness.chat({ model: "parts-note", stream: true });
        await harness.agents["engine-1"]!.untilReceived(1);
        const stopped = harness.router.stop();
        for (const path of ["/healthz", "/readyz", "/v1/models"]) {
            await expect(request(`${harness.url}${path}`)).rejects.toMatchObject({ code: "ECONNREFUSED" });
        }
        const laterRequest = keepAliveClient.request({
            method: "POST",
            path: "/v1/chat/completions",
            body: JSON.stringify({ model: "parts-note", stream: true, messages: [{ role: "user", content: "hub" }] }),
        });
        await harness.agents["engine-1"]!.untilReceived(2);
        for (const respond of pendingResponses) respond();
        expect((await inProgress).text.endsWith("data: [DONE]\n\n")).toBe(true);
        const laterResponse = await laterRequest;
        expect([laterResponse.statusCode, laterResponse.headers["connection"]]).toEqual([200, "close"]);
        expect((await laterResponse.body.text()).endsWith("data: [DONE]\n\n")).toBe(true);
        await stopped;
        await keepAliveClient.destroy();
        await harness.stop();
    });
});
