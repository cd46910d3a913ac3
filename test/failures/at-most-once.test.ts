import { afterAll, beforeAll, beforeEach, describe, expect, it } from "vitest";
import { type CallResult, type Cluster, startCluster } from "../support/cluster.ts";
import { eventually } from "../support/eventually.ts";

const sections = {
    ledger: {
        team: "ledger",
        services: {
            "parts-ledger": { kind: "plain", timeoutMs: 4000, nonIdempotent: [{ method: "POST", path: "/orders" }] },
        },
    },
};

const LEDGERS = ["ledger-1", "ledger-2"];
const AGENTS = ["agent-1", "agent-2"];
const ROUTERS = ["router-1", "router-2"];
const agentLinks = AGENTS.map(to => ({ from: "router-1", to }));
const storeLink = { from: "router-1", to: "kv" };

let cluster: Cluster;
let orderCount = 0;

beforeAll(async () => {
    cluster = await startCluster({
        sections,
        routerCount: 2,
        engineCount: 0,
        ledgerCount: 2,
        links: [...agentLinks, storeLink],
    });
}, 60_000);

afterAll(() => cluster.close());

async function setLedgerFaults(faults: object): Promise<void> {
    await Promise.all(LEDGERS.map(name => cluster.control(name, "faults", faults)));
}

async function restoreCluster(): Promise<void> {
    await cluster.control("kv", "faults", { outage: "none", delayMs: 0, loseAnswers: 0, lateWrites: 0 });
    await setLedgerFaults({ delayMs: 0, loseAnswers: 0, hangAnswers: 0, fail: 0 });
    await Promise.all(
        [...agentLinks, storeLink].map(link =>
            cluster.setLinkFaults(link, { mode: "pass", resetAfterBytes: 0, delayMs: 0, direction: "both" })
        ),
    );
    for (const name of [...AGENTS, ...ROUTERS]) {
        cluster.process(name).signal("SIGCONT");
        if (!cluster.process(name).isRunning) cluster.process(name).start();
    }
    await Promise.all([...AGENTS, ...ROUTERS].map(name => cluster.waitUntilReady(name)));
}

/** Sends one attempt; a broken connection, such as one to a killed router, gives status 0. */
async function sendOrder(key: string | undefined, router: string, part: string, timeoutMs = 1500): Promise<CallResult> {
    try {
        const headers: Record<string, string> = { "x-request-timeout-ms": String(timeoutMs) };
        if (key !== undefined) headers["idempotency-key"] = key;
        return await cluster.call(router, "/services/parts-ledger/orders", {
            method: "POST",
            headers,
            body: { part },
        });
    }
    catch {
        return { status: 0, headers: {}, text: "" };
    }
}

async function countExecutions(key: string): Promise<number> {
    const events = await cluster.journal(...LEDGERS);
    return events.filter(event => event.kind === "execution_started" && event["idempotencyKey"] === key).length;
}

async function waitForExecution(key: string): Promise<void> {
    await eventually(`an execution with key ${key}`, async () => (await countExecutions(key)) > 0 || undefined);
}

async function agentOfExecution(key: string): Promise<string> {
    const events = await cluster.journal(...LEDGERS);
    const started = events.find(event => event.kind === "execution_started" && event["idempotencyKey"] === key);
    return AGENTS[LEDGERS.indexOf(String(started?.["source"] ?? started?.["name"]))] ?? AGENTS[0]!;
}

/** Injects a fault before or during the first attempt and resolves with the response to that attempt. */
type FaultScenario = (key: string, first: () => Promise<CallResult>) => Promise<CallResult>;

const delayLedgers = async (): Promise<void> => setLedgerFaults({ delayMs: 400 });

async function actDuringExecution(
    key: string,
    first: () => Promise<CallResult>,
    act: () => unknown,
): Promise<CallResult> {
    await delayLedgers();
    const response = first();
    await waitForExecution(key);
    await act();
    return response;
}

const FAULT_SCENARIOS: Record<string, FaultScenario> = {
    "no fault": (_key, first) => first(),
    "the ledger's response is lost": async (_key, first) => {
        await setLedgerFaults({ loseAnswers: 1 });
        return first();
    },
    "the ledger never responds": async (_key, first) => {
        await setLedgerFaults({ hangAnswers: 1 });
        return first();
    },
    "the agent is killed while the order runs": (key, first) =>
        actDuringExecution(key, first, async () => cluster.process(await agentOfExecution(key)).end("SIGKILL")),
    "the agent is suspended while the order runs": (key, first) =>
        actDuringExecution(key, first, async () => cluster.process(await agentOfExecution(key)).signal("SIGSTOP")),
    "the router is killed while the order runs": (key, first) =>
        actDuringExecution(key, first, () => cluster.process("router-1").end("SIGKILL")),
    "the router is suspended while the order runs": async (key, first) => {
        void actDuringExecution(key, first, () => cluster.process("router-1").signal("SIGSTOP"));
        await waitForExecution(key);
        return { status: 0, headers: {}, text: "" };
    },
    "the connections from router to agent are cut while the order runs": (key, first) =>
        actDuringExecution(
            key,
            first,
            () => Promise.all(agentLinks.map(link => cluster.setLinkFaults(link, { mode: "cut" }))),
        ),
    "the connections from router to agent are reset after some bytes": async (_key, first) => {
        await Promise.all(agentLinks.map(link => cluster.setLinkFaults(link, { mode: "pass", resetAfterBytes: 900 })));
        return first();
    },
    "the response to the claim's write is lost": async (_key, first) => {
        await cluster.control("kv", "faults", { loseAnswers: 1 });
        return first();
    },
    "two responses to the claim's writes are lost": async (_key, first) => {
        await cluster.control("kv", "faults", { loseAnswers: 2 });
        return first();
    },
    "the claim's write takes effect late": async (_key, first) => {
        await cluster.control("kv", "faults", { lateWrites: 1, lateWriteMs: 700 });
        return first();
    },
    "the key-value service is down": async (_key, first) => {
        await cluster.control("kv", "faults", { outage: "refuse" });
        return first();
    },
    "the key-value service hangs": async (_key, first) => {
        await cluster.control("kv", "faults", { outage: "hang" });
        return first();
    },
    "the key-value service hangs while the order runs": (key, first) =>
        actDuringExecution(key, first, () => cluster.control("kv", "faults", { outage: "hang" })),
    "the key-value service goes down and the router is killed while the order runs": (key, first) =>
        actDuringExecution(key, first, async () => {
            await cluster.control("kv", "faults", { outage: "refuse" });
            await cluster.process("router-1").end("SIGKILL");
        }),
    "the response to the claim's write is lost and the agent is killed": async (key, first) => {
        await cluster.control("kv", "faults", { loseAnswers: 1 });
        return actDuringExecution(key, first, async () => cluster.process(await agentOfExecution(key)).end("SIGKILL"));
    },
};

const scenarioNames = Object.keys(FAULT_SCENARIOS).map(name => ({ name }));

describe("a keyed order that the caller repeats through both routers", () => {
    beforeEach(restoreCluster, 40_000);

    // Guards against an order that runs twice because its caller repeats it, and against contradictory responses.
    it.each(scenarioNames)("runs at most once when $name", async ({ name }) => {
        orderCount += 1;
        const key = `key-${orderCount}`;
        const part = `part-${orderCount}`;
        const responses = [await FAULT_SCENARIOS[name]!(key, () => sendOrder(key, "router-1", part))];
        responses.push(await sendOrder(key, "router-2", part));
        await restoreCluster();
        for (const router of ["router-1", "router-2", "router-1"]) responses.push(await sendOrder(key, router, part));

        const executionCount = await countExecutions(key);
        expect(executionCount, describeResponses(responses)).toBeLessThanOrEqual(1);
        const successes = responses.filter(response => response.status === 201);
        expect(new Set(successes.map(response => response.text)).size).toBeLessThanOrEqual(1);
        if (successes.length > 0) expect(executionCount, describeResponses(responses)).toBe(1);
        const notRun = responses.filter(response => response.text.includes('"execution":"not_run"'));
        if (executionCount === 1) expect(notRun.map(response => response.text)).toEqual([]);
    }, 60_000);

    it("runs at most once when ten repeats arrive at the same time", async () => {
        const key = "key-concurrent";
        await delayLedgers();
        const attempts = Array.from({ length: 10 }, (_, index) => sendOrder(key, ROUTERS[index % 2]!, "part-c"));
        const responses = await Promise.all(attempts);
        expect(await countExecutions(key)).toBe(1);
        expect(responses.every(response => response.status === 201 || response.status === 409)).toBe(true);
    });

    // Guards against callers that wait for the whole outage although their order can't be claimed.
    it("is refused within 1.5 s while the key-value service hangs", async () => {
        await cluster.control("kv", "faults", { outage: "hang" });
        const startedAtMs = performance.now();
        const response = await sendOrder("key-outage", "router-1", "part-o", 10_000);
        expect(performance.now() - startedAtMs).toBeLessThan(1500);
        expect(response.status).toBe(503);
        expect(response.text).toContain('"code":"claim_store_unavailable"');
        expect(await countExecutions("key-outage")).toBe(0);
    });

    it("is refused when its key is reused with another body", async () => {
        const first = await sendOrder("key-reused", "router-1", "part-a");
        const second = await sendOrder("key-reused", "router-2", "part-b");
        expect([first.status, second.status]).toEqual([201, 422]);
        expect(await countExecutions("key-reused")).toBe(1);
    });
});

describe("an order without a key", () => {
    beforeEach(restoreCluster, 40_000);

    async function countFinishedExecutions(part: string): Promise<number> {
        const events = await cluster.journal(...LEDGERS);
        const ran = events.filter(event => event.kind === "execution_finished");
        return ran.filter(event => JSON.stringify(event).includes(`"${part}"`)).length;
    }

    const cases = [
        { name: "the ledger's response is lost", faults: { loseAnswers: 1 }, cutsLinks: false },
        { name: "the ledger never responds", faults: { hangAnswers: 1 }, cutsLinks: false },
        { name: "the connections from router to agent are cut", faults: { delayMs: 300 }, cutsLinks: true },
    ];
    // Guards against a router that retries a non-idempotent request whose outcome is unknown.
    it.each(cases)("is sent once when $name, and its outcome is unknown", async ({ name, faults, cutsLinks }) => {
        const part = `unkeyed-${name.replaceAll(" ", "-")}`;
        await setLedgerFaults(faults);
        const pending = sendOrder(undefined, "router-1", part);
        if (cutsLinks) {
            await eventually("the order's start", async () => {
                const events = await cluster.journal(...LEDGERS);
                const runningCount = events.filter(event => event.kind === "execution_started").length
                    - events.filter(event => event.kind === "execution_finished").length;
                return runningCount > 0 || undefined;
            });
            await Promise.all(agentLinks.map(link => cluster.setLinkFaults(link, { mode: "cut" })));
        }
        const response = await pending;
        expect(response.text).toContain('"execution":"unknown"');
        expect(await eventually("the order's end", async () => (await countFinishedExecutions(part)) || undefined))
            .toBe(1);
    });
});

function describeResponses(responses: readonly CallResult[]): string {
    return responses.map(response => `${response.status} ${response.text.slice(0, 160)}`).join("\n");
}
