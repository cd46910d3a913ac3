import { createRandom, type RandomSource } from "@skylarkmill/policy";
import { type BenchMeasure, type BenchOptions, type BenchRow, roundForReport, sum } from "./bench-measure.ts";
import type { Deployment, RequestClass } from "./deployments.ts";
import type { Outcome } from "./shared/bench-router.ts";
import { Fleet, type PolicySet } from "./shared/fleet.ts";
import { type BenchRequest, type ModelSpec, RequestGenerator } from "./shared/workload.ts";

const PEAK_AT_MS = 20_000;
const RISE_MS = 3_000;
const END_MS = 45_000;
const PEAK_FACTOR = 10;
/** Demand before the peak, as a share of the capacity. */
const BASE_UTILISATION = 0.25;
/** Share of long requests. Most requests are bookings and lookups. */
const LONG_SHARE = 0.05;
/** Mean of the log-normally distributed durations of a request class, divided by their median. */
const MEAN_TO_MEDIAN_RATIO = Math.exp(0.4 ** 2 / 2);

const BASELINE: PolicySet = {
    placement: { name: "load-anywhere" },
    chooser: { name: "random" },
    queue: { name: "fifo" },
    admission: { name: "bounded-queue" },
    detector: { name: "none" },
    hedge: { name: "none" },
    scaling: { name: "fixed", replicas: 3 },
};

function generatePeak(fleet: Fleet, random: RandomSource): BenchRequest[] {
    const { deployment } = fleet;
    const generator = new RequestGenerator(deployment, random);
    const hot = fleet.models.slice(0, deployment.hotModelCount);
    const shares = hotShares(deployment);
    const pickClass = (): RequestClass =>
        random.fraction() < LONG_SHARE
            ? deployment.long
            : deployment.short[random.index(deployment.short.length)] as RequestClass;
    const base = basePerSecond(deployment);
    const ratePerSecond = (atMs: number) =>
        base * (1 + (PEAK_FACTOR - 1) * Math.min(1, Math.max(0, (atMs - PEAK_AT_MS) / RISE_MS)));
    return generator.generateArrivals(0, END_MS, base * PEAK_FACTOR, ratePerSecond).map(atMs =>
        generator.create(atMs, pickWeighted(hot, shares, random).modelId, pickClass())
    );
}

/** Share of each hot model in the requests: that of the n-th is proportional to `n ** -0.6`. */
function hotShares(deployment: Deployment): number[] {
    const weights = Array.from({ length: deployment.hotModelCount }, (_, index) => (index + 1) ** -0.6);
    return weights.map(weight => weight / sum(weights));
}

/** Requests per second before the peak. */
function basePerSecond(deployment: Deployment): number {
    return BASE_UTILISATION * deployment.engineCount * deployment.slotCount / meanDurationMs(deployment) * 1_000;
}

function meanDurationMs(deployment: Deployment): number {
    const shortMs = sum(deployment.short.map(other => other.medianMs)) / deployment.short.length;
    return (shortMs * (1 - LONG_SHARE) + deployment.long.medianMs * LONG_SHARE) * MEAN_TO_MEDIAN_RATIO;
}

function pickWeighted(models: readonly ModelSpec[], shares: readonly number[], random: RandomSource): ModelSpec {
    let remainingShare = random.fraction();
    const index = shares.findIndex(share => (remainingShare -= share) < 0);
    return models[index < 0 ? 0 : index] as ModelSpec;
}

/** Slot time spent on responses that arrived before their deadline, as a share of all slot time after the rise. */
function goodputShare(deployment: Deployment, outcomes: readonly Outcome[]): number {
    const fromMs = PEAK_AT_MS + RISE_MS;
    const inTime = outcomes.filter(outcome =>
        outcome.kind === "response" && outcome.endedAtMs <= outcome.request.deadlineAtMs
    );
    const slotTimesMs = inTime.map(outcome => {
        const startMs = outcome.startedAtMs ?? outcome.endedAtMs;
        return Math.max(0, Math.min(END_MS, startMs + outcome.request.workMs) - Math.max(fromMs, startMs));
    });
    return sum(slotTimesMs) / ((END_MS - fromMs) * deployment.engineCount * deployment.slotCount);
}

function runPeak(deployment: Deployment, seed: number, policies: PolicySet) {
    const maxReplicas = (index: number, generated: number) => index < deployment.hotModelCount ? 3 : generated;
    const demandPerSecond = (index: number) => basePerSecond(deployment) * (hotShares(deployment)[index] ?? 0);
    const fleet = new Fleet(deployment, { seed, policies, maxReplicas, demandPerSecond });
    for (const model of fleet.models.slice(0, deployment.hotModelCount)) fleet.preload(model.modelId, 1);
    // The factor gives the workload random numbers other than those of the fleet.
    const requests = generatePeak(fleet, createRandom(seed * 7_919));
    fleet.submit(requests);
    const outcomes = fleet.run(END_MS + 120_000);
    return { fleet, requests, outcomes, goodput: goodputShare(deployment, outcomes) };
}

type PeakRun = ReturnType<typeof runPeak>;

const countDropped = (run: PeakRun): number => run.requests.length - run.outcomes.length;
const countLate = (run: PeakRun): number =>
    run.outcomes.filter(outcome => outcome.endedAtMs >= outcome.request.deadlineAtMs).length;

export const peakLoad: BenchMeasure = {
    name: "peak load x10 in 3 s, goodput / capacity",
    async run(deployment: Deployment, options: BenchOptions): Promise<BenchRow> {
        const ours = options.seeds.map(seed => runPeak(deployment, seed, {}));
        const baseline = options.seeds.map(seed => runPeak(deployment, seed, BASELINE));
        const mean = (runs: readonly PeakRun[]) => sum(runs.map(run => run.goodput)) / runs.length;
        const lateCount = sum(ours.map(countLate));
        const droppedCount = sum(ours.map(countDropped));
        const refused = ours.flatMap(run => run.outcomes.filter(outcome => outcome.kind === "refusal"));
        const refusedWithin100Ms = refused.filter(outcome => outcome.endedAtMs - outcome.request.arrivedAtMs < 100);
        options.detail(
            `ours per seed ${ours.map(run => roundForReport(run.goodput)).join(" ")}; requests `
                + `${sum(ours.map(run => run.requests.length))}, refused ${refused.length}, within 100 ms `
                + `${refusedWithin100Ms.length}, late ${lateCount}, dropped ${droppedCount}; baseline late `
                + `${sum(baseline.map(countLate))}`,
        );
        return {
            measure: peakLoad.name,
            deployment: deployment.name,
            baseline: roundForReport(mean(baseline)),
            ours: roundForReport(mean(ours)),
            ratio: roundForReport(mean(ours)),
            target: ">= 0.95, rest refused before deadline, 0 dropped",
            verdict: mean(ours) >= 0.95 && lateCount === 0 && droppedCount === 0 ? "pass" : "fail",
        };
    },
};
