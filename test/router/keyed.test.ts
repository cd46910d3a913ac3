import { KEYS } from "@skylarkmill/config";
import { createHash } from "node:crypto";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { type AgentBehaviour, breakConnection, refuseWith, respondWithJson } from "./support/fake-agent.ts";
import { Harness, type RouterResponse } from "./support/harness.ts";

const ORDERS_PATH = "/services/parts-ledger/orders";

// Guards against orders that run twice, and `unknown` outcomes of orders whose outcome could be determined.
describe("requests with an idempotency key", () => {
    let harness: Harness;
    beforeEach(async () => {
        harness = await new Harness().start();
    });
    afterEach(() => harness.stop());

    const sendOrder = (
        key = "key-1",
        body = '{"part":7}',
        headers: Record<string, string> = {},
    ): Promise<RouterResponse> => harness.send("POST", ORDERS_PATH, body, { "idempotency-key": key, ...headers });

    function setBehaviour(behaviour: AgentBehaviour): void {
        for (const agent of Object.values(harness.agents)) agent.behaviour = behaviour;
    }

    /** Repeats the order until its outcome is stored. */
    async function untilStored(): Promise<RouterResponse> {
        for (;;) {
            const response = await sendOrder();
            if (response.json.error?.code !== "request_in_progress") return response;
        }
    }

    it("replays the stored response", async () => {
        setBehaviour((_entry, response) => {
            response.writeHead(201, { "content-type": "application/vnd.order+json" });
            response.end('{"order":1}');
        });
        expect((await sendOrder()).status).toBe(201);
        const repeated = await untilStored();
        expect(repeated).toMatchObject({ status: 201, text: '{"order":1}' });
        expect(repeated.headers).toMatchObject({
            "idempotency-replayed": "true",
            "content-type": "application/vnd.order+json",
        });
        expect(harness.receivedRequestCount()).toBe(1);
    });

    it("runs requests with different keys separately", async () => {
        await sendOrder("key-1");
        await sendOrder("key-2");
        expect(harness.receivedRequestCount()).toBe(2);
    });

    it("refuses a key that was used with a different body", async () => {
        await sendOrder();
        const response = await sendOrder("key-1", '{"part":8}');
        expect(response).toMatchObject({ status: 422, json: { error: { code: "idempotency_key_reused" } } });
        expect(harness.receivedRequestCount()).toBe(1);
    });

    it("refuses a repeated request while the first is in progress", async () => {
        const received = Object.values(harness.agents).map(agent => agent.untilReceived(1));
        let finish: () => void = () => undefined;
        setBehaviour((entry, response) => {
            finish = () => respondWithJson(entry, response);
        });
        const first = sendOrder();
        await Promise.race(received);
        const second = await sendOrder();
        expect(second).toMatchObject({
            status: 409,
            json: { error: { code: "request_in_progress", execution: "unknown" } },
        });
        finish();
        expect((await first).status).toBe(200);
        expect(harness.receivedRequestCount()).toBe(1);
    });

    it("refuses as unknown without another run after the outcome was lost", async () => {
        setBehaviour(breakConnection);
        expect((await sendOrder()).json.error).toMatchObject({ code: "backend_lost", execution: "unknown" });
        setBehaviour(respondWithJson);
        expect(await untilStored()).toMatchObject({ status: 409, json: { error: { code: "outcome_unknown" } } });
        expect(harness.receivedRequestCount()).toBe(1);
    });

    it("runs again after a not_run refusal", async () => {
        setBehaviour(refuseWith(429, "queue_full", "not_run"));
        expect((await sendOrder()).json.error).toMatchObject({ execution: "not_run" });
        const receivedCountBeforeRetry = harness.receivedRequestCount();
        setBehaviour(respondWithJson);
        expect((await untilStored()).status).toBe(200);
        expect(harness.receivedRequestCount()).toBe(receivedCountBeforeRetry + 1);
    });

    it("refuses within 1 s while the key-value service is down", async () => {
        harness.store.isDown = true;
        const startedAtMs = performance.now();
        const response = await sendOrder();
        expect(performance.now() - startedAtMs).toBeLessThan(1100);
        expect(response).toMatchObject({
            status: 503,
            json: { error: { code: "claim_store_unavailable", execution: "unknown" } },
        });
        expect(harness.receivedRequestCount()).toBe(0);
        harness.store.isDown = false;
        expect((await untilStored()).status).toBe(200);
        expect(harness.receivedRequestCount()).toBe(1);
    });

    it("refuses at the deadline if it precedes the claim timeout", async () => {
        harness.store.isDown = true;
        const startedAtMs = performance.now();
        const response = await sendOrder("key-1", "{}", { "x-request-timeout-ms": "100" });
        expect(performance.now() - startedAtMs).toBeLessThan(200);
        expect(response.json.error).toMatchObject({ code: "claim_store_unavailable", execution: "unknown" });
    });

    it("refuses a repeated request if the response was too long to store", async () => {
        setBehaviour((_entry, response) => {
            response.end("x".repeat(70_000));
        });
        expect((await sendOrder()).text).toHaveLength(70_000);
        expect((await untilStored()).json.error).toMatchObject({ code: "outcome_not_stored", execution: "unknown" });
        expect(harness.receivedRequestCount()).toBe(1);
    });

    it("stores the outcome of an order whose caller disconnected", async () => {
        let finish: () => void = () => undefined;
        setBehaviour((entry, response) => {
            finish = () => respondWithJson(entry, response);
        });
        const received = Object.values(harness.agents).map(agent => agent.untilReceived(1));
        const abort = new AbortController();
        const abortedRequest = fetch(harness.url + ORDERS_PATH, {
            method: "POST",
            headers: { "idempotency-key": "key-1" },
            body: '{"part":7}',
            signal: abort.signal,
        });
        await Promise.race(received);
        abort.abort();
        await expect(abortedRequest).rejects.toThrow();
        finish();
        expect(await untilStored()).toMatchObject({ status: 200, headers: { "idempotency-replayed": "true" } });
        expect(harness.receivedRequestCount()).toBe(1);
    });

    it("refuses as unknown if the router that claimed the key is no longer running", async () => {
        const fingerprint = createHash("sha256").update('POST\0/orders\0{"part":7}').digest("hex");
        const keyHash = createHash("sha256").update("key-1").digest("hex");
        const claim = { requestId: "r", attemptId: "a", processId: "router-0", claimedAtMs: Date.now(), fingerprint };
        harness.store.put(KEYS.claim("parts-ledger", keyHash), JSON.stringify(claim));
        expect(await sendOrder()).toMatchObject({ status: 409, json: { error: { code: "outcome_unknown" } } });
        expect(harness.receivedRequestCount()).toBe(0);
    });

    it("sends idempotent requests with a key without claiming it", async () => {
        harness.store.isDown = true;
        const response = await harness.send("GET", "/services/parts-ledger/stock/1", undefined, {
            "idempotency-key": "k",
        });
        expect(response.status).toBe(200);
    });
});
