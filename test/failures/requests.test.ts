import { setTimeout as sleep } from "node:timers/promises";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import type { Link } from "../support/cluster-layout.ts";
import { call, type Cluster, startCluster } from "../support/cluster.ts";
import { eventually } from "../support/eventually.ts";
import { Callers, type SentRequest } from "./support-requests/callers.ts";
import { crashedProcesses } from "./support-requests/crashed-processes.ts";
import { ENGINE_FLAGS, sectionsOf } from "./support-requests/sections.ts";

const routers = ["router-1", "router-2"];
const agents = ["agent-1", "agent-2", "agent-3"];
const servers = ["engine-1", "engine-2", "ledger-1"];
const agentLinks: readonly Link[] = routers.flatMap(from => agents.map(to => ({ from, to })));
const storeLinks: readonly Link[] = [...routers, ...agents].map(from => ({ from, to: "kv" }));
const REQUEST_COUNT = 36;

let cluster: Cluster;
const callers = new Callers();
let requestCount = 0;

type FaultInjection = () => unknown;
const setProxyFaults =
    (links: readonly Link[], faults: Parameters<Cluster["setLinkFaults"]>[1]): FaultInjection => () =>
        Promise.all(links.map(link => cluster.setLinkFaults(link, faults)));
const sendSignal = (names: readonly string[], signal: NodeJS.Signals): FaultInjection => () => {
    for (const name of names) cluster.process(name).signal(signal);
};
const killProcesses = (names: readonly string[]): FaultInjection => () =>
    Promise.all(names.map(name => cluster.process(name).end()));
const setEngineFaults = (faults: object): FaultInjection => () =>
    Promise.all(["engine-1", "engine-2"].map(name => cluster.control(name, "faults", faults)));
const injectAll = (...injects: readonly FaultInjection[]): FaultInjection => () =>
    Promise.all(injects.map(inject => inject()));

/** Unloads the model directly at the engine, without the agent, as a restart of the engine does. */
const unloadBehindAgent = (engine: string): Promise<unknown> =>
    call(`${cluster.url(engine)}/v2/repository/models/diagnosis/unload`, { method: "POST", body: {} });

interface Case {
    readonly name: string;
    readonly inject: FaultInjection;
    /** Second model that is requested; its load takes place under the fault. */
    readonly coldModel?: string;
}

const cases: readonly Case[] = [
    { name: "one agent killed", inject: killProcesses(["agent-1"]) },
    { name: "all agents killed", inject: killProcesses(agents) },
    { name: "one agent frozen", inject: sendSignal(["agent-1"], "SIGSTOP") },
    { name: "all agents frozen", inject: sendSignal(agents, "SIGSTOP") },
    { name: "all agents cut off from the routers", inject: setProxyFaults(agentLinks, { mode: "cut" }) },
    { name: "agents' connections hung", inject: setProxyFaults(agentLinks, { mode: "hang" }) },
    { name: "agents' connections delayed", inject: setProxyFaults(agentLinks, { delayMs: 250 }) },
    { name: "engines killed", inject: killProcesses(["engine-1", "engine-2"]) },
    {
        name: "engines without their models",
        inject: () => Promise.all(["engine-1", "engine-2"].map(unloadBehindAgent)),
    },
    { name: "engines and ledger frozen", inject: sendSignal(servers, "SIGSTOP") },
    { name: "loads without a response", inject: setEngineFaults({ hungLoads: 100 }), coldModel: "cold-a" },
    { name: "weight store ten times slower", inject: setEngineFaults({ loadSlowFactor: 10 }), coldModel: "cold-b" },
    { name: "loads failing", inject: setEngineFaults({ failLoads: 100 }), coldModel: "cold-c" },
    { name: "key-value service refusing", inject: () => cluster.control("kv", "faults", { outage: "refuse" }) },
    { name: "key-value service hung", inject: () => cluster.control("kv", "faults", { outage: "hang" }) },
    {
        name: "one agent killed and the host list hung",
        inject: injectAll(killProcesses(["agent-1"]), () => cluster.control("hosts", "outage", { mode: "hang" })),
    },
    {
        name: "one agent frozen and the key-value service hung",
        inject: injectAll(sendSignal(["agent-2"], "SIGSTOP"), setProxyFaults(storeLinks, { mode: "hang" })),
    },
    {
        name: "one engine killed and the other ten times slower",
        inject: injectAll(killProcesses(["engine-1"]), () => cluster.control("engine-2", "faults", { slowFactor: 10 })),
    },
];

beforeAll(async () => {
    const cold = Object.fromEntries(["cold-a", "cold-b", "cold-c"].map(id => [id, { memoryBytes: 500_000_000 }]));
    cluster = await startCluster({
        sections: sectionsOf({ diagnosis: { maxReplicas: 2 }, ...cold }),
        engineCount: 2,
        ledgerCount: 1,
        links: [...agentLinks, ...storeLinks],
        engineFlags: ENGINE_FLAGS,
    });
    await cluster.waitForGrants(["diagnosis", ...Object.keys(cold)]);
    await waitUntilHealthy();
}, 60_000);

afterAll(async () => {
    await callers.close();
    await cluster.close();
});

/** Sends one request; kinds and deadlines alternate, and some callers disconnect early. */
function sendRequest(router: string, coldModel: string | undefined, timeoutMs?: number): Promise<SentRequest> {
    const index = requestCount++;
    const requestId = `request-${index}`;
    const kind = (["unstreamed", "stream", "cold", "stock", "order", "keyed-order"] as const)[index % 6]!;
    const url = (path: string): string => `${cluster.url(router)}${path}`;
    const common = {
        requestId,
        timeoutMs: timeoutMs ?? [250, 500, 800, 1200][index % 4]!,
        disconnectAfterMs: index % 11 === 0 && timeoutMs === undefined ? 120 : undefined,
    };
    if (kind === "stock") {
        return callers.send({ ...common, method: "GET", url: url("/services/parts-ledger/stock/hub") });
    }
    if (kind === "order" || kind === "keyed-order") {
        const headers: Record<string, string> = kind === "keyed-order" ? { "idempotency-key": requestId } : {};
        return callers.send({
            ...common,
            url: url("/services/parts-ledger/orders"),
            body: { note: requestId },
            headers,
        });
    }
    const model = kind === "cold" ? coldModel ?? "diagnosis" : "diagnosis";
    const messages = [{ role: "user", content: requestId }];
    const body = { model, stream: kind === "stream", max_tokens: 16, messages };
    return callers.send({ ...common, url: url("/v1/chat/completions"), body });
}

/** Resolves once each router answers a request of each kind. */
async function waitUntilHealthy(): Promise<void> {
    await Promise.all(routers.map(router =>
        eventually(`responses of ${router}`, async () => {
            const sent = await Promise.all(Array.from({ length: 6 }, () => sendRequest(router, undefined, 5000)));
            const unanswered = sent.find(({ outcome }) => outcome.kind !== "response");
            if (unanswered !== undefined) throw new Error(JSON.stringify(unanswered));
            return true;
        }, 20_000)
    ));
    callers.reset();
}

async function restoreCluster(): Promise<void> {
    const noLinkFaults = { mode: "pass", direction: "both", delayMs: 0, resetAfterBytes: 0 } as const;
    await setProxyFaults([...agentLinks, ...storeLinks], noLinkFaults)();
    for (const name of [...servers, ...agents, ...routers]) {
        const member = cluster.process(name);
        member.signal("SIGCONT");
        if (!member.isRunning) member.start();
    }
    await cluster.control("kv", "faults", { outage: "none" });
    await cluster.control("hosts", "outage", { mode: "none" });
    const normal = { hungLoads: 0, failLoads: 0, loadSlowFactor: 1, slowFactor: 1 };
    await eventually(
        "a response of the engines to the fault settings",
        setEngineFaults(normal) as () => Promise<unknown>,
    );
    await waitUntilHealthy();
}

/** Sends requests at a steady rate and injects the fault after the first quarter of them. */
async function sendDuringFault(inject: FaultInjection, coldModel: string | undefined): Promise<readonly SentRequest[]> {
    const sending: Promise<SentRequest>[] = [];
    let injected: unknown;
    for (let count = 0; count < REQUEST_COUNT; count++) {
        if (count === REQUEST_COUNT / 4) injected = inject();
        sending.push(sendRequest(routers[count % 2]!, coldModel));
        await sleep(10);
    }
    await injected;
    return Promise.all(sending);
}

// Guards against a request that hangs beyond its deadline, or that ends without a response or a refusal.
describe("every request is answered or refused in time", () => {
    it.each(cases)("$name", async ({ inject, coldModel }) => {
        callers.reset();
        const sent = await sendDuringFault(inject, coldModel);
        const [late, lost] = [callers.describeLateRequests(), callers.describeLostRequests()];
        expect(crashedProcesses(cluster)).toEqual([]);
        await restoreCluster();
        expect(sent).toHaveLength(REQUEST_COUNT);
        expect(late).toEqual([]);
        expect(lost).toEqual([]);
    }, 60_000);

    // Guards against requests that hang when their router is killed, or that fail again at another router.
    it("requests that break when their router is killed are answered when repeated at another router", async () => {
        callers.reset();
        const sending = Array.from({ length: 12 }, () => sendRequest("router-1", undefined, 1200));
        await eventually("the end of a first request", () => callers.sent.length > 0 ? true : undefined);
        await cluster.process("router-1").end();
        const firstAttempts = [...await Promise.all(sending), await sendRequest("router-1", undefined, 1200)];
        const broken = firstAttempts.filter(({ outcome }) => outcome.kind === "broken");
        expect(broken.length).toBeGreaterThan(0);
        const repeatedAttempts = await Promise.all(broken.map(() => sendRequest("router-2", undefined, 1200)));
        const [late, answered] = [
            callers.describeLateRequests(),
            repeatedAttempts.filter(({ outcome }) => outcome.kind === "response"),
        ];
        await restoreCluster();
        expect(late).toEqual([]);
        expect(answered).toHaveLength(repeatedAttempts.length);
    }, 60_000);
});
