import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import type { Link } from "../support/cluster-layout.ts";
import { type Cluster, startCluster } from "../support/cluster.ts";
import { eventually } from "../support/eventually.ts";
import { Callers, type SentRequest } from "./support-requests/callers.ts";
import { crashedProcesses } from "./support-requests/crashed-processes.ts";
import { judgeOutcome, type Verdict } from "./support-requests/outcome.ts";
import { ENGINE_FLAGS, sectionsOf } from "./support-requests/sections.ts";

const MODEL = "diagnosis";
const agentLinks: readonly Link[] = [{ from: "router-1", to: "agent-1" }, { from: "router-1", to: "agent-2" }];
const engineLinks: readonly Link[] = [{ from: "agent-1", to: "engine-1" }, { from: "agent-2", to: "engine-2" }];
const engines = ["engine-1", "engine-2"];

let cluster: Cluster;
const callers = new Callers();
let requestCount = 0;

interface JudgedRequest {
    readonly sent: SentRequest;
    readonly verdict: Verdict;
    readonly tokenCount: number;
}

/** Sends a chat request with a unique message, which the engines repeat in their response. */
async function sendChat(stream: boolean, tokenCount = 24, timeoutMs = 5000): Promise<JudgedRequest> {
    const requestId = `chat-${++requestCount}`;
    const message = `message of ${requestId}`;
    const body = { model: MODEL, stream, max_tokens: tokenCount, messages: [{ role: "user", content: message }] };
    const url = `${cluster.url("router-1")}/v1/chat/completions`;
    const sent = await callers.send({ url, requestId, timeoutMs, body });
    const verdict = judgeOutcome(sent.outcome, { model: MODEL, message, tokenCount, stream });
    return { sent, verdict, tokenCount };
}

function sendChats(count: number, tokenCount?: number, timeoutMs?: number): Promise<JudgedRequest[]> {
    return Promise.all(Array.from({ length: count }, (_, index) => sendChat(index % 2 === 0, tokenCount, timeoutMs)));
}

const wrongVerdicts = (requests: readonly JudgedRequest[]): readonly Verdict[] =>
    requests.map(({ verdict }) => verdict).filter(verdict => verdict.startsWith("wrong"));
const countComplete = (requests: readonly JudgedRequest[]): number =>
    requests.filter(({ verdict }) => verdict === "complete").length;

const setEngineFaults = (faults: object): Promise<unknown> =>
    Promise.all(engines.map(name => cluster.control(name, "faults", faults)));

/** Engine of each execution that has started with this token count; tests use the count to identify a request. */
async function executingEngines(tokenCount: number): Promise<string[]> {
    const events = await cluster.journal(...engines.filter(name => cluster.process(name).isRunning));
    return events.filter(event => event.kind === "execution_started" && event.tokenCount === tokenCount)
        .map(event => event.source);
}

async function restoreCluster(): Promise<void> {
    const noLinkFaults = { mode: "pass", direction: "both", delayMs: 0, resetAfterBytes: 0 } as const;
    await Promise.all([...agentLinks, ...engineLinks].map(link => cluster.setLinkFaults(link, noLinkFaults)));
    for (const name of [...engines, "agent-1", "agent-2"]) {
        const member = cluster.process(name);
        member.signal("SIGCONT");
        if (!member.isRunning) member.start();
    }
    await eventually("a response of the engines to the fault settings", () => setEngineFaults(NO_FAULTS));
    await waitForCompleteResponses();
}

/** Resolves once streamed and unstreamed requests get complete responses again. */
async function waitForCompleteResponses(): Promise<void> {
    await eventually(
        "complete responses",
        async () => (countComplete(await sendChats(4, 7)) === 4 ? true : undefined),
        20_000,
    );
}

const FAULTS = ["crossed", "duplicated", "skipped", "truncated", "unfinished", "misaddressed"] as const;
const NO_FAULTS = { ...Object.fromEntries(FAULTS.map(fault => [fault, 0])), delayMs: 0, slowFactor: 1 };

beforeAll(async () => {
    cluster = await startCluster({
        sections: sectionsOf({ [MODEL]: { maxReplicas: 2 } }),
        routerCount: 1,
        engineCount: 2,
        links: [...agentLinks, ...engineLinks],
        engineFlags: ENGINE_FLAGS,
    });
    await cluster.waitForGrants([MODEL]);
    await waitForCompleteResponses();
}, 60_000);

afterEach(async () => {
    expect(crashedProcesses(cluster)).toEqual([]);
    await restoreCluster();
}, 60_000);

afterAll(async () => {
    await callers.close();
    await cluster.close();
});

// Guards against a response that mixes chunks of the slower attempt into the response of its hedge.
describe("an attempt whose response arrives after that of its hedge", () => {
    it("adds nothing to the response that the caller receives", async () => {
        // A unique token count identifies each request in the engines' journals.
        let tokenCount = 30;
        const verdicts: Verdict[] = [];
        const hedgedCount = await eventually("a hedge", async () => {
            const earlierRequests = await sendChats(16, ++tokenCount);
            await sendChat(true, ++tokenCount);
            const [engine] = await executingEngines(tokenCount);
            await cluster.control(engine!, "faults", { delayMs: 800 });
            // The stream lasts longer than the delay, so that the slower attempt responds while it is in progress.
            const requests = await Promise.all([sendChat(true, 300 + ++tokenCount), sendChat(false, ++tokenCount)]);
            await cluster.control(engine!, "faults", { delayMs: 0 });
            verdicts.push(...[...earlierRequests, ...requests].map(({ verdict }) => verdict));
            if (verdicts.some(verdict => verdict !== "complete")) return 0;
            const engineCounts = await Promise.all(
                requests.map(async one => new Set(await executingEngines(one.tokenCount)).size),
            );
            return engineCounts.filter(count => count > 1).length || undefined;
        }, 25_000);
        expect(verdicts.filter(verdict => verdict !== "complete")).toEqual([]);
        expect(hedgedCount).toBeGreaterThan(0);
    }, 40_000);
});

interface FaultCase {
    readonly faults: Partial<Record<(typeof FAULTS)[number], number>>;
    /** The router or agent can correct the fault, so that every response has to be complete. */
    readonly isCorrectable: boolean;
}

const faultCases: readonly FaultCase[] = [
    { faults: { crossed: 6 }, isCorrectable: false },
    { faults: { duplicated: 6 }, isCorrectable: true },
    { faults: { skipped: 6 }, isCorrectable: false },
    { faults: { truncated: 6 }, isCorrectable: false },
    { faults: { unfinished: 6 }, isCorrectable: false },
    { faults: { misaddressed: 4 }, isCorrectable: false },
    { faults: { crossed: 4, duplicated: 4, skipped: 4 }, isCorrectable: false },
    { faults: { skipped: 4, truncated: 4, unfinished: 4, misaddressed: 2 }, isCorrectable: false },
];

// Guards against responses that are passed on with chunks of another request, with gaps or repeats, or truncated.
describe("responses of a faulty engine are corrected or end in an error", () => {
    it.each(faultCases)("$faults", async ({ faults, isCorrectable }) => {
        await setEngineFaults(faults);
        const requests = await sendChats(24);
        const remainingFaults = await Promise.all(engines.map(name => cluster.control(name, "faults", {})));
        expect(wrongVerdicts(requests)).toEqual([]);
        for (const [fault, count] of Object.entries(faults)) {
            const remainingCount = remainingFaults.reduce<number>(
                (sum, one) => sum + (one as Record<string, number>)[fault]!,
                0,
            );
            expect(remainingCount, `${fault} was injected`).toBeLessThan(count * engines.length);
        }
        expect(countComplete(requests)).toBeGreaterThan(0);
        if (isCorrectable) expect(countComplete(requests)).toBe(requests.length);
    });
});

interface InterruptionCase {
    readonly name: string;
    /**
     * Injects the fault at the engine with this index, at its agent or on a connection of one of them, while the engine
     * executes requests.
     */
    readonly inject: (index: number) => unknown;
}

const resetResponses = { resetAfterBytes: 1, direction: "from_target" } as const;

const interruptionCases: readonly InterruptionCase[] = [
    { name: "router-agent cut", inject: index => cluster.setLinkFaults(agentLinks[index]!, { mode: "cut" }) },
    { name: "router-agent hung", inject: index => cluster.setLinkFaults(agentLinks[index]!, { mode: "hang" }) },
    { name: "router-agent reset", inject: index => cluster.setLinkFaults(agentLinks[index]!, resetResponses) },
    { name: "agent-engine cut", inject: index => cluster.setLinkFaults(engineLinks[index]!, { mode: "cut" }) },
    { name: "agent-engine hung", inject: index => cluster.setLinkFaults(engineLinks[index]!, { mode: "hang" }) },
    { name: "agent-engine reset", inject: index => cluster.setLinkFaults(engineLinks[index]!, resetResponses) },
    { name: "agent killed", inject: index => cluster.process(`agent-${index + 1}`).end() },
    { name: "engine killed", inject: index => cluster.process(engines[index]!).end() },
    { name: "agent suspended", inject: index => cluster.process(`agent-${index + 1}`).signal("SIGSTOP") },
    { name: "engine suspended", inject: index => cluster.process(engines[index]!).signal("SIGSTOP") },
    {
        name: "agent cut off and engines skipping chunks",
        inject: index =>
            Promise.all([cluster.setLinkFaults(agentLinks[index]!, { mode: "cut" }), setEngineFaults({ skipped: 4 })]),
    },
];

// Guards against an interrupted stream that ends as if it were complete.
describe("a stream that is interrupted ends with an error", () => {
    it.each(interruptionCases)("$name", async ({ inject, name }) => {
        const tokenCount = 100 + interruptionCases.findIndex(one => one.name === name);
        const pending = sendChats(12, tokenCount, 1200);
        const [engine] = await eventually("the start of an execution", async () => {
            const started = await executingEngines(tokenCount);
            return started.length > 0 ? started : undefined;
        });
        await inject(engines.indexOf(engine!));
        expect(wrongVerdicts(await pending)).toEqual([]);
    }, 30_000);
});

// Guards against a response that is delivered to the caller of another request.
describe("200 concurrent callers", () => {
    it("each get a complete response to their own request", async () => {
        const requests = await sendChats(200, 8, 20_000);
        expect(wrongVerdicts(requests)).toEqual([]);
        expect(countComplete(requests)).toBe(200);
    });

    it("each get a complete response to their own request or an error while chunks are mixed up and lost", async () => {
        await setEngineFaults({ crossed: 40, skipped: 20, duplicated: 20, misaddressed: 20 });
        const requests = await sendChats(200, 8, 20_000);
        expect(wrongVerdicts(requests)).toEqual([]);
    });
});
