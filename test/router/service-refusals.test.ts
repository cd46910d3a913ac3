import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { AgentBehaviour } from "./support/fake-agent.ts";
import { Harness } from "./support/harness.ts";

const ORDERS_PATH = "/services/parts-ledger/orders";
const BODY = "the ledger is away";

/** A plain service's own response, as its agent relays it. */
function relay(status: number): AgentBehaviour {
    return (_request, response) => {
        response.writeHead(status, { "retry-after": "7", "x-skylarkmill-execution": "run" });
        response.end(BODY);
    };
}

// Guards against a service's own refusal of an order that is taken for a promise, by the router or under its key.
describe("an order that a plain service refuses itself", () => {
    let harness: Harness;
    beforeEach(async () => {
        harness = await new Harness().start();
    });
    afterEach(() => harness.stop());

    const sendOrder = (headers: Record<string, string> = {}) => harness.send("POST", ORDERS_PATH, "{}", headers);

    it.each([408, 429, 503])("is sent once and gets the service's response: %s", async status => {
        for (const agent of Object.values(harness.agents)) agent.behaviour = relay(status);
        const response = await sendOrder();
        expect(response).toMatchObject({ status, text: BODY, headers: { "retry-after": "7" } });
        expect(harness.receivedRequestCount()).toBe(1);
    });

    it.each([408, 429, 503])("gets the same response again under its key and doesn't run again: %s", async status => {
        for (const agent of Object.values(harness.agents)) agent.behaviour = relay(status);
        const key = { "idempotency-key": "key-1" };
        expect(await sendOrder(key)).toMatchObject({ status, text: BODY });
        for (;;) {
            const repeated = await sendOrder(key);
            if (repeated.json?.error?.code === "request_in_progress") continue;
            expect(repeated).toMatchObject({ status, text: BODY, headers: { "idempotency-replayed": "true" } });
            break;
        }
        expect(harness.receivedRequestCount()).toBe(1);
    });
});
