import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { type Cluster, startCluster } from "../support/cluster.ts";

const sections = {
    workshops: {
        team: "workshops",
        services: {
            "workshop-assistant": {
                kind: "model",
                models: {
                    diagnosis: {
                        memoryBytes: 1_000_000_000,
                        maxReplicas: 1,
                        expectedLoadMs: 500,
                        adapters: ["tandem"],
                    },
                },
            },
        },
    },
    ledger: {
        team: "ledger",
        services: { "parts-ledger": { kind: "plain", nonIdempotent: [{ method: "POST", path: "/orders" }] } },
    },
};

const agentToLedgerLink = { from: "agent-2", to: "ledger-1" };
let cluster: Cluster;

beforeAll(async () => {
    cluster = await startCluster({ sections, engineCount: 1, ledgerCount: 1, links: [agentToLedgerLink] });
}, 60_000);

afterAll(() => cluster.close());

// Guards against a bundle whose roles start but can't serve a request together.
describe("the bundle as separate processes", () => {
    it("loads a cold model once to serve its first request", async () => {
        await cluster.waitForGrants(["diagnosis"]);
        const response = await cluster.sendChat({ model: "diagnosis", message: "loose chain" });
        expect(response).toMatchObject({ status: 200 });
        expect(response.text).toContain("loose chain");
        const loads = (await cluster.journal("engine-1")).filter(event => event.kind === "load_finished");
        expect(loads).toHaveLength(1);
    });

    it("executes an order with an idempotency key once when it is sent to two routers", async () => {
        const first = await cluster.sendOrder("key-1", "router-1");
        const second = await cluster.sendOrder("key-1", "router-2");
        expect([first.status, second.text]).toEqual([201, first.text]);
        expect(second.headers["idempotency-replayed"]).toBe("true");
        const executions = (await cluster.journal("ledger-1")).filter(event => event.kind === "execution_started");
        expect(executions).toHaveLength(1);
    });

    // Guards against an edit that comes into force only at the router that received it.
    it("applies a configuration edit at both routers", async () => {
        const { version, section } = await cluster.readSection<typeof sections.workshops>("workshops");
        section.services["workshop-assistant"].models.diagnosis.maxReplicas = 2;
        expect((await cluster.editSection("workshops", version, section)).status).toBe(200);
        const readBack = async () => (await cluster.readSection("workshops", "router-2")).version;
        await expect.poll(readBack, { timeout: 5000 }).toBe(version + 1);
    });

    // Guards against the execution of an order whose response reports a failure, and against a fault proxy without effect.
    it("fails an order without executing it while the agent can't reach the ledger", async () => {
        const countExecutions = async () =>
            (await cluster.journal("ledger-1")).filter(event => event.kind === "execution_started").length;
        const before = await countExecutions();
        await cluster.setLinkFaults(agentToLedgerLink, { mode: "cut" });
        const response = await cluster.sendOrder(undefined);
        await cluster.setLinkFaults(agentToLedgerLink, { mode: "pass" });
        expect(response.status).toBeGreaterThanOrEqual(500);
        expect(await countExecutions()).toBe(before);
    });

    // Guards against a process that does not exit after SIGTERM.
    it("exits with code 0 on SIGTERM", async () => {
        const router = cluster.process("router-2");
        await router.end("SIGTERM");
        expect(router.exitCode).toBe(0);
    });
});
