import { KEYS } from "@skylarkmill/config";
import { describe, expect, it } from "vitest";
import { createBackendHost, putSection } from "./fixture.ts";
import { createPlainSection, OperatorHarness } from "./operator-fixture.ts";

const modelSection = {
    team: "workshops",
    services: { assistant: { kind: "model", models: { m: { memoryBytes: 1, maxReplicas: 1 } } } },
};
const toRecordVersion = (section: string, version: number) => ({
    key: KEYS.config(section),
    version: BigInt(version),
    nonce: "n",
});

// Guards against a status that omits processes which have older versions or don't respond.
describe("GET /operator/config/status", () => {
    const cases = [
        { name: "all processes up to date", behind: false, unreachable: undefined, everywhere: true },
        { name: "one process with an older version", behind: true, unreachable: undefined, everywhere: false },
        { name: "one process unreachable", behind: false, unreachable: "unreachable" as const, everywhere: false },
        { name: "one process not responding", behind: false, unreachable: "silent" as const, everywhere: false },
    ];
    it.each(cases)("$name", async ({ behind, unreachable, everywhere }) => {
        const harness = new OperatorHarness();
        const operator = await harness.addRouter();
        await operator.put("parts", 0, "e-1", createPlainSection("parts"));
        await operator.put("parts", 1, "e-2", createPlainSection("parts", {}));
        harness.peers.statuses.set("host-a", { versions: [toRecordVersion("parts", 2)], lastChangeMs: 40 });
        harness.peers.statuses.set("host-b", { versions: [toRecordVersion("parts", behind ? 1 : 2)] });
        if (unreachable !== undefined) harness.peers[unreachable].add("host-b");
        const { body } = await operator.call("GET", "/operator/config/status");
        expect(body).toMatchObject({
            newest: { parts: 2 },
            inForceEverywhere: everywhere,
            unreachable: unreachable === undefined ? [] : ["host-b"],
            processes: [
                { hostId: "host-a", versions: { parts: 2 }, lastChangeMs: 40, behind: [] },
                unreachable === undefined
                    ? { hostId: "host-b", behind: behind ? ["parts"] : [] }
                    : { hostId: "host-b", reachable: false },
            ],
        });
    });
});

// Guards against a status that shows no problems although there are some.
describe("GET /operator/status", () => {
    it("counts replicas and lists problems", async () => {
        const harness = new OperatorHarness();
        const operator = await harness.addRouter();
        await putSection(operator.records, "workshops", modelSection);
        const server = { serverId: "server-a", queuedCount: 4, models: [{ modelId: "m", state: "ready" }] };
        harness.peers.statuses.set("host-a", { server, draining: true });
        harness.peers.statuses.set("host-b", {
            server: { ...server, serverId: "server-b" },
            problems: ["Engine is slow."],
        });
        harness.membership.entries.push(createBackendHost("c"));
        harness.peers.unreachable.add("host-c");
        const { body } = await operator.call("GET", "/operator/status");
        expect(body).toMatchObject({
            services: [{ serviceId: "assistant", servers: 3 }],
            models: [{ modelId: "m", decided: 1, granted: 0, loaded: 2 }],
            servers: [{ serverId: "server-a", queued: 4 }, { serverId: "server-b" }],
            leaving: [{ hostId: "host-a", draining: true }],
            problems: [
                "Model m: 2 replicas in memory, 1 decided.",
                "Model m: 0 of 1 decided replicas have a grant.",
                "Host host-b: Engine is slow.",
                "Host host-c (backend): connection refused.",
            ],
        });
    });
});

// Guards against a drain without a record or audit entry, and against a record without a drain.
describe("drains", () => {
    it("are recorded, audited and sent to the agent", async () => {
        const harness = new OperatorHarness();
        const operator = await harness.addRouter();
        const drained = await operator.call("PUT", "/operator/drains/host-a");
        expect(drained).toMatchObject({
            status: 200,
            body: { outcome: "accepted", agent: "informed", inProgressCount: 3 },
        });
        expect(operator.records.get(KEYS.drain("host-a"))?.value).toMatchObject({ requestedBy: "parts" });
        await operator.call("PUT", "/operator/drains/host-a");
        await operator.call("DELETE", "/operator/drains/host-a", { team: "workshops" });
        expect(operator.records.get(KEYS.drain("host-a"))).toMatchObject({ version: 2, value: undefined });
        expect(harness.peers.drains).toEqual(["host-a true", "host-a true", "host-a false"]);
        const { body } = await operator.call("GET", "/operator/audit?section=drains:*");
        expect(body["entries"]).toMatchObject([
            { who: "workshops", section: "drains:host-a", versionAfter: 2, changes: ["draining: true -> false"] },
            { who: "parts", section: "drains:host-a", versionAfter: 1, changes: ["draining: false -> true"] },
        ]);
    });

    it.each([
        { name: "the agent is unreachable", down: false, status: 202, drained: true },
        { name: "the key-value service is down", down: true, status: 503, drained: false },
    ])("respond with status $status when $name", async ({ down, status, drained }) => {
        const harness = new OperatorHarness();
        const operator = await harness.addRouter();
        harness.peers.unreachable.add("host-a");
        harness.store.isDown = down;
        expect((await operator.call("PUT", "/operator/drains/host-a")).status).toBe(status);
        expect(operator.records.get(KEYS.drain("host-a")) !== undefined).toBe(drained);
        expect(harness.peers.drains).toEqual([]);
    });
});
