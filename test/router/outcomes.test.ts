import type { ServerId } from "@skylarkmill/protocol";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { type AgentBehaviour, breakConnection, refuseWith, respondWithJson } from "./support/fake-agent.ts";
import { Harness, preferServers } from "./support/harness.ts";

const neverRespond: AgentBehaviour = () => undefined;
const neverEndingRefusal: AgentBehaviour = (_request, response) => {
    response.writeHead(502, { "x-skylarkmill-execution": "unknown", "content-length": "100" });
    response.write("{");
};
const orderRequest = { method: "POST", path: "/services/parts-ledger/orders" };
const stockRequest = { method: "GET", path: "/services/parts-ledger/stock/7" };
const chatRequest = { method: "POST", path: "/v1/chat/completions" };
const completionRequest = { method: "POST", path: "/v1/completions" };
const modelRequestBody = JSON.stringify({ model: "bench-diagnosis" });

/** Sends first attempts to a fixed server, so that the cases determine which agent fails. */
const fixedFirstServers = { chooser: preferServers(["engine-1", "ledger-1"] as ServerId[]) };

describe("outcomes of failed attempts", () => {
    let harness: Harness;
    beforeEach(async () => {
        harness = await new Harness().start({ policies: fixedFirstServers });
    });
    afterEach(() => harness.stop());

    // Guards against non-idempotent requests that run twice, requests that fail although another server could run
    // them, and `not_run` refusals of requests that may have run.
    const cases = [
        {
            name: "retries an order that was refused as not_run",
            request: orderRequest,
            behaviour: refuseWith(503, "draining", "not_run"),
            status: 200,
            expectedReceivedCount: 2,
        },
        {
            name: "does not retry an order that was refused as unknown",
            request: orderRequest,
            behaviour: refuseWith(502, "backend_failed", "unknown"),
            status: 502,
            execution: "unknown",
            expectedReceivedCount: 1,
        },
        {
            name: "does not retry an order whose connection breaks",
            request: orderRequest,
            behaviour: breakConnection,
            status: 502,
            execution: "unknown",
            expectedReceivedCount: 1,
        },
        {
            name: "retries a GET request whose connection breaks",
            request: stockRequest,
            behaviour: breakConnection,
            status: 200,
            expectedReceivedCount: 2,
        },
        {
            name: "does not retry a GET request that is configured as non-idempotent",
            request: { ...stockRequest, path: "/services/parts-ledger//DRAW?x=1" },
            behaviour: breakConnection,
            status: 502,
            execution: "unknown",
            expectedReceivedCount: 1,
        },
        {
            name: "retries a model request whose connection breaks",
            request: chatRequest,
            behaviour: breakConnection,
            status: 200,
            expectedReceivedCount: 2,
        },
        {
            name: "does not retry a model request that is configured as non-idempotent",
            request: completionRequest,
            behaviour: breakConnection,
            status: 502,
            execution: "unknown",
            expectedReceivedCount: 1,
        },
        {
            name: "retries a model request that was refused as unknown",
            request: chatRequest,
            behaviour: refuseWith(502, "bad_answer", "unknown"),
            status: 200,
            expectedReceivedCount: 2,
        },
        {
            name: "forwards the refusal of an invalid request",
            request: chatRequest,
            behaviour: refuseWith(404, "model_not_found", "not_run", "invalid_request_error"),
            status: 404,
            execution: "not_run",
            expectedReceivedCount: 1,
        },
        {
            name: "refuses an order without a response as unknown",
            request: orderRequest,
            behaviour: neverRespond,
            status: 504,
            execution: "unknown",
            expectedReceivedCount: 1,
            timeoutMs: "150",
        },
        {
            name: "refuses an order as unknown if the body of its unknown refusal never ends",
            request: orderRequest,
            behaviour: neverEndingRefusal,
            status: 504,
            execution: "unknown",
            expectedReceivedCount: 1,
            timeoutMs: "150",
        },
    ];
    it.each(cases)(
        "$name",
        async ({ request, behaviour, status, execution, expectedReceivedCount, timeoutMs }) => {
            for (const serverId of ["engine-1", "ledger-1"]) harness.agents[serverId]!.behaviour = behaviour;
            const response = await harness.send(
                request.method,
                request.path,
                request.method === "GET" ? undefined : modelRequestBody,
                {
                    ...(timeoutMs === undefined ? {} : { "x-request-timeout-ms": timeoutMs }),
                },
            );
            expect(response.status).toBe(status);
            expect(response.json.error?.execution).toBe(execution);
            expect(harness.receivedRequestCount()).toBe(expectedReceivedCount);
        },
    );

    // Guards against a request that ends one backend server after the other, and each again after its restart.
    it.each([
        { name: "break the connection", behaviour: breakConnection },
        { name: "refuse it as unknown", behaviour: refuseWith(502, "backend_failed", "unknown") },
    ])("runs a repeatable request three times at most if all servers $name", async ({ behaviour }) => {
        for (const agent of Object.values(harness.agents)) agent.behaviour = behaviour;
        const before = harness.receivedRequestCount();
        const response = await harness.chat({ model: "bench-diagnosis" }, { "x-request-timeout-ms": "1500" });
        expect(response.json.error?.execution).toBe("unknown");
        expect(harness.receivedRequestCount() - before).toBeLessThanOrEqual(3);
    });

    it("retries even an order if an agent refuses connections", async () => {
        await harness.agents["ledger-1"]!.stop();
        const response = await harness.send("POST", "/services/parts-ledger/orders", "{}");
        expect(response.status).toBe(200);
        expect(harness.receivedRequestCount()).toBe(1);
        await harness.agents["ledger-1"]!.start();
    });

    it("forwards a queue_full refusal with its retry delay once all servers have refused", async () => {
        for (const agent of Object.values(harness.agents)) agent.behaviour = refuseWith(503, "queue_full", "not_run");
        const response = await harness.chat({ model: "bench-diagnosis" });
        expect(response).toMatchObject({ status: 503, headers: { "retry-after": "1" } });
        expect(response.json.error).toMatchObject({ code: "queue_full", execution: "not_run", retry_after_ms: 700 });
        expect(harness.receivedRequestCount()).toBe(2);
    });

    it("refuses as unknown if an earlier attempt was lost and a later one was refused as not_run", async () => {
        harness.agents["engine-1"]!.behaviour = breakConnection;
        harness.agents["engine-2"]!.behaviour = refuseWith(503, "queue_full", "not_run");
        const response = await harness.chat({ model: "bench-diagnosis" });
        expect(response.json.error).toMatchObject({ code: "queue_full", execution: "unknown" });
    });

    it("waits for a grant and then serves the request", async () => {
        harness.putGrants("parts-note", [], 2);
        const response = harness.chat({ model: "parts-note" });
        harness.putGrants("parts-note", ["engine-2"], 3);
        expect((await response).status).toBe(200);
        expect(harness.agents["engine-2"]!.receivedRequests).toHaveLength(1);
    });

    // Guards against requests that are sent to a server known to be leaving.
    it.each([
        ["the host list shows it as leaving", async (h: Harness) => h.membership.setState("engine-1", "leaving")],
        ["a drain record exists for its host", async (h: Harness) => h.putDrain("host-engine-1")],
        ["its agent reports that it is draining", (h: Harness) => h.reportDraining("engine-1")],
    ])("sends no request to a server if %s", async (_name, startLeaving) => {
        await startLeaving(harness);
        const before = harness.agents["engine-1"]!.receivedRequests.length;
        for (let i = 0; i < 5; i += 1) expect((await harness.chat({ model: "bench-diagnosis" })).status).toBe(200);
        expect(harness.agents["engine-1"]!.receivedRequests).toHaveLength(before);
        expect(harness.agents["engine-2"]!.receivedRequests.length).toBeGreaterThanOrEqual(5);
    });

    it("refuses a request without a response within 100 ms after its deadline", async () => {
        for (const agent of Object.values(harness.agents)) agent.behaviour = neverRespond;
        const startedAtMs = performance.now();
        const response = await harness.chat({ model: "parts-note" }, { "x-request-timeout-ms": "200" });
        const tookMs = performance.now() - startedAtMs;
        expect(response.status).toBe(504);
        expect(tookMs).toBeGreaterThanOrEqual(200);
        expect(tookMs).toBeLessThan(300);
        await harness.agents["engine-1"]!.untilClosedEarly(1);
    });

    it("serves a waiting request after its agent has restarted", async () => {
        harness.agents["engine-1"]!.behaviour = respondWithJson;
        await harness.agents["engine-1"]!.stop();
        const response = harness.chat({ model: "parts-note" });
        await harness.untilLogged("agent.connect");
        await harness.agents["engine-1"]!.start();
        expect((await response).status).toBe(200);
    });
});
