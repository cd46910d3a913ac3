import { createRandom, type RandomSource } from "@skylarkmill/policy";
import { type BenchMeasure, type BenchOptions, type BenchRow, percentile, roundForReport } from "./bench-measure.ts";
import type { Deployment, RequestClass } from "./deployments.ts";
import type { Outcome } from "./shared/bench-router.ts";
import { Fleet, type PolicySet } from "./shared/fleet.ts";
import { type BenchRequest, type ModelSpec, RequestGenerator } from "./shared/workload.ts";

const END_MS = 120_000;
/** Requests that arrive before this time are not counted, since the queues are still filling. */
const WARM_UP_MS = 20_000;
const LONG_SHARE = 0.2;
/** Requested slot time, as a share of all slot time. */
const UTILISATION = 0.75;
/** Mean of the log-normally distributed durations of a request class, divided by their median. */
const MEAN_TO_MEDIAN_RATIO = Math.exp(0.4 ** 2 / 2);

const BASELINE: PolicySet = {
    chooser: { name: "least-reported" },
    queue: { name: "fifo" },
    detector: { name: "none" },
    hedge: { name: "none" },
};

function generateMix(fleet: Fleet, random: RandomSource): BenchRequest[] {
    const { deployment } = fleet;
    const generator = new RequestGenerator(deployment, random);
    const hot = fleet.models.slice(0, deployment.hotModelCount);
    const short = deployment.short[0] as RequestClass;
    const meanMs = (short.medianMs * (1 - LONG_SHARE) + deployment.long.medianMs * LONG_SHARE) * MEAN_TO_MEDIAN_RATIO;
    const perSecond = UTILISATION * deployment.engineCount * deployment.slotCount / meanMs * 1_000;
    return generator.generateArrivals(0, END_MS, perSecond, () => perSecond).map(atMs => {
        const model = hot[random.index(hot.length)] as ModelSpec;
        return generator.create(atMs, model.modelId, random.fraction() < LONG_SHARE ? deployment.long : short);
    });
}

function runMix(deployment: Deployment, seed: number, policies: PolicySet, hasLong: boolean): Outcome[] {
    const maxReplicas = (index: number, generated: number) => index < deployment.hotModelCount ? 3 : generated;
    const fleet = new Fleet(deployment, { seed, policies, maxReplicas });
    for (const model of fleet.models.slice(0, deployment.hotModelCount)) fleet.preload(model.modelId, 3);
    // The factor gives the workload random numbers other than those of the fleet.
    const requests = generateMix(fleet, createRandom(seed * 7_919));
    fleet.submit(requests.filter(request => hasLong || request.requestClass !== deployment.long));
    return fleet.run(END_MS + 120_000).filter(outcome => outcome.request.arrivedAtMs >= WARM_UP_MS);
}

/** Latencies of the long or of the short requests; a refused request counts with its whole timeout. */
function latenciesMs(runs: readonly Outcome[][], isLong: boolean, deployment: Deployment): number[] {
    return runs.flat()
        .filter(outcome => (outcome.request.requestClass === deployment.long) === isLong)
        .map(outcome =>
            outcome.kind === "response"
                ? outcome.endedAtMs - outcome.request.arrivedAtMs
                : outcome.request.requestClass.timeoutMs
        );
}

export const shortBehindLong: BenchMeasure = {
    name: "short p99 behind long requests (ms)",
    async run(deployment: Deployment, options: BenchOptions): Promise<BenchRow> {
        const run = (policies: PolicySet, hasLong: boolean) =>
            options.seeds.map(seed => runMix(deployment, seed, policies, hasLong));
        const outcomes = run({}, true);
        const ours = percentile(latenciesMs(outcomes, false, deployment), 0.99);
        const shortOnlyP99Ms = percentile(latenciesMs(run({}, false), false, deployment), 0.99);
        const baselineOutcomes = run(BASELINE, true);
        const baseline = percentile(latenciesMs(baselineOutcomes, false, deployment), 0.99);
        const longLatenciesMs = latenciesMs(outcomes, true, deployment);
        options.detail(
            `short alone p99 ${roundForReport(shortOnlyP99Ms)} ms; long p99 ours ${
                roundForReport(percentile(longLatenciesMs, 0.99))
            } ms, baseline `
                + `${roundForReport(percentile(latenciesMs(baselineOutcomes, true, deployment), 0.99))} ms; refused `
                + `${outcomes.flat().filter(outcome => outcome.kind === "refusal").length}`,
        );
        return {
            measure: shortBehindLong.name,
            deployment: deployment.name,
            baseline: roundForReport(baseline),
            ours: roundForReport(ours),
            ratio: roundForReport(ours / shortOnlyP99Ms),
            target: "<= 1.5 x short alone",
            verdict: ours <= 1.5 * shortOnlyP99Ms ? "pass" : "fail",
        };
    },
};
