import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import type { Link } from "../support/cluster-layout.ts";
import { type Cluster, startCluster } from "../support/cluster.ts";
import { eventually } from "../support/eventually.ts";
import { Callers, type SentRequest } from "./support-requests/callers.ts";
import { crashedProcesses } from "./support-requests/crashed-processes.ts";
import { judgeAnswer, type Verdict } from "./support-requests/outcome.ts";
import { ENGINE_FLAGS, sectionsOf } from "./support-requests/sections.ts";

const MODEL = "diagnosis";
const toAgents: readonly Link[] = [{ from: "router-1", to: "agent-1" }, { from: "router-1", to: "agent-2" }];
const toEngines: readonly Link[] = [{ from: "agent-1", to: "engine-1" }, { from: "agent-2", to: "engine-2" }];
const engines = ["engine-1", "engine-2"];

let cluster: Cluster;
const callers = new Callers();
let requestCount = 0;

interface Asked {
    readonly sent: SentRequest;
    readonly verdict: Verdict;
    readonly tokenCount: number;
}

/** Asks with a message of its own; the engines put it into the answer. */
async function ask(stream: boolean, tokenCount = 24, timeoutMs = 5000): Promise<Asked> {
    const requestId = `ask-${++requestCount}`;
    const message = `message of ${requestId}`;
    const body = { model: MODEL, stream, max_tokens: tokenCount, messages: [{ role: "user", content: message }] };
    const url = `${cluster.url("router-1")}/v1/chat/completions`;
    const sent = await callers.send({ url, requestId, timeoutMs, body });
    const verdict = judgeAnswer(sent.outcome, { model: MODEL, message, tokenCount, stream });
    return { sent, verdict, tokenCount };
}

function askMany(count: number, tokenCount?: number, timeoutMs?: number): Promise<Asked[]> {
    return Promise.all(Array.from({ length: count }, (_, index) => ask(index % 2 === 0, tokenCount, timeoutMs)));
}

const wrongOnes = (asked: readonly Asked[]): readonly Verdict[] =>
    asked.map(({ verdict }) => verdict).filter(verdict => verdict.startsWith("wrong"));
const countWhole = (asked: readonly Asked[]): number => asked.filter(({ verdict }) => verdict === "whole").length;

const setEngines = (faults: object): Promise<unknown> =>
    Promise.all(engines.map(name => cluster.control(name, "faults", faults)));

/** Number of executions that have begun, by token count, which tests use as a name. */
async function startsOf(tokenCount: number): Promise<string[]> {
    const events = await cluster.journal(...engines.filter(name => cluster.process(name).isRunning));
    return events.filter(event => event.kind === "execution_started" && event.tokenCount === tokenCount)
        .map(event => event.source);
}

async function heal(): Promise<void> {
    const pass = { mode: "pass", direction: "both", delayMs: 0, resetAfterBytes: 0 } as const;
    await Promise.all([...toAgents, ...toEngines].map(link => cluster.fault(link, pass)));
    for (const name of [...engines, "agent-1", "agent-2"]) {
        const member = cluster.process(name);
        member.signal("SIGCONT");
        if (!member.isRunning) member.start();
    }
    await eventually("the engines' answer", () => setEngines(NO_FAULTS));
    await warm();
}

/** Resolves once a request of each kind is answered whole again. */
async function warm(): Promise<void> {
    await eventually("whole answers", async () => (countWhole(await askMany(4, 7)) === 4 ? true : undefined), 20_000);
}

const FAULTS = ["crossed", "duplicated", "skipped", "truncated", "unfinished", "misaddressed"] as const;
const NO_FAULTS = { ...Object.fromEntries(FAULTS.map(fault => [fault, 0])), delayMs: 0, slowFactor: 1 };

beforeAll(async () => {
    cluster = await startCluster({
        sections: sectionsOf({ [MODEL]: { maxReplicas: 2 } }),
        routerCount: 1,
        engineCount: 2,
        links: [...toAgents, ...toEngines],
        engineFlags: ENGINE_FLAGS,
    });
    await cluster.waitForGrants([MODEL]);
    await warm();
}, 60_000);

afterEach(async () => {
    expect(crashedProcesses(cluster)).toEqual([]);
    await heal();
}, 60_000);

afterAll(async () => {
    await callers.close();
    await cluster.close();
});

// Guards against the answer of an overtaken attempt that is mixed into the answer of its hedge.
describe("an attempt that answers after its hedge has won", () => {
    it("is not seen by the caller", async () => {
        // A token count of its own names each request in the engines' journals.
        let tokenCount = 30;
        const hedgedCount = await eventually("a hedge", async () => {
            const before = await askMany(16, ++tokenCount);
            await ask(true, ++tokenCount);
            const [engine] = await startsOf(tokenCount);
            await cluster.control(engine!, "faults", { delayMs: 800 });
            // The stream lasts longer than the delay, so that the overtaken attempt answers in its midst.
            const asked = await Promise.all([ask(true, 300 + ++tokenCount), ask(false, ++tokenCount)]);
            await cluster.control(engine!, "faults", { delayMs: 0 });
            expect([...before, ...asked].filter(({ verdict }) => verdict !== "whole")).toEqual([]);
            const engineCounts = await Promise.all(
                asked.map(async one => new Set(await startsOf(one.tokenCount)).size),
            );
            return engineCounts.filter(count => count > 1).length || undefined;
        }, 25_000);
        expect(hedgedCount).toBeGreaterThan(0);
    }, 40_000);
});

interface FaultCase {
    readonly faults: Partial<Record<(typeof FAULTS)[number], number>>;
    /** The checks correct the fault, so every answer stays whole. */
    readonly corrected: boolean;
}

const faultCases: readonly FaultCase[] = [
    { faults: { crossed: 6 }, corrected: false },
    { faults: { duplicated: 6 }, corrected: true },
    { faults: { skipped: 6 }, corrected: false },
    { faults: { truncated: 6 }, corrected: false },
    { faults: { unfinished: 6 }, corrected: false },
    { faults: { misaddressed: 4 }, corrected: false },
    { faults: { crossed: 4, duplicated: 4, skipped: 4 }, corrected: false },
    { faults: { skipped: 4, truncated: 4, unfinished: 4, misaddressed: 2 }, corrected: false },
];

// Guards against chunks of other requests, gaps, repeats and short answers that reach a caller as an answer.
describe("answers of a faulty engine", () => {
    it.each(faultCases)("$faults", async ({ faults, corrected }) => {
        await setEngines(faults);
        const asked = await askMany(24);
        const left = await Promise.all(engines.map(name => cluster.control(name, "faults", {})));
        expect(wrongOnes(asked)).toEqual([]);
        for (const [fault, count] of Object.entries(faults)) {
            const leftCount = left.reduce<number>((sum, one) => sum + (one as Record<string, number>)[fault]!, 0);
            expect(leftCount, `${fault} was injected`).toBeLessThan(count * engines.length);
        }
        expect(countWhole(asked)).toBeGreaterThan(0);
        if (corrected) expect(countWhole(asked)).toBe(asked.length);
    });
});

interface CutCase {
    readonly name: string;
    /** Injects the fault at the engine with this index, which runs the requests, or beside it. */
    readonly inject: (index: number) => unknown;
}

const resetAnswers = { resetAfterBytes: 1, direction: "from_target" } as const;

const cutCases: readonly CutCase[] = [
    { name: "router-agent cut", inject: index => cluster.fault(toAgents[index]!, { mode: "cut" }) },
    { name: "router-agent hung", inject: index => cluster.fault(toAgents[index]!, { mode: "hang" }) },
    { name: "router-agent reset", inject: index => cluster.fault(toAgents[index]!, resetAnswers) },
    { name: "agent-engine cut", inject: index => cluster.fault(toEngines[index]!, { mode: "cut" }) },
    { name: "agent-engine hung", inject: index => cluster.fault(toEngines[index]!, { mode: "hang" }) },
    { name: "agent-engine reset", inject: index => cluster.fault(toEngines[index]!, resetAnswers) },
    { name: "agent killed", inject: index => cluster.process(`agent-${index + 1}`).end() },
    { name: "engine killed", inject: index => cluster.process(engines[index]!).end() },
    { name: "agent frozen", inject: index => cluster.process(`agent-${index + 1}`).signal("SIGSTOP") },
    { name: "engine frozen", inject: index => cluster.process(engines[index]!).signal("SIGSTOP") },
    {
        name: "agent cut off and engines skipping chunks",
        inject: index => Promise.all([cluster.fault(toAgents[index]!, { mode: "cut" }), setEngines({ skipped: 4 })]),
    },
];

// Guards against a broken stream that ends as if it were complete.
describe("streams cut in the middle", () => {
    it.each(cutCases)("$name", async ({ inject, name }) => {
        const tokenCount = 100 + cutCases.findIndex(one => one.name === name);
        const asking = askMany(12, tokenCount, 1200);
        const [engine] = await eventually("an execution", async () => {
            const started = await startsOf(tokenCount);
            return started.length > 0 ? started : undefined;
        });
        await inject(engines.indexOf(engine!));
        expect(wrongOnes(await asking)).toEqual([]);
    }, 30_000);
});

// Guards against an answer that reaches the caller of another request.
describe("200 concurrent callers", () => {
    it("get each its own whole answer", async () => {
        const asked = await askMany(200, 8, 20_000);
        expect(wrongOnes(asked)).toEqual([]);
        expect(countWhole(asked)).toBe(200);
    });

    it("get each its own whole answer or an error while chunks are crossed and lost", async () => {
        await setEngines({ crossed: 40, skipped: 20, duplicated: 20, misaddressed: 20 });
        const asked = await askMany(200, 8, 20_000);
        expect(wrongOnes(asked)).toEqual([]);
    });
});
