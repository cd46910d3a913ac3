import { createRandom, type RandomSource } from "@skylarkmill/policy";
import {
    type BenchMeasure,
    type BenchOptions,
    type BenchRow,
    percentile,
    roundForReport,
    sum,
} from "./bench-measure.ts";
import type { Deployment } from "./deployments.ts";
import type { Outcome } from "./shared/bench-router.ts";
import { Fleet, type PolicySet } from "./shared/fleet.ts";
import { type BenchRequest, type ModelSpec, RequestGenerator } from "./shared/workload.ts";

const SIMULATED_HOURS = 3;
const HOUR_MS = 3_600_000;
/** Times per hour that a model becomes active or idle; half of these changes are activations. */
const ACTIVITY_CHANGES_PER_MODEL_HOUR = 0.57;
const MEAN_ACTIVE_MS = 600_000;
/** Rate of an active model after its first requests. */
const REQUESTS_PER_SECOND = 1 / 8;
/** Number of models that become active at the same time. */
const GROUP_SIZE = 3;
const BURST_DURATION_MS = 300;

const KEEP_WARM: PolicySet = { residency: { name: "keep-warm" } };

/** Activates groups of models: each model gets a first request at every router and then requests at a low rate. */
function generateRequests(fleet: Fleet, random: RandomSource): BenchRequest[] {
    const { deployment } = fleet;
    const generator = new RequestGenerator(deployment, random);
    const perSecond = deployment.modelCount * ACTIVITY_CHANGES_PER_MODEL_HOUR / 2 / GROUP_SIZE / 3_600;
    const starts = generator.generateArrivals(
        0,
        SIMULATED_HOURS * HOUR_MS - MEAN_ACTIVE_MS,
        perSecond,
        () => perSecond,
    );
    return starts.flatMap(startMs => {
        const first = random.index(fleet.models.length);
        // The models of a group are seven apart in the list of models.
        const group = Array.from(
            { length: GROUP_SIZE },
            (_, index) => fleet.models[(first + index * 7) % fleet.models.length] as ModelSpec,
        );
        return group.flatMap(model => generateActivePhase(fleet, generator, random, model, startMs));
    });
}

function generateActivePhase(
    fleet: Fleet,
    generator: RequestGenerator,
    random: RandomSource,
    model: ModelSpec,
    startMs: number,
): BenchRequest[] {
    const classes = fleet.deployment.short.map(requestClass => ({ ...requestClass, timeoutMs: 60_000 }));
    const pickClass = () => classes[random.index(classes.length)] as typeof classes[number];
    const first = Array.from(
        { length: fleet.deployment.routerCount },
        (_, router) =>
            generator.create(startMs + BURST_DURATION_MS * random.fraction(), model.modelId, pickClass(), router),
    );
    const endMs = startMs + MEAN_ACTIVE_MS * (0.5 + random.fraction());
    const later = generator.generateArrivals(
        startMs + BURST_DURATION_MS,
        endMs,
        REQUESTS_PER_SECOND,
        () => REQUESTS_PER_SECOND,
    );
    return [...first, ...later.map(atMs => generator.create(atMs, model.modelId, pickClass()))];
}

function runSimulation(deployment: Deployment, seed: number, policies: PolicySet) {
    const fleet = new Fleet(deployment, { seed, policies, reportIntervalMs: 5_000 });
    for (const model of fleet.models) fleet.preload(model.modelId, 1);
    // The factor gives the workload random numbers other than those of the fleet.
    fleet.submit(generateRequests(fleet, createRandom(seed * 7_919)));
    const outcomes = fleet.run(SIMULATED_HOURS * HOUR_MS);
    const idleByteMs = sum(fleet.servers.map(server => server.idleByteMs));
    return { fleet, outcomes, idleHours: idleByteMs / deployment.engineMemoryBytes / HOUR_MS };
}

/** Returns the waits and models of the requests that waited for a load. */
function findColdStarts(outcomes: readonly Outcome[]): { waitsMs: number[]; modelIds: string[]; } {
    const cold = outcomes.filter(outcome => outcome.hasWaitedForLoad);
    return {
        waitsMs: cold.map(outcome =>
            (outcome.kind === "response" ? outcome.startedAtMs ?? Infinity : Infinity) - outcome.request.arrivedAtMs
        ),
        modelIds: cold.map(outcome => outcome.request.modelId),
    };
}

export const idleHours: BenchMeasure = {
    name: "idle accelerator hours (h)",
    async run(deployment: Deployment, options: BenchOptions): Promise<BenchRow> {
        const runs = options.seeds.map(seed => ({
            ours: runSimulation(deployment, seed, {}),
            baseline: runSimulation(deployment, seed, KEEP_WARM),
        }));
        const ours = sum(runs.map(run => run.ours.idleHours));
        const baseline = sum(runs.map(run => run.baseline.idleHours));
        const coldStarts = runs.map(run => findColdStarts(run.ours.outcomes));
        const coldP99Ms = percentile(coldStarts.flatMap(run => run.waitsMs), 0.99);
        const loadsMs = coldStarts.flatMap((run, index) =>
            run.modelIds.map(modelId =>
                runs[index]?.ours.fleet.fastestLoad(modelId as ModelSpec["modelId"]).loadMs ?? 0
            )
        );
        const loadP99Ms = percentile(loadsMs, 0.99);
        const requestCount = sum(runs.map(run => run.ours.outcomes.length));
        const baselineColdCount = sum(runs.map(run => findColdStarts(run.baseline.outcomes).waitsMs.length));
        options.detail(
            `cold start p99 ${roundForReport(coldP99Ms)} ms, load alone p99 ${roundForReport(loadP99Ms)} ms; requests `
                + `${requestCount}, cold: ours ${loadsMs.length}, keep warm ${baselineColdCount}`,
        );
        return {
            measure: idleHours.name,
            deployment: deployment.name,
            baseline: roundForReport(baseline),
            ours: roundForReport(ours),
            ratio: roundForReport(ours / baseline),
            target: "<= 0.35, cold start p99 <= 1.3 x load alone",
            verdict: ours <= 0.35 * baseline && coldP99Ms <= 1.3 * loadP99Ms ? "pass" : "fail",
        };
    },
};
