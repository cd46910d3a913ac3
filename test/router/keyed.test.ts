import { KEYS } from "@skylarkmill/config";
import { createHash } from "node:crypto";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { type AgentBehaviour, answerJson, breakConnection, refuseWith } from "./support/fake-agent.ts";
import { Harness, type Reply } from "./support/harness.ts";

const PATH = "/services/parts-ledger/orders";

// Guards against orders that run twice, and against answers that leave the caller in doubt for no reason.
describe("keyed requests", () => {
    let harness: Harness;
    beforeEach(async () => {
        harness = await new Harness().start();
    });
    afterEach(() => harness.stop());

    const order = (key = "key-1", body = '{"part":7}', headers: Record<string, string> = {}): Promise<Reply> =>
        harness.send("POST", PATH, body, { "idempotency-key": key, ...headers });

    function behave(behaviour: AgentBehaviour): void {
        for (const agent of Object.values(harness.agents)) agent.behave = behaviour;
    }

    /** Repeats the order until its outcome is stored. */
    async function untilStored(): Promise<Reply> {
        for (;;) {
            const reply = await order();
            if (reply.json.error?.code !== "request_in_progress") return reply;
        }
    }

    it("replays the stored answer", async () => {
        behave((_entry, response) => {
            response.writeHead(201, { "content-type": "application/vnd.order+json" });
            response.end('{"order":1}');
        });
        expect((await order()).status).toBe(201);
        const repeated = await untilStored();
        expect(repeated).toMatchObject({ status: 201, text: '{"order":1}' });
        expect(repeated.headers).toMatchObject({
            "idempotency-replayed": "true",
            "content-type": "application/vnd.order+json",
        });
        expect(harness.runs()).toBe(1);
    });

    it("runs different keys separately", async () => {
        await order("key-1");
        await order("key-2");
        expect(harness.runs()).toBe(2);
    });

    it("refuses a key that was used with another body", async () => {
        await order();
        const reply = await order("key-1", '{"part":8}');
        expect(reply).toMatchObject({ status: 422, json: { error: { code: "idempotency_key_reused" } } });
        expect(harness.runs()).toBe(1);
    });

    it("refuses a repetition while the first is in progress", async () => {
        const received = Object.values(harness.agents).map(agent => agent.received(1));
        let finish: () => void = () => undefined;
        behave((entry, response) => {
            finish = () => answerJson(entry, response);
        });
        const first = order();
        await Promise.race(received);
        const second = await order();
        expect(second).toMatchObject({
            status: 409,
            json: { error: { code: "request_in_progress", execution: "unknown" } },
        });
        finish();
        expect((await first).status).toBe(200);
        expect(harness.runs()).toBe(1);
    });

    it("says unknown after a lost outcome and does not run again", async () => {
        behave(breakConnection);
        expect((await order()).json.error).toMatchObject({ code: "backend_lost", execution: "unknown" });
        behave(answerJson);
        expect(await untilStored()).toMatchObject({ status: 409, json: { error: { code: "outcome_unknown" } } });
        expect(harness.runs()).toBe(1);
    });

    it("runs again after a refusal that says not_run", async () => {
        behave(refuseWith(429, "queue_full", "not_run"));
        expect((await order()).json.error).toMatchObject({ execution: "not_run" });
        const refused = harness.runs();
        behave(answerJson);
        expect((await untilStored()).status).toBe(200);
        expect(harness.runs()).toBe(refused + 1);
    });

    it("refuses within 1 s while the key-value service is down", async () => {
        harness.store.down = true;
        const startedAtMs = performance.now();
        const reply = await order();
        expect(performance.now() - startedAtMs).toBeLessThan(1100);
        expect(reply).toMatchObject({
            status: 503,
            json: { error: { code: "claim_store_unavailable", execution: "unknown" } },
        });
        expect(harness.runs()).toBe(0);
        harness.store.down = false;
        expect((await untilStored()).status).toBe(200);
        expect(harness.runs()).toBe(1);
    });

    it("refuses by the deadline when that is sooner", async () => {
        harness.store.down = true;
        const startedAtMs = performance.now();
        const reply = await order("key-1", "{}", { "x-request-timeout-ms": "100" });
        expect(performance.now() - startedAtMs).toBeLessThan(200);
        expect(reply.json.error).toMatchObject({ code: "claim_store_unavailable", execution: "unknown" });
    });

    it("says that the answer was too long to be kept", async () => {
        behave((_entry, response) => {
            response.end("x".repeat(70_000));
        });
        expect((await order()).text).toHaveLength(70_000);
        expect((await untilStored()).json.error).toMatchObject({ code: "outcome_not_stored", execution: "unknown" });
        expect(harness.runs()).toBe(1);
    });

    it("stores the outcome of an order whose caller left", async () => {
        let finish: () => void = () => undefined;
        behave((entry, response) => {
            finish = () => answerJson(entry, response);
        });
        const received = Object.values(harness.agents).map(agent => agent.received(1));
        const abort = new AbortController();
        const gone = fetch(harness.url + PATH, {
            method: "POST",
            headers: { "idempotency-key": "key-1" },
            body: '{"part":7}',
            signal: abort.signal,
        });
        await Promise.race(received);
        abort.abort();
        await expect(gone).rejects.toThrow();
        finish();
        expect(await untilStored()).toMatchObject({ status: 200, headers: { "idempotency-replayed": "true" } });
        expect(harness.runs()).toBe(1);
    });

    it("says unknown when the router that claimed the key does not run any more", async () => {
        const fingerprint = createHash("sha256").update('POST\0/orders\0{"part":7}').digest("hex");
        const keyHash = createHash("sha256").update("key-1").digest("hex");
        const claim = { requestId: "r", attemptId: "a", processId: "router-0", claimedAtMs: Date.now(), fingerprint };
        harness.store.put(KEYS.claim("parts-ledger", keyHash), JSON.stringify(claim));
        expect(await order()).toMatchObject({ status: 409, json: { error: { code: "outcome_unknown" } } });
        expect(harness.runs()).toBe(0);
    });

    it("sends idempotent requests with a key without a claim", async () => {
        harness.store.down = true;
        const reply = await harness.send("GET", "/services/parts-ledger/stock/1", undefined, {
            "idempotency-key": "k",
        });
        expect(reply.status).toBe(200);
    });
});
