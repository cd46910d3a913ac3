import { KEYS } from "@skylarkmill/config";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { respondWithStream } from "./support/fake-agent.ts";
import { Harness } from "./support/harness.ts";

let harness: Harness;
beforeEach(async () => {
    harness = await new Harness().start();
});
afterEach(() => harness.stop());

const chat = { model: "bench-diagnosis", messages: [{ role: "user", content: "squeak" }] };

// Guards against requests and responses that are lost or altered by the router.
describe("relay", () => {
    it("forwards the request's body, id and target, and the response", async () => {
        const response = await harness.chat({ ...chat, model: "trike" }, { "x-request-id": "r-1" });
        expect(response.status).toBe(200);
        expect(response.headers["x-request-id"]).toBe("r-1");
        const [entry] = Object.values(harness.agents).flatMap(agent => agent.receivedRequests);
        expect(entry?.headers).toMatchObject({
            "x-skylarkmill-model": "bench-diagnosis",
            "x-skylarkmill-adapter": "trike",
            "x-request-id": "r-1",
        });
        expect(JSON.parse(entry!.body)).toEqual({ ...chat, model: "trike" });
    });

    it("forwards a streamed response with its end mark", async () => {
        for (const agent of Object.values(harness.agents)) agent.behaviour = respondWithStream;
        const response = await harness.chat({ ...chat, stream: true });
        expect(response.headers["content-type"]).toBe("text/event-stream");
        expect(response.text.split("\n\n").filter(Boolean)).toHaveLength(4);
        expect(response.text.endsWith("data: [DONE]\n\n")).toBe(true);
    });

    // Guards against `model_not_found` refusals from a router that has no services configured.
    it("refuses requests as not ready while no services are configured", async () => {
        harness.store.putRecord(KEYS.config("workshops"), { team: "workshops", services: {} }, 2);
        while ((await harness.send("GET", "/readyz")).status === 200);
        const response = await harness.chat(chat);
        expect(response).toMatchObject({ status: 503, json: { error: { code: "not_ready", execution: "not_run" } } });
    });

    it("forwards method, path, query, headers and body to a plain service", async () => {
        const response = await harness.send("PUT", "/services/parts-ledger/stock/7?x=1", "body", {
            "x-custom": "a",
        });
        expect(response.status).toBe(200);
        const [entry] = Object.values(harness.agents).flatMap(agent => agent.receivedRequests);
        expect(entry).toMatchObject({ method: "PUT", path: "/stock/7?x=1", body: "body" });
        expect(entry!.headers).toMatchObject({ "x-custom": "a", "x-skylarkmill-service": "parts-ledger" });
    });
});
