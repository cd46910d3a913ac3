import type { ServerId } from "@skylarkmill/protocol";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { type AgentBehaviour, answerJson, breakConnection, refuseWith } from "./support/fake-agent.ts";
import { Harness, toFirst } from "./support/harness.ts";

const hang: AgentBehaviour = () => undefined;
const neverEndingRefusal: AgentBehaviour = (_request, response) => {
    response.writeHead(502, { "x-skylarkmill-execution": "unknown", "content-length": "100" });
    response.write("{");
};
const order = { method: "POST", path: "/services/parts-ledger/orders" };
const stock = { method: "GET", path: "/services/parts-ledger/stock/7" };
const chat = { method: "POST", path: "/v1/chat/completions" };
const once = { method: "POST", path: "/v1/completions" };
const model = JSON.stringify({ model: "bench-diagnosis" });

/** Sends first attempts to one server, so that the cases know which agent fails. */
const inOrder = { chooser: toFirst(["engine-1", "ledger-1"] as ServerId[]) };

describe("outcomes", () => {
    let harness: Harness;
    beforeEach(async () => {
        harness = await new Harness().start({ policies: inOrder });
    });
    afterEach(() => harness.stop());

    // Guards against non-idempotent requests that run twice, against requests that are lost although another
    // server could run them, and against refusals that say `not_run` of a request that may have run.
    const cases = [
        {
            name: "an order refused not_run moves",
            request: order,
            first: refuseWith(503, "draining", "not_run"),
            status: 200,
            runs: 2,
        },
        {
            name: "an order refused unknown stays",
            request: order,
            first: refuseWith(502, "backend_failed", "unknown"),
            status: 502,
            execution: "unknown",
            runs: 1,
        },
        {
            name: "an order whose connection breaks stays",
            request: order,
            first: breakConnection,
            status: 502,
            execution: "unknown",
            runs: 1,
        },
        {
            name: "a look-up whose connection breaks moves",
            request: stock,
            first: breakConnection,
            status: 200,
            runs: 2,
        },
        {
            name: "a GET that matches a rule stays",
            request: { ...stock, path: "/services/parts-ledger//DRAW?x=1" },
            first: breakConnection,
            status: 502,
            execution: "unknown",
            runs: 1,
        },
        {
            name: "a model request whose connection breaks moves",
            request: chat,
            first: breakConnection,
            status: 200,
            runs: 2,
        },
        {
            name: "a model request that matches a rule stays",
            request: once,
            first: breakConnection,
            status: 502,
            execution: "unknown",
            runs: 1,
        },
        {
            name: "an unknown refusal of a model request moves",
            request: chat,
            first: refuseWith(502, "bad_answer", "unknown"),
            status: 200,
            runs: 2,
        },
        {
            name: "a fault of the request is passed on",
            request: chat,
            first: refuseWith(404, "model_not_found", "not_run", "invalid_request_error"),
            status: 404,
            execution: "not_run",
            runs: 1,
        },
        {
            name: "an order without an answer is unknown",
            request: order,
            first: hang,
            status: 504,
            execution: "unknown",
            runs: 1,
            timeoutMs: "150",
        },
        {
            name: "an order whose refusal as unknown never ends is unknown",
            request: order,
            first: neverEndingRefusal,
            status: 504,
            execution: "unknown",
            runs: 1,
            timeoutMs: "150",
        },
    ];
    it.each(cases)("$name", async ({ request, first, status, execution, runs, timeoutMs }) => {
        for (const serverId of ["engine-1", "ledger-1"]) harness.agents[serverId]!.behave = first;
        const reply = await harness.send(request.method, request.path, request.method === "GET" ? undefined : model, {
            ...(timeoutMs === undefined ? {} : { "x-request-timeout-ms": timeoutMs }),
        });
        expect(reply.status).toBe(status);
        expect(reply.json.error?.execution).toBe(execution);
        expect(harness.runs()).toBe(runs);
    });

    it("moves a request from an agent that refuses connections, even an order", async () => {
        await harness.agents["ledger-1"]!.stop();
        const reply = await harness.send("POST", "/services/parts-ledger/orders", "{}");
        expect(reply.status).toBe(200);
        expect(harness.runs()).toBe(1);
        await harness.agents["ledger-1"]!.start();
    });

    it("passes a full queue on with its retry time once all servers refused", async () => {
        for (const agent of Object.values(harness.agents)) agent.behave = refuseWith(503, "queue_full", "not_run");
        const reply = await harness.chat({ model: "bench-diagnosis" });
        expect(reply).toMatchObject({ status: 503, headers: { "retry-after": "1" } });
        expect(reply.json.error).toMatchObject({ code: "queue_full", execution: "not_run", retry_after_ms: 700 });
        expect(harness.runs()).toBe(2);
    });

    it("says unknown when a later refusal says not_run but an earlier attempt was lost", async () => {
        harness.agents["engine-1"]!.behave = breakConnection;
        harness.agents["engine-2"]!.behave = refuseWith(503, "queue_full", "not_run");
        const reply = await harness.chat({ model: "bench-diagnosis" });
        expect(reply.json.error).toMatchObject({ code: "queue_full", execution: "unknown" });
    });

    it("waits for a grant and serves the request once there is one", async () => {
        harness.putGrants("parts-note", [], 2);
        const reply = harness.chat({ model: "parts-note" });
        harness.putGrants("parts-note", ["engine-2"], 3);
        expect((await reply).status).toBe(200);
        expect(harness.agents["engine-2"]!.journal).toHaveLength(1);
    });

    // Guards against work that is sent to a server which is known to leave.
    it.each([
        ["the host list says leaving", async (h: Harness) => h.hostList.setState("engine-1", "leaving")],
        ["a drain record names the host", async (h: Harness) => h.putDrain("host-engine-1")],
        ["the agent reports draining", (h: Harness) => h.reportDraining("engine-1")],
    ])("sends nothing to a server when %s", async (_name, leave) => {
        await leave(harness);
        const before = harness.agents["engine-1"]!.journal.length;
        for (let i = 0; i < 5; i += 1) expect((await harness.chat({ model: "bench-diagnosis" })).status).toBe(200);
        expect(harness.agents["engine-1"]!.journal).toHaveLength(before);
        expect(harness.agents["engine-2"]!.journal.length).toBeGreaterThanOrEqual(5);
    });

    it("ends a request without an answer within 100 ms after its deadline", async () => {
        for (const agent of Object.values(harness.agents)) agent.behave = hang;
        const startedAtMs = performance.now();
        const reply = await harness.chat({ model: "parts-note" }, { "x-request-timeout-ms": "200" });
        const tookMs = performance.now() - startedAtMs;
        expect(reply.status).toBe(504);
        expect(tookMs).toBeGreaterThanOrEqual(200);
        expect(tookMs).toBeLessThan(300);
        await harness.agents["engine-1"]!.closedEarly(1);
    });

    it("answers again after an agent came back", async () => {
        harness.agents["engine-1"]!.behave = answerJson;
        await harness.agents["engine-1"]!.stop();
        const reply = harness.chat({ model: "parts-note" });
        await harness.untilLogged("agent.connect");
        await harness.agents["engine-1"]!.start();
        expect((await reply).status).toBe(200);
    });
});
