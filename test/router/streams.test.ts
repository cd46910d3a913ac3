import type { ServerId } from "@skylarkmill/protocol";
import type { ServerResponse } from "node:http";
import { connect } from "node:net";
import { Client, request } from "undici";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
    type AgentBehaviour,
    answerJson,
    answerStream,
    breakConnection,
    type JournalEntry,
} from "./support/fake-agent.ts";
import { Harness, toFirst } from "./support/harness.ts";

const EVENT = 'data: {"choices":[]}\n\n';

function streamThen(end: (response: ServerResponse) => void): AgentBehaviour {
    return (_request, response) => {
        response.writeHead(200, { "content-type": "text/event-stream" });
        response.write(EVENT, () => end(response));
    };
}

/** Sends the head and a part of a body that is announced longer. */
function shortBody(contentType: string, length: number): AgentBehaviour {
    return (_request, response) => {
        response.writeHead(200, { "content-type": contentType, "content-length": String(length) });
        response.write('{"id":', () => response.destroy());
    };
}

describe("broken answers", () => {
    let harness: Harness;
    beforeEach(async () => {
        harness = await new Harness().start({ policies: { chooser: toFirst(["engine-1", "ledger-1"] as ServerId[]) } });
    });
    afterEach(() => harness.stop());

    // Guards against a shortened stream that looks whole to the caller.
    it.each([
        ["breaks", streamThen(response => response.destroy()), "stream_broken"],
        ["ends without its end mark", streamThen(response => response.end()), "stream_broken"],
        ["outlasts the deadline", streamThen(() => undefined), "deadline_exceeded"],
    ])("ends in an error event when the stream %s", async (_name, behave, code) => {
        harness.agents["engine-1"]!.behave = behave;
        const reply = await harness.chat({ model: "bench-diagnosis", stream: true }, { "x-request-timeout-ms": "300" });
        const events = reply.text.split("\n\n").filter(event => event.startsWith("data: "));
        expect(events[0]).toBe(EVENT.trim());
        expect(JSON.parse(events.at(-1)!.slice("data: ".length))).toMatchObject({
            error: { code, execution: "unknown" },
        });
        expect(reply.text).not.toContain("[DONE]");
        expect(harness.runs()).toBe(1);
    });

    it("passes an agent's own error event on without adding another", async () => {
        harness.agents["engine-1"]!.behave = streamThen(response => response.end('data: {"error":{"code":"gap"}}\n\n'));
        const reply = await harness.chat({ model: "bench-diagnosis", stream: true });
        expect(reply.text.match(/"error"/g)).toHaveLength(1);
    });

    it("moves a whole answer that breaks before its end", async () => {
        harness.agents["engine-1"]!.behave = shortBody("application/json", 100);
        const reply = await harness.chat({ model: "bench-diagnosis" });
        expect(reply.status).toBe(200);
        expect(JSON.parse(reply.text)).toHaveProperty("echo");
    });

    it("destroys the connection of a long plain answer that breaks", async () => {
        harness.agents["ledger-1"]!.behave = shortBody("text/csv", 1_000_000);
        await expect(harness.send("GET", "/services/parts-ledger/stock")).rejects.toThrow();
    });

    // Guards against a refusal that is written into an answer in progress.
    it("breaks off when the caller sends what is not HTTP after its request", async () => {
        harness.agents["engine-1"]!.behave = streamThen(() => undefined);
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
        await harness.agents["engine-1"]!.closedEarly(1);
    });

    // Guards against one slow caller that holds up memory or other callers.
    it("cuts off a caller that stops reading, at its deadline, and serves others meanwhile", async () => {
        const flood: AgentBehaviour = (_request, response) => {
            response.writeHead(200, { "content-type": "text/event-stream" });
            const write = () => {
                while (!response.destroyed && response.write(EVENT.repeat(1000)));
            };
            response.on("drain", write);
            write();
        };
        harness.agents["engine-1"]!.behave = flood;
        const { port } = new URL(harness.url);
        const body = JSON.stringify({ model: "bench-diagnosis", stream: true });
        const socket = connect(Number(port), "127.0.0.1");
        socket.write(
            `POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-request-timeout-ms: 500\r\n`
                + `content-length: ${body.length}\r\n\r\n${body}`,
        );
        socket.pause();
        await harness.agents["engine-1"]!.received(1);
        expect((await harness.send("GET", "/services/parts-ledger/stock/1")).status).toBe(200);
        await harness.agents["engine-1"]!.closedEarly(1);
        socket.destroy();
    });
});

/** Holds its answer until the test lets it go. */
class HeldAnswer {
    private release: () => void = () => undefined;
    readonly behave: AgentBehaviour = (entry, response) => {
        this.release = () => answerJson(entry, response);
    };

    answer(): void {
        this.release();
    }
}

describe("hedges", () => {
    let harness: Harness;
    let takes: number;
    beforeEach(async () => {
        takes = 1;
        harness = await new Harness().start({
            policies: {
                chooser: toFirst(["engine-1"] as ServerId[]),
                hedges: { recordRequest: () => undefined, hedgeAfterMs: () => 30, tryTake: () => takes-- > 0 },
            },
        });
        // Hedges go to servers that are known to have the model loaded.
        for (const agent of Object.values(harness.agents)) {
            agent.behave = answerJson;
        }
        await harness.chat({ model: "bench-diagnosis" });
        harness.agents["engine-1"]!.behave = breakConnection;
        await harness.chat({ model: "bench-diagnosis" });
        for (const agent of Object.values(harness.agents)) agent.journal.length = 0;
    });
    afterEach(() => harness.stop());

    const idOf = (entry: JournalEntry | undefined) => `chatcmpl-${String(entry?.headers["x-skylarkmill-attempt-id"])}`;

    // Guards against answers mixed from two attempts, and against work that goes on for an attempt that lost.
    it("answers from the second attempt and cancels the first", async () => {
        harness.agents["engine-1"]!.behave = () => undefined;
        const reply = await harness.chat({ model: "bench-diagnosis" });
        expect(JSON.parse(reply.text)).toHaveProperty("id", idOf(harness.agents["engine-2"]!.journal[0]));
        await harness.agents["engine-1"]!.closedEarly(1);
    });

    it("answers from the first attempt when it overtakes the second", async () => {
        const held = new HeldAnswer();
        harness.agents["engine-1"]!.behave = held.behave;
        harness.agents["engine-2"]!.behave = () => held.answer();
        const reply = await harness.chat({ model: "bench-diagnosis" });
        expect(JSON.parse(reply.text)).toHaveProperty("id", idOf(harness.agents["engine-1"]!.journal[0]));
        await harness.agents["engine-2"]!.closedEarly(1);
    });

    it("goes on with the first attempt when the second is refused", async () => {
        const held = new HeldAnswer();
        harness.agents["engine-1"]!.behave = held.behave;
        harness.agents["engine-2"]!.behave = (_entry, response) => {
            response.writeHead(503, { "x-skylarkmill-execution": "not_run" });
            response.end("{}", () => held.answer());
        };
        expect((await harness.chat({ model: "bench-diagnosis" })).status).toBe(200);
    });

    it.each([
        ["the budget is used up", "/v1/chat/completions", 0],
        ["the request is not idempotent", "/v1/completions", 1],
    ])("sends no second attempt when %s", async (_name, path, budget) => {
        takes = budget;
        harness.agents["engine-1"]!.behave = () => undefined;
        const body = JSON.stringify({ model: "bench-diagnosis" });
        const reply = await harness.send("POST", path, body, { "x-request-timeout-ms": "200" });
        expect(reply.json.error).toMatchObject({ code: "deadline_exceeded", execution: "unknown" });
        expect(harness.runs()).toBe(1);
    });
});

describe("shutdown", () => {
    // Guards against answers that a restart interrupts, and against requests that are lost meanwhile.
    it("refuses new connections, answers on open ones, then closes", async () => {
        const harness = await new Harness().start();
        const finishes: (() => void)[] = [];
        for (const agent of Object.values(harness.agents)) {
            agent.behave = (entry, response) => void finishes.push(() => answerStream(entry, response));
        }
        const kept = new Client(harness.url);
        expect(await (await kept.request({ method: "GET", path: "/readyz" })).body.text()).toContain("ready");
        const inProgress = harness.chat({ model: "parts-note", stream: true });
        await harness.agents["engine-1"]!.received(1);
        const stopped = harness.router.stop();
        for (const path of ["/healthz", "/readyz", "/v1/models"]) {
            await expect(request(`${harness.url}${path}`)).rejects.toMatchObject({ code: "ECONNREFUSED" });
        }
        const further = kept.request({
            method: "POST",
            path: "/v1/chat/completions",
            body: JSON.stringify({ model: "parts-note", stream: true, messages: [{ role: "user", content: "hub" }] }),
        });
        await harness.agents["engine-1"]!.received(2);
        for (const finish of finishes) finish();
        expect((await inProgress).text.endsWith("data: [DONE]\n\n")).toBe(true);
        const answer = await further;
        expect([answer.statusCode, answer.headers["connection"]]).toEqual([200, "close"]);
        expect((await answer.body.text()).endsWith("data: [DONE]\n\n")).toBe(true);
        await stopped;
        await kept.destroy();
        await harness.stop();
    });
});
