import type { ServiceId } from "@skylarkmill/protocol";
import { afterEach, describe, expect, it } from "vitest";
import type { AgentBehaviour, FakeAgent } from "./support/fake-agent.ts";
import { Harness, type RouterResponse } from "./support/harness.ts";

const neverRespond: AgentBehaviour = () => undefined;
const shortTimeout = { "x-request-timeout-ms": "400" };

async function untilReceivedBy(agents: readonly FakeAgent[], count: number): Promise<void> {
    while (agents.reduce((sum, agent) => sum + agent.receivedRequests.length, 0) < count) {
        await Promise.race(agents.map(agent => agent.untilReceived(agent.receivedRequests.length + 1)));
    }
}

describe("overload", () => {
    let harness: Harness;
    afterEach(() => harness.stop());

    // Guards against one service that uses all of a router's capacity.
    it("refuses requests of a service above its share and still serves another service", async () => {
        harness = await new Harness().start({ limits: { maxRequests: 8 } });
        const engines = [harness.agents["engine-1"]!, harness.agents["engine-2"]!];
        for (const engine of engines) engine.behaviour = neverRespond;
        const started: Promise<RouterResponse>[] = [];
        for (let i = 0; i < 4; i += 1) started.push(harness.chat({ model: "bench-diagnosis" }, shortTimeout));
        await untilReceivedBy(engines, 4);
        const refused = await harness.chat({ model: "bench-diagnosis" }, shortTimeout);
        expect(refused).toMatchObject({ status: 429, json: { error: { code: "queue_full", execution: "not_run" } } });
        expect(refused.headers["retry-after"]).toBeDefined();
        expect((await harness.send("GET", "/services/parts-ledger/stock/1")).status).toBe(200);
        await Promise.all(started);
    });

    // Guards against requests that wait although they can't finish before their deadline.
    it("refuses a request at once if recent durations exceed its deadline", async () => {
        const admissionRequests: { serviceId: ServiceId; expectedMs: number; }[] = [];
        harness = await new Harness().start({
            policies: {
                admission: {
                    decide: request => {
                        admissionRequests.push(request);
                        return request.nowMs + request.expectedMs <= request.deadlineAtMs
                            ? { admitted: true }
                            : { admitted: false, code: "deadline_unreachable", retryAfterMs: 5 };
                    },
                },
            },
        });
        for (const agent of Object.values(harness.agents)) {
            agent.behaviour = (_entry, response) => void setTimeout(() => response.end("{}"), 100);
        }
        const getStock = (timeoutMs: number) =>
            harness.send("GET", "/services/parts-ledger/stock", undefined, {
                "x-request-timeout-ms": String(timeoutMs),
            });
        for (let i = 0; i < 6; i += 1) expect((await getStock(2000)).status).toBe(200);
        expect(admissionRequests.at(-1)!.expectedMs).toBeGreaterThan(50);
        const refused = await getStock(20);
        expect(refused.json.error).toMatchObject({ code: "deadline_unreachable", execution: "not_run" });
        expect(refused.status).toBe(503);
    });

    it("refuses bodies above the memory limit and releases the memory afterwards", async () => {
        harness = await new Harness().start({ limits: { maxBufferedBodyBytes: 1000 } });
        const ledgers = [harness.agents["ledger-1"]!, harness.agents["ledger-2"]!];
        for (const ledger of ledgers) ledger.behaviour = neverRespond;
        const putStock = () => harness.send("PUT", "/services/parts-ledger/stock/1", "x".repeat(600), shortTimeout);
        const first = putStock();
        await untilReceivedBy(ledgers, 1);
        expect((await putStock()).json.error).toMatchObject({ code: "queue_full", execution: "not_run" });
        expect((await first).status).toBe(504);
        expect((await putStock()).status).toBe(504);
    });
});
