import { createRandom, type RandomSource } from "@skylarkmill/policy";
import {
    type BenchMeasure,
    type BenchOptions,
    type BenchRow,
    percentile,
    roundForReport,
    sum,
} from "./bench-measure.ts";
import type { Deployment, RequestClass } from "./deployments.ts";
import type { Outcome } from "./shared/bench-router.ts";
import { Fleet, type PolicySet } from "./shared/fleet.ts";
import { type BenchRequest, type ModelSpec, RequestGenerator } from "./shared/workload.ts";

const END_MS = 44_000;
/** Requests that arrive from this time until `SLOW_UNTIL_MS` are counted. */
const MEASURED_FROM_MS = 20_000;
/** The slow servers are slow from this time until `SLOW_UNTIL_MS`. */
const SLOW_FROM_MS = 22_000;
const SLOW_UNTIL_MS = 42_000;
/** Factor by which the slow servers are slower. */
const SLOWNESS = 10;
/** Delay of the slow servers' reports. */
const REPORT_DELAY_MS = 2_000;
/** Requested slot time, as a share of all slot time. */
const UTILISATION = 0.5;
/** Mean of the log-normally distributed durations of a request class, divided by their median. */
const MEAN_TO_MEDIAN_RATIO = Math.exp(0.4 ** 2 / 2);
const WAITING_CHECK_INTERVAL_MS = 25;

const BASELINE: PolicySet = {
    chooser: { name: "least-reported" },
    detector: { name: "none" },
    hedge: { name: "none" },
};

function generateSteady(fleet: Fleet, random: RandomSource): BenchRequest[] {
    const { deployment } = fleet;
    const generator = new RequestGenerator(deployment, random);
    const hot = fleet.models.slice(0, deployment.hotModelCount);
    const meanMs = sum(deployment.short.map(other => other.medianMs)) / deployment.short.length * MEAN_TO_MEDIAN_RATIO;
    const perSecond = UTILISATION * deployment.engineCount * deployment.slotCount / meanMs * 1_000;
    return generator.generateArrivals(0, END_MS, perSecond, () => perSecond).map(atMs => {
        const requestClass = deployment.short[random.index(deployment.short.length)] as RequestClass;
        return generator.create(atMs, (hot[random.index(hot.length)] as ModelSpec).modelId, requestClass);
    });
}

function runSteady(deployment: Deployment, seed: number, policies: PolicySet, hasStragglers: boolean): Outcome[] {
    const maxReplicas = (index: number, generated: number) => index < deployment.hotModelCount ? 3 : generated;
    const fleet = new Fleet(deployment, { seed, policies, maxReplicas });
    for (const model of fleet.models.slice(0, deployment.hotModelCount)) fleet.preload(model.modelId, 3);
    // The factor gives the workload random numbers other than those of the fleet.
    const random = createRandom(seed * 7_919);
    fleet.submit(generateSteady(fleet, random));
    fleet.checkWaitingAttempts(WAITING_CHECK_INTERVAL_MS);
    const first = random.index(deployment.engineCount);
    const stragglers = [first, (first + 1 + random.index(deployment.engineCount - 1)) % deployment.engineCount];
    for (const index of hasStragglers ? stragglers : []) {
        fleet.events.schedule(SLOW_FROM_MS, () => fleet.setSlowness(index, SLOWNESS, REPORT_DELAY_MS));
        fleet.events.schedule(SLOW_UNTIL_MS, () => fleet.setSlowness(index, 1, 1));
    }
    return fleet.run(END_MS + 60_000).filter(({ request: { arrivedAtMs } }) =>
        arrivedAtMs >= MEASURED_FROM_MS && arrivedAtMs < SLOW_UNTIL_MS
    );
}

/** Latency of one request; a refused request counts with its whole timeout. */
const latencyMs = (outcome: Outcome): number =>
    outcome.kind === "response"
        ? outcome.endedAtMs - outcome.request.arrivedAtMs
        : outcome.request.requestClass.timeoutMs;

export const stragglers: BenchMeasure = {
    name: "p99 with 2 of 12 servers 10 x slower (ms)",
    async run(deployment: Deployment, options: BenchOptions): Promise<BenchRow> {
        // The result depends strongly on which servers become slow, so each seed gives two runs.
        const seeds = options.seeds.flatMap(seed => [seed, seed + 1_000]);
        const run = (policies: PolicySet, hasStragglers: boolean) =>
            seeds.flatMap(seed => runSteady(deployment, seed, policies, hasStragglers));
        const outcomes = run({}, true);
        const ours = percentile(outcomes.map(latencyMs), 0.99);
        const p99WithoutStragglersMs = percentile(run({}, false).map(latencyMs), 0.99);
        const baseline = percentile(run(BASELINE, true).map(latencyMs), 0.99);
        const hedgeShare = sum(outcomes.map(outcome => outcome.hedgeCount)) / outcomes.length;
        const refusedCount = outcomes.filter(outcome => outcome.kind === "refusal").length;
        options.detail(
            `p99 without stragglers ${roundForReport(p99WithoutStragglersMs)} ms; extra requests ${
                roundForReport(hedgeShare * 100)
            }%; requests `
                + `${outcomes.length}, refused ${refusedCount}, p99.9 ${
                    roundForReport(percentile(outcomes.map(latencyMs), 0.999))
                } ms`,
        );
        return {
            measure: stragglers.name,
            deployment: deployment.name,
            baseline: roundForReport(baseline),
            ours: roundForReport(ours),
            ratio: roundForReport(ours / p99WithoutStragglersMs),
            target: "<= 1.5 x without, extra requests <= 5%",
            verdict: ours <= 1.5 * p99WithoutStragglersMs && hedgeShare <= 0.05 ? "pass" : "fail",
        };
    },
};
