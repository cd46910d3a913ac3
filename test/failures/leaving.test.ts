import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { type CallResult, type Cluster, startCluster } from "../support/cluster.ts";
import { eventually } from "../support/eventually.ts";
import { eventsOf, findViolations } from "./support/engine-history.ts";
import {
    catchConnectionError,
    createSections,
    restart,
    waitForEvent,
    waitForGrantHolders,
    waitUntilServed,
} from "./support/fixture.ts";

/** Time after a server begins to leave from which no new execution may start there. */
const NEW_EXECUTION_LIMIT_MS = 3_000;
const SLOT_COUNT = 4;
const ENGINES = ["engine-1", "engine-2"];

let cluster: Cluster;

const requestDrain = (method: "PUT" | "DELETE", agent: string) =>
    cluster.operator(method, `drains/${cluster.hostId(agent)}`);

interface Case {
    readonly name: string;
    readonly model: string;
    readonly startLeaving: (agent: string) => Promise<unknown>;
    readonly returnToService: (agent: string) => Promise<unknown>;
}

const CASES: readonly Case[] = [
    {
        name: "the host list marks the host as leaving",
        model: "listed",
        startLeaving: agent => cluster.setHostState(agent, "leaving"),
        returnToService: agent => cluster.setHostState(agent, "live"),
    },
    {
        name: "the agent gets SIGTERM",
        model: "terminated",
        startLeaving: agent => Promise.resolve(cluster.process(agent).signal("SIGTERM")),
        returnToService: async agent => {
            const spawned = cluster.process(agent);
            await eventually("the agent's exit", () => spawned.isRunning ? undefined : true, 20_000);
            expect(spawned.exitCode).toBe(0);
            await restart(cluster, agent);
        },
    },
    {
        name: "an operator drains the host",
        model: "drained",
        startLeaving: agent => requestDrain("PUT", agent),
        returnToService: agent => requestDrain("DELETE", agent),
    },
    {
        name: "an operator drains the host and the host list lags 10 s",
        model: "lagging",
        startLeaving: async agent => {
            await cluster.control("hosts", "lag", { lagMs: 10_000 });
            await cluster.setHostState(agent, "leaving");
            return requestDrain("PUT", agent);
        },
        returnToService: async agent => {
            // Otherwise the delayed change would overwrite the one that follows.
            await eventually(
                "the delayed change of the host list",
                async () => eventsOf(await cluster.journal("hosts"), "hosts_visible").length > 0 ? true : undefined,
            );
            await cluster.control("hosts", "lag", { lagMs: 0 });
            await cluster.setHostState(agent, "live");
            return requestDrain("DELETE", agent);
        },
    },
    {
        name: "an operator drains the host through a router that can't reach the agent",
        model: "unreached",
        startLeaving: async agent => {
            await cluster.setLinkFaults({ from: "router-1", to: agent }, { mode: "refuse" });
            return requestDrain("PUT", agent);
        },
        returnToService: async agent => {
            await cluster.setLinkFaults({ from: "router-1", to: agent }, { mode: "pass" });
            return requestDrain("DELETE", agent);
        },
    },
];

/** Sends long streamed requests through both routers until one engine has filled its slots; returns that engine. */
async function fillEngine(
    model: string,
): Promise<{ readonly engine: string; readonly pendingResponses: Promise<CallResult>[]; }> {
    const pendingResponses = Array.from({ length: 16 }, (_, index) =>
        catchConnectionError(cluster.sendChat({
            router: index % 2 === 0 ? "router-1" : "router-2",
            model,
            message: `request ${index}`,
            maxTokens: 300,
            stream: true,
        })));
    const engine = await eventually("a full engine", async () => {
        const started = eventsOf(await cluster.journal(...ENGINES), "execution_started", { modelId: model });
        return ENGINES.find(name => started.filter(({ source }) => source === name).length >= SLOT_COUNT);
    });
    return { engine, pendingResponses };
}

/**
 * Sends short requests through each router, one after the other, to detect work that is sent after
 * `NEW_EXECUTION_LIMIT_MS`.
 */
async function sendShortRequests(model: string, untilMs: number): Promise<CallResult[]> {
    const responses: CallResult[] = [];
    const sendInSequence = async (router: string): Promise<void> => {
        while (Date.now() < untilMs) {
            responses.push(await catchConnectionError(cluster.sendChat({ router, model, maxTokens: 2 })));
        }
    };
    await Promise.all(["router-1", "router-2"].map(sendInSequence));
    return responses;
}

/** Drains the other host and expects that the host which returned then gets the work. */
async function expectNewWorkAt(model: string, engine: string): Promise<void> {
    const agent = engine.replace("engine", "agent");
    const otherAgent = agent === "agent-1" ? "agent-2" : "agent-1";
    await cluster.waitUntilReady(agent);
    await waitForGrantHolders(cluster, model, ENGINES);
    const returnedAtMs = Date.now();
    await requestDrain("PUT", otherAgent);
    await waitUntilServed(cluster, model, "router-2");
    await waitForEvent(cluster, engine, "execution_started", model, returnedAtMs);
    await requestDrain("DELETE", otherAgent);
    await cluster.waitUntilReady(otherAgent);
    await Promise.all(CASES.map(({ model: name }) => waitForGrantHolders(cluster, name, ENGINES)));
}

describe("a leaving backend server", () => {
    beforeAll(async () => {
        const models = Object.fromEntries(CASES.map(({ model }) => [model, { maxReplicas: 2 }]));
        cluster = await startCluster({
            sections: createSections(models),
            links: ["agent-1", "agent-2"].map(to => ({ from: "router-1", to })),
            engineFlags: [`--slot-count=${SLOT_COUNT}`, "--load-remote-ms=100", "--memory-size-bytes=60000000000"],
        });
        await cluster.waitForGrants(Object.keys(models));
    }, 60_000);
    afterAll(() => cluster.close());

    // Guards against requests that are sent to a leaving server, and against running requests that are lost with it.
    it.each(CASES)(
        "gets no new work and finishes its running requests once $name",
        async ({ model, startLeaving, returnToService }) => {
            await cluster.waitForGrants([model]);
            const { engine, pendingResponses } = await fillEngine(model);
            const agent = engine.replace("engine", "agent");
            const otherEngine = ENGINES.find(name => name !== engine)!;
            const leavingAtMs = Date.now();
            const leaving = startLeaving(agent);
            const laterResponses = await sendShortRequests(model, leavingAtMs + NEW_EXECUTION_LIMIT_MS + 1_000);
            const responses = await Promise.all(pendingResponses);
            await leaving;
            const events = await cluster.journal(...ENGINES);
            const limitAtMs = leavingAtMs + NEW_EXECUTION_LIMIT_MS;
            expect(eventsOf(events, "execution_started", { source: engine, afterMs: limitAtMs })).toEqual([]);
            expect(eventsOf(events, "execution_started", { source: otherEngine, modelId: model })).not.toEqual([]);
            expect(responses.map(({ status, text }) => [status, text.includes("[DONE]")])).toEqual(
                responses.map(() => [200, true]),
            );
            expect(laterResponses.filter(({ status }) => status !== 200)).toEqual([]);
            const finished = eventsOf(events, "execution_finished", { source: engine });
            expect(finished.filter(({ outcome }) => outcome !== "complete")).toEqual([]);
            await returnToService(agent);
            await expectNewWorkAt(model, engine);
            const replicas = Object.fromEntries(CASES.map(({ model: name }) => [name, 2]));
            expect(findViolations(await cluster.journal(...ENGINES), { replicas })).toEqual([]);
        },
        60_000,
    );
});
