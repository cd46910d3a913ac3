import type { ServiceId } from "@skylarkmill/protocol";
import { afterEach, describe, expect, it } from "vitest";
import type { AgentBehaviour, FakeAgent } from "./support/fake-agent.ts";
import { Harness, type Reply } from "./support/harness.ts";

const hang: AgentBehaviour = () => undefined;
const short = { "x-request-timeout-ms": "400" };

async function receivedBy(agents: readonly FakeAgent[], count: number): Promise<void> {
    while (agents.reduce((sum, agent) => sum + agent.journal.length, 0) < count) {
        await Promise.race(agents.map(agent => agent.received(agent.journal.length + 1)));
    }
}

describe("overload", () => {
    let harness: Harness;
    afterEach(() => harness.stop());

    // Guards against one service that takes all of a router's capacity.
    it("refuses the service beyond its share and still serves the other", async () => {
        harness = await new Harness().start({ limits: { maxRequests: 8 } });
        const engines = [harness.agents["engine-1"]!, harness.agents["engine-2"]!];
        for (const engine of engines) engine.behave = hang;
        const started: Promise<Reply>[] = [];
        for (let i = 0; i < 4; i += 1) started.push(harness.chat({ model: "bench-diagnosis" }, short));
        await receivedBy(engines, 4);
        const refused = await harness.chat({ model: "bench-diagnosis" }, short);
        expect(refused).toMatchObject({ status: 429, json: { error: { code: "queue_full", execution: "not_run" } } });
        expect(refused.headers["retry-after"]).toBeDefined();
        expect((await harness.send("GET", "/services/parts-ledger/stock/1")).status).toBe(200);
        await Promise.all(started);
    });

    // Guards against requests that wait in vain.
    it("refuses at once what has lately taken longer than the deadline", async () => {
        const decided: { serviceId: ServiceId; expectedMs: number; }[] = [];
        harness = await new Harness().start({
            policies: {
                admission: {
                    decide: request => {
                        decided.push(request);
                        return request.nowMs + request.expectedMs <= request.deadlineAtMs
                            ? { admitted: true }
                            : { admitted: false, code: "deadline_unreachable", retryAfterMs: 5 };
                    },
                },
            },
        });
        for (const agent of Object.values(harness.agents)) {
            agent.behave = (_entry, response) => void setTimeout(() => response.end("{}"), 100);
        }
        const look = (timeoutMs: number) =>
            harness.send("GET", "/services/parts-ledger/stock", undefined, {
                "x-request-timeout-ms": String(timeoutMs),
            });
        for (let i = 0; i < 6; i += 1) expect((await look(2000)).status).toBe(200);
        expect(decided.at(-1)!.expectedMs).toBeGreaterThan(50);
        const refused = await look(20);
        expect(refused.json.error).toMatchObject({ code: "deadline_unreachable", execution: "not_run" });
        expect(refused.status).toBe(503);
    });

    it("refuses bodies beyond the memory for them, and frees it", async () => {
        harness = await new Harness().start({ limits: { maxHeldBodyBytes: 1000 } });
        const ledgers = [harness.agents["ledger-1"]!, harness.agents["ledger-2"]!];
        for (const ledger of ledgers) ledger.behave = hang;
        const put = () => harness.send("PUT", "/services/parts-ledger/stock/1", "x".repeat(600), short);
        const first = put();
        await receivedBy(ledgers, 1);
        expect((await put()).json.error).toMatchObject({ code: "queue_full", execution: "not_run" });
        expect((await first).status).toBe(504);
        expect((await put()).status).toBe(504);
    });
});
