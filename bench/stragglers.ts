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
const MEASURED_FROM_MS = 20_000;
const SLOW_FROM_MS = 22_000;
const SLOW_UNTIL_MS = 42_000;
const SLOWNESS = 10;
const REPORT_DELAY_MS = 2_000;
const UTILISATION = 0.5;
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

function runSteady(deployment: Deployment, seed: number, policies: PolicySet, slow: boolean): Outcome[] {
    const replicas = (index: number, generated: number) => index < deployment.hotModelCount ? 3 : generated;
    const fleet = new Fleet(deployment, { seed, policies, replicas });
    for (const model of fleet.models.slice(0, deployment.hotModelCount)) fleet.preload(model.modelId, 3);
    const random = createRandom(seed * 7_919);
    fleet.submit(generateSteady(fleet, random));
    fleet.checkWaitingAttempts(WAITING_CHECK_INTERVAL_MS);
    const first = random.index(deployment.engineCount);
    const stragglers = [first, (first + 1 + random.index(deployment.engineCount - 1)) % deployment.engineCount];
    for (const index of slow ? stragglers : []) {
        fleet.events.schedule(SLOW_FROM_MS, () => fleet.setSlowness(index, SLOWNESS, REPORT_DELAY_MS));
        fleet.events.schedule(SLOW_UNTIL_MS, () => fleet.setSlowness(index, 1, 1));
    }
    return fleet.run(END_MS + 60_000).filter(({ request: { arrivedAtMs } }) =>
        arrivedAtMs >= MEASURED_FROM_MS && arrivedAtMs < SLOW_UNTIL_MS
    );
}

/** Latency of one request; a refused request counts with its whole timeout. */
const latencyMs = (outcome: Outcome): number =>
    outcome.kind === "answer"
        ? outcome.endedAtMs - outcome.request.arrivedAtMs
        : outcome.request.requestClass.timeoutMs;

export const stragglers: BenchMeasure = {
    name: "p99 with 2 of 12 servers 10 x slower (ms)",
    async run(deployment: Deployment, options: BenchOptions): Promise<BenchRow> {
        // The result depends strongly on which servers become slow, so each seed gives two runs.
        const seeds = options.seeds.flatMap(seed => [seed, seed + 1_000]);
        const run = (policies: PolicySet, slow: boolean) =>
            seeds.flatMap(seed => runSteady(deployment, seed, policies, slow));
        const slowed = run({}, true);
        const ours = percentile(slowed.map(latencyMs), 0.99);
        const without = percentile(run({}, false).map(latencyMs), 0.99);
        const baseline = percentile(run(BASELINE, true).map(latencyMs), 0.99);
        const extraShare = sum(slowed.map(outcome => outcome.hedgeCount)) / slowed.length;
        const refusedCount = slowed.filter(outcome => outcome.kind === "refusal").length;
        options.detail(
            `p99 without stragglers ${roundForReport(without)} ms; extra requests ${
                roundForReport(extraShare * 100)
            }%; requests `
                + `${slowed.length}, refused ${refusedCount}, p99.9 ${
                    roundForReport(percentile(slowed.map(latencyMs), 0.999))
                } ms`,
        );
        return {
            measure: stragglers.name,
            deployment: deployment.name,
            baseline: roundForReport(baseline),
            ours: roundForReport(ours),
            ratio: roundForReport(ours / without),
            target: "<= 1.5 x without, extra requests <= 5%",
            verdict: ours <= 1.5 * without && extraShare <= 0.05 ? "pass" : "fail",
        };
    },
};
