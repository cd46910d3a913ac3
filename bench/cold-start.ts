import { createRandom, type RandomSource } from "@skylarkmill/policy";
import type { ModelId } from "@skylarkmill/protocol";
import { type BenchMeasure, type BenchOptions, type BenchRow, percentile, roundForReport } from "./bench-measure.ts";
import type { Deployment, RequestClass } from "./deployments.ts";
import { EventQueue } from "./shared/event-queue.ts";
import { Fleet, type PolicySet } from "./shared/fleet.ts";
import { WeightStore } from "./shared/weight-store.ts";
import { type BenchRequest, RequestGenerator } from "./shared/workload.ts";

const BURST_AT_MS = 1_000;
/** The first requests of a burst reach all routers within this time. */
const BURST_DURATION_MS = 300;
const TIMEOUT_MS = 60_000;

const LOAD_ANYWHERE: PolicySet = {
    placement: { name: "load-anywhere" },
    chooser: { name: "random" },
    residency: { name: "keep-warm" },
    detector: { name: "none" },
    hedge: { name: "none" },
};

interface Burst {
    readonly requests: readonly BenchRequest[];
    readonly modelIds: readonly ModelId[];
}

/** Creates one request per burst model and router. */
function generateBurst(fleet: Fleet, random: RandomSource): Burst {
    const { deployment } = fleet;
    const generator = new RequestGenerator(deployment, random);
    const pool = fleet.models.map(model => model.modelId);
    const modelIds: ModelId[] = [];
    while (modelIds.length < deployment.burstModelCount) {
        modelIds.push(...pool.splice(random.index(pool.length), 1));
    }
    const requestClass: RequestClass = { ...deployment.short[0] as RequestClass, timeoutMs: TIMEOUT_MS };
    const requests = modelIds.flatMap(modelId =>
        Array.from(
            { length: deployment.routerCount },
            (_, routerIndex) =>
                generator.create(
                    BURST_AT_MS + BURST_DURATION_MS * random.fraction(),
                    modelId,
                    requestClass,
                    routerIndex,
                ),
        )
    );
    return { requests, modelIds };
}

function runBurst(
    deployment: Deployment,
    seed: number,
    policies: PolicySet,
): { waitsMs: number[]; fleet: Fleet; burst: Burst; } {
    const fleet = new Fleet(deployment, { seed, policies });
    // The factor gives the workload random numbers other than those of the fleet.
    const random = createRandom(seed * 7_919);
    const burst = generateBurst(fleet, random);
    // Idle, loaded models occupy most of the memory, as in normal operation.
    for (const model of fleet.models) if (!burst.modelIds.includes(model.modelId)) fleet.preload(model.modelId, 1);
    fleet.submit(burst.requests);
    const outcomes = fleet.run(BURST_AT_MS + TIMEOUT_MS);
    const waitsMs = outcomes.map(outcome =>
        outcome.kind === "response" && outcome.startedAtMs !== undefined
            ? outcome.startedAtMs - outcome.request.arrivedAtMs
            : TIMEOUT_MS
    );
    return { waitsMs, fleet, burst };
}

/**
 * Returns how long each request would wait if its model were loaded exactly once, from its fastest copy and within the
 * weight store's limit, and if no request waited for a slot.
 */
function computeLoadWaitsMs(fleet: Fleet, burst: Burst): number[] {
    const events = new EventQueue();
    const store = new WeightStore(events, fleet.deployment.loadsInFlight);
    const readyAtMs = new Map<ModelId, number>();
    const ordered = [...burst.requests].sort((a, b) => a.arrivedAtMs - b.arrivedAtMs);
    for (const { modelId, arrivedAtMs } of ordered) {
        if (readyAtMs.has(modelId)) continue;
        readyAtMs.set(modelId, Infinity);
        const markReady = () => readyAtMs.set(modelId, events.nowMs);
        events.schedule(arrivedAtMs, () => {
            const { loadMs, isRemote } = fleet.fastestLoad(modelId);
            if (isRemote) store.load(loadMs, markReady);
            else events.schedule(loadMs, markReady);
        });
    }
    events.runUntil(TIMEOUT_MS);
    events.close();
    return burst.requests.map(request => Math.max(0, (readyAtMs.get(request.modelId) ?? 0) - request.arrivedAtMs));
}

export const coldStart: BenchMeasure = {
    name: "cold start p99 in a burst (ms)",
    async run(deployment: Deployment, options: BenchOptions): Promise<BenchRow> {
        const runs = options.seeds.map(seed => {
            const ours = runBurst(deployment, seed, {});
            return {
                ours,
                baseline: runBurst(deployment, seed, LOAD_ANYWHERE),
                loadWaitsMs: computeLoadWaitsMs(ours.fleet, ours.burst),
            };
        });
        const p99 = (values: number[][]) => percentile(values.flat(), 0.99);
        const ours = p99(runs.map(run => run.ours.waitsMs));
        const baseline = p99(runs.map(run => run.baseline.waitsMs));
        const loadP99Ms = p99(runs.map(run => run.loadWaitsMs));
        const loads = (key: "ours" | "baseline") =>
            runs.reduce((total, run) => total + run[key].fleet.loadCount, 0) / runs.length;
        options.detail(
            `load alone p99 ${roundForReport(loadP99Ms)} ms; loads per burst: ours ${roundForReport(loads("ours"))}, `
                + `load anywhere ${roundForReport(loads("baseline"))}, models ${deployment.burstModelCount}; `
                + `ours / load anywhere ${roundForReport(ours / baseline)}`,
        );
        return {
            measure: coldStart.name,
            deployment: deployment.name,
            baseline: roundForReport(baseline),
            ours: roundForReport(ours),
            ratio: roundForReport(ours / loadP99Ms),
            target: "<= 1.3 x load alone, ours <= 0.5 x baseline",
            verdict: ours <= 1.3 * loadP99Ms && ours <= 0.5 * baseline ? "pass" : "fail",
        };
    },
};
