import type { JournalEvent } from "@skylarkmill/stand-ins";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { type CallResult, type Cluster, startCluster } from "../support/cluster.ts";
import { eventually } from "../support/eventually.ts";
import { enginesWithModel, eventsOf, findViolations, type JournalLimits } from "./support/engine-history.ts";
import {
    catchConnectionError,
    createSections,
    editModel,
    findPlacement,
    grantHolders,
    restart,
    waitForEvent,
    waitForGrantHolders,
    waitUntilServed,
} from "./support/fixture.ts";

const ENGINES = ["engine-1", "engine-2"];
const ROUTERS = ["router-1", "router-2", "router-3"];
const routerLinks = ["agent-1", "agent-2"].map(to => ({ from: "router-1", to }));
const agentLinks = ["agent-1", "agent-2"].flatMap(from => [
    { from, to: from.replace("agent", "engine") },
    { from, to: "kv" },
]);

let cluster: Cluster;
const replicaLimits: Record<string, JournalLimits["replicas"][string]> = {};

function startClusterWith(models: Parameters<typeof createSections>[0], checksFencing: boolean): () => Promise<void> {
    return async () => {
        for (const [name, model] of Object.entries(models)) replicaLimits[name] = model.maxReplicas ?? 1;
        cluster = await startCluster({
            sections: createSections(models, checksFencing),
            routerCount: 3,
            links: [...agentLinks, ...routerLinks],
            engineFlags: ["--memory-size-bytes=60000000000", "--load-remote-ms=300", "--slot-count=8"]
                .concat(checksFencing ? ["--checks-fencing"] : []),
        });
        await cluster.waitForGrants(Object.keys(models));
    };
}

const readJournal = (): Promise<readonly JournalEvent[]> => cluster.journal(...ENGINES);

async function expectNoViolations(): Promise<readonly JournalEvent[]> {
    const events = await readJournal();
    expect(findViolations(events, { replicas: replicaLimits })).toEqual([]);
    return events;
}

const requestDrain = (method: "PUT" | "DELETE", agent: string) =>
    cluster.operator(method, `drains/${cluster.hostId(agent)}`, { router: "router-2" });

/** Suspends the agent and the holder of the placement duty until another process holds the duty's lease. */
async function suspendBeyondLease(agent: string): Promise<() => void> {
    const holder = await eventually("a holder of the duty", () => cluster.readKey("/skylarkmill/duties/placement"));
    const router = ROUTERS.find(name => holder.includes(name)) ?? "router-1";
    const suspended = [cluster.process(agent), cluster.process(router)];
    for (const spawned of suspended) spawned.signal("SIGSTOP");
    await eventually("another holder of the duty", async () => {
        const next = await cluster.readKey("/skylarkmill/duties/placement");
        return next !== undefined && next !== holder ? true : undefined;
    }, 30_000);
    return () => suspended.forEach(spawned => spawned.signal("SIGCONT"));
}

const AGENT_FAULTS = {
    "the agent is killed": {
        begin: (agent: string) => cluster.process(agent).end(),
        end: (agent: string) => restart(cluster, agent),
    },
    "the agent is cut off from its engine": {
        begin: (agent: string) =>
            cluster.setLinkFaults({ from: agent, to: agent.replace("agent", "engine") }, { mode: "cut" }),
        end: (agent: string) =>
            cluster.setLinkFaults({ from: agent, to: agent.replace("agent", "engine") }, { mode: "pass" }),
    },
    "the agent is cut off from the key-value service": {
        begin: (agent: string) => cluster.setLinkFaults({ from: agent, to: "kv" }, { mode: "cut" }),
        end: (agent: string) => cluster.setLinkFaults({ from: agent, to: "kv" }, { mode: "pass" }),
    },
    "the agent is killed while the key-value service is down": {
        begin: async (agent: string) => {
            await cluster.control("kv", "faults", { outage: "refuse" });
            await restart(cluster, agent);
        },
        end: () => cluster.control("kv", "faults", { outage: "none" }),
    },
};

type AgentFault = keyof typeof AGENT_FAULTS;
const ALL_FAULTS = Object.keys(AGENT_FAULTS) as AgentFault[];

/** Guards against a load of a second replica while the first load is in progress or its outcome is unknown. */
async function checkFaultDuringLoad(model: string, fault: AgentFault): Promise<void> {
    const { engine, agent } = await findPlacement(cluster, model);
    await cluster.control(engine, "faults", { loadSlowFactor: 5 });
    const first = catchConnectionError(cluster.sendChat({ model }));
    await waitForEvent(cluster, engine, "load_started", model);
    await AGENT_FAULTS[fault].begin(agent);
    const others = ROUTERS.map(router => catchConnectionError(cluster.sendChat({ router, model })));
    await waitForEvent(cluster, engine, "load_finished", model);
    await AGENT_FAULTS[fault].end(agent);
    await cluster.waitUntilReady(agent);
    await waitUntilServed(cluster, model, "router-3");
    await Promise.all([first, ...others]);
    await cluster.control(engine, "faults", { loadSlowFactor: 1 });
    const events = await expectNoViolations();
    expect(eventsOf(events, "load_started", { modelId: model })).toHaveLength(1);
}

/** Guards against a load at the new engine while the old engine still has the model in memory. */
async function checkMove(model: string, fault: (agent: string) => Promise<() => unknown>): Promise<void> {
    const { engine, agent, otherEngine } = await findPlacement(cluster, model);
    await waitUntilServed(cluster, model);
    const endFault = await fault(agent);
    expect([200, 202]).toContain((await requestDrain("PUT", agent)).status);
    await eventually("the revocation", async () => {
        const text = await cluster.readKey(`/skylarkmill/grants/${model}`);
        return text?.includes(`"serverId":"${engine}"`) === true && !text.includes('"revoking":true')
            ? undefined
            : true;
    }, 25_000);
    const pendingResponses = ROUTERS.map(router => catchConnectionError(cluster.sendChat({ router, model })));
    await endFault();
    await waitForGrantHolders(cluster, model, [otherEngine]);
    await waitUntilServed(cluster, model, "router-2");
    await Promise.all(pendingResponses);
    await requestDrain("DELETE", agent);
    await cluster.waitUntilReady(agent);
    expect(enginesWithModel(await expectNoViolations(), model)).toEqual([otherEngine]);
}

/** Runs long requests at both engines: cuts a router off from the first grant holder, so that it uses the second. */
async function occupyBothEngines(model: string): Promise<Promise<CallResult>[]> {
    // An earlier drain removes one grant, and the next round of the placement duty restores it.
    await waitForGrantHolders(cluster, model, ENGINES);
    const [first = ""] = await grantHolders(cluster, model);
    const link = { from: "router-1", to: first.replace("engine", "agent") };
    await cluster.setLinkFaults(link, { mode: "refuse" });
    const pendingResponses = ["router-1", "router-2"].flatMap(router =>
        [0, 1, 2].map(() => cluster.sendChat({ router, model, maxTokens: 400, stream: true }))
    );
    await Promise.all(ENGINES.map(engine => waitForEvent(cluster, engine, "execution_started", model)));
    await cluster.setLinkFaults(link, { mode: "pass" });
    return pendingResponses;
}

const modelByLoadFault = Object.fromEntries(ALL_FAULTS.map((fault, index) => [fault, `load-${index}`]));
const modelByMoveFault = Object.fromEntries(ALL_FAULTS.map((fault, index) => [fault, `move-${index}`]));
const modelsWithReplicas = (names: readonly string[], maxReplicas: number) =>
    Object.fromEntries(names.map(name => [name, { maxReplicas }]));

describe("replicas at engines that ignore fencing tokens", () => {
    beforeAll(
        startClusterWith({
            ...modelsWithReplicas([...Object.values(modelByLoadFault), ...Object.values(modelByMoveFault)], 1),
            ...modelsWithReplicas(["burst", "suspended", "in-use", "version", "outage", "restarted", "restored"], 1),
            ...modelsWithReplicas(["lowered", "position"], 2),
        }, false),
        60_000,
    );
    afterAll(() => cluster.close());

    // Guards against a separate load for each router or caller.
    it("loads an idle model once for a hundred callers at three routers", async () => {
        const messages = Array.from({ length: 100 }, (_, index) => `caller ${index} asks`);
        const responses = await Promise.all(
            messages.map((message, index) =>
                cluster.sendChat({ router: ROUTERS[index % 3]!, model: "burst", message, stream: index % 2 === 0 })
            ),
        );
        expect(responses.filter(({ status }) => status !== 200)).toEqual([]);
        const wrong = messages.filter((message, index) => {
            const { text } = responses[index]!;
            return !text.includes(`answers: ${message}`) || !text.includes(" t7");
        });
        expect(wrong).toEqual([]);
        expect(eventsOf(await expectNoViolations(), "load_started", { modelId: "burst" })).toHaveLength(1);
    });

    it.each(ALL_FAULTS)(
        "loads once when %s in the middle of the load",
        fault => checkFaultDuringLoad(modelByLoadFault[fault]!, fault),
    );

    it.each(ALL_FAULTS.slice(0, 3))(
        "moves a grant after the unload when %s",
        fault =>
            checkMove(modelByMoveFault[fault]!, async agent => {
                await AGENT_FAULTS[fault].begin(agent);
                return () => AGENT_FAULTS[fault].end(agent);
            }),
    );

    // Guards against a grant that moves while the old replica is still in use.
    it("moves a grant after the unload while a request runs", () =>
        checkMove("in-use", async agent => {
            const sinceMs = Date.now();
            const running = cluster.sendChat({ model: "in-use", maxTokens: 600, stream: true });
            await waitForEvent(cluster, agent.replace("agent", "engine"), "execution_started", "in-use", sinceMs);
            return async () => expect((await running).text).toContain("[DONE]");
        }));

    // Guards against a grant that moves because a lease expired, or because a resumed duty holder uses an old plan.
    it(
        "moves a grant after the unload when the agent and the duty holder are suspended beyond the lease",
        () => checkMove("suspended", suspendBeyondLease),
        60_000,
    );

    // Guards against two versions in memory at once, and against responses that are lost to the unload.
    it("unloads the old version of a model before it loads the new one while requests run", async () => {
        await waitUntilServed(cluster, "version");
        const messages = Array.from({ length: 8 }, (_, index) => `request ${index}`);
        const running = messages.map((message, index) =>
            cluster.sendChat({ router: ROUTERS[index % 3]!, model: "version", message, maxTokens: 200, stream: true })
        );
        const { engine } = await findPlacement(cluster, "version");
        await waitForEvent(cluster, engine, "execution_started", "version");
        const editedAtMs = await editModel(cluster, "version", { version: "2" });
        await waitForEvent(cluster, engine, "unload_finished", "version", editedAtMs);
        await waitUntilServed(cluster, "version", "router-3");
        const responses = await Promise.all(running);
        expect(responses.map(({ status, text }) => [status, text.includes("[DONE]")])).toEqual(
            messages.map(() => [200, true]),
        );
        const loads = eventsOf(await expectNoViolations(), "load_started", { modelId: "version" });
        expect(loads.map(load => load.version)).toEqual(["1", "2"]);
    });

    // Guards against a cold start that needs the key-value service, and against a load before the grants are read.
    it("loads cold models under existing grants during an outage of the key-value service", async () => {
        await cluster.control("kv", "faults", { outage: "refuse" });
        expect((await cluster.sendChat({ model: "outage", router: "router-2" })).status).toBe(200);
        const { engine, agent } = await cluster.control("kv", "faults", { outage: "none" })
            .then(() => findPlacement(cluster, "restarted"));
        await cluster.control("kv", "faults", { outage: "refuse" });
        await restart(cluster, agent);
        const early = catchConnectionError(
            cluster.sendChat({ model: "restarted", headers: { "x-request-timeout-ms": "2000" } }),
        );
        expect((await early).status).toBeGreaterThanOrEqual(500);
        expect(eventsOf(await readJournal(), "load_started", { modelId: "restarted" })).toEqual([]);
        await cluster.control("kv", "faults", { outage: "none" });
        await waitUntilServed(cluster, "restarted");
        expect(enginesWithModel(await expectNoViolations(), "restarted")).toEqual([engine]);
    });

    // Guards against a second replica from old grants when the key-value service is restored from a snapshot.
    it("keeps one replica when the key-value service is restored and an agent and a router restart", async () => {
        const { agent, otherEngine } = await findPlacement(cluster, "restored");
        await waitUntilServed(cluster, "restored");
        const { snapshotId } = await cluster.control("kv", "snapshot", {}, "POST") as { snapshotId: number; };
        await requestDrain("PUT", agent);
        await waitForGrantHolders(cluster, "restored", [otherEngine]);
        await waitUntilServed(cluster, "restored");
        await requestDrain("DELETE", agent);
        await cluster.control("kv", "restore", { snapshotId }, "POST");
        await Promise.all([restart(cluster, agent), restart(cluster, "router-1")]);
        await waitUntilServed(cluster, "restored", "router-1");
        await waitForGrantHolders(cluster, "restored", [otherEngine]);
        await cluster.waitUntilReady(agent);
        expect(enginesWithModel(await expectNoViolations(), "restored")).toEqual([otherEngine]);
    });

    // Guards against a replica that stays or is loaded again after the number was lowered while both were in use.
    it("reduces the replicas to the lowered number while both are in use", async () => {
        const pendingResponses = await occupyBothEngines("lowered");
        const fromMs = await editModel(cluster, "lowered", { maxReplicas: 1 }, "router-3");
        replicaLimits.lowered = [{ fromMs: 0, replicas: 2 }, { fromMs, replicas: 1 }];
        const responses = await Promise.all(pendingResponses);
        expect(responses.map(({ status, text }) => [status, text.includes("[DONE]")])).toEqual(
            pendingResponses.map(() => [200, true]),
        );
        await eventually(
            "one replica",
            async () => enginesWithModel(await readJournal(), "lowered").length <= 1 ? true : undefined,
            20_000,
        );
        await waitUntilServed(cluster, "lowered");
        expect(enginesWithModel(await expectNoViolations(), "lowered")).toHaveLength(1);
    });
});

describe("replicas at engines that check fencing tokens", () => {
    beforeAll(startClusterWith(modelsWithReplicas(["fenced-load", "fenced-move"], 1), true), 60_000);
    afterAll(() => cluster.close());

    // Guards against an agent whose orders the engine keeps refusing after the agent's restart.
    it("loads once when the agent is killed in the middle of the load", () =>
        checkFaultDuringLoad("fenced-load", "the agent is killed"));

    it("moves a grant after the unload when the agent is killed", () =>
        checkMove("fenced-move", async agent => {
            await AGENT_FAULTS["the agent is killed"].begin(agent);
            return () => AGENT_FAULTS["the agent is killed"].end(agent);
        }));
});
