import { KEYS } from "@skylarkmill/config";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { answerStream } from "./support/fake-agent.ts";
import { Harness } from "./support/harness.ts";

let harness: Harness;
beforeEach(async () => {
    harness = await new Harness().start();
});
afterEach(() => harness.stop());

const chat = { model: "bench-diagnosis", messages: [{ role: "user", content: "squeak" }] };

// Guards against lost or altered requests and answers on the way through the router.
describe("relay", () => {
    it("passes a whole answer and the request's body, id and target on", async () => {
        const reply = await harness.chat({ ...chat, model: "trike" }, { "x-request-id": "r-1" });
        expect(reply.status).toBe(200);
        expect(reply.headers["x-request-id"]).toBe("r-1");
        const [entry] = Object.values(harness.agents).flatMap(agent => agent.journal);
        expect(entry?.headers).toMatchObject({
            "x-skylarkmill-model": "bench-diagnosis",
            "x-skylarkmill-adapter": "trike",
            "x-request-id": "r-1",
        });
        expect(JSON.parse(entry!.body)).toEqual({ ...chat, model: "trike" });
    });

    it("passes a streamed answer with its end mark", async () => {
        for (const agent of Object.values(harness.agents)) agent.behave = answerStream;
        const reply = await harness.chat({ ...chat, stream: true });
        expect(reply.headers["content-type"]).toBe("text/event-stream");
        expect(reply.text.split("\n\n").filter(Boolean)).toHaveLength(4);
        expect(reply.text.endsWith("data: [DONE]\n\n")).toBe(true);
    });

    // Guards against "model not found" from a router that does not know any model yet.
    it("refuses as not ready without a configuration", async () => {
        harness.store.putRecord(KEYS.config("workshops"), { team: "workshops", services: {} }, 2);
        while ((await harness.send("GET", "/readyz")).status === 200);
        const reply = await harness.chat(chat);
        expect(reply).toMatchObject({ status: 503, json: { error: { code: "not_ready", execution: "not_run" } } });
    });

    it("passes method, path, query, headers and body to a plain service", async () => {
        const reply = await harness.send("PUT", "/services/parts-ledger/stock/7?x=1", "body", {
            "x-custom": "a",
        });
        expect(reply.status).toBe(200);
        const [entry] = Object.values(harness.agents).flatMap(agent => agent.journal);
        expect(entry).toMatchObject({ method: "PUT", path: "/stock/7?x=1", body: "body" });
        expect(entry!.headers).toMatchObject({ "x-custom": "a", "x-skylarkmill-service": "parts-ledger" });
    });
});
