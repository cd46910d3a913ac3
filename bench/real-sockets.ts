import { type BenchRow, roundForReport } from "./bench-measure.ts";
import { type ControlCost, type FleetSize, measureControlCost, type NodeCost } from "./sockets/control-cost.ts";
import { measureRouterCost } from "./sockets/router-cost.ts";

const FLEET_SIZES: readonly FleetSize[] = [
    { routerCount: 3, agentCount: 15, modelCount: 65, adapterCount: 95 },
    { routerCount: 20, agentCount: 60, modelCount: 80, adapterCount: 400 },
    { routerCount: 90, agentCount: 250, modelCount: 100, adapterCount: 1300 },
    { routerCount: 350, agentCount: 790, modelCount: 120, adapterCount: 3900 },
];

const FLEET_NAME = "350 routers, 790 agents";
const MAX_PROCESSOR_PERCENT = 1.8;

interface CostLimit {
    readonly name: string;
    readonly unit: string;
    readonly max: number;
    readonly read: (cost: NodeCost) => number;
}

const COST_LIMITS: readonly CostLimit[] = [
    { name: "resident memory", unit: "MB", max: 128, read: cost => cost.residentMb },
    { name: "control traffic", unit: "KB/s", max: 2, read: cost => totalBytesPerSecond(cost) / 1024 },
];

function totalBytesPerSecond(cost: NodeCost): number {
    return cost.peerBytesPerSecond + cost.hostListBytesPerSecond + cost.serviceBytesPerSecond;
}

/** Runs the measures that use real processes and sockets, once instead of per deployment. */
export async function runRealSocketMeasures(detail: (line: string) => void): Promise<readonly BenchRow[]> {
    const rows = [...await measureRouterCost()];
    // The sizes are measured at the same time, since an idle node uses only a few percent of a core.
    const costs = await Promise.all(FLEET_SIZES.map(measureControlCost));
    for (const cost of costs) detail(`control cost: ${JSON.stringify(cost)}`);
    for (const role of ["router", "agent"] as const) {
        for (const limit of COST_LIMITS) rows.push(toLimitRow(role, limit, costs));
    }
    rows.push(toProcessorRow(costs));
    return rows;
}

/** Creates one row with the higher figure of the two roles: each alone varies by a third between runs. */
function toProcessorRow(costs: readonly ControlCost[]): BenchRow {
    const figures = costs.map(({ router, agent }) => Math.max(router.processorPercent, agent.processorPercent));
    const ours = figures.at(-1) ?? Number.NaN;
    return {
        measure: "control processor time of one node (% of a core)",
        deployment: FLEET_NAME,
        baseline: roundForReport(figures[0] ?? Number.NaN),
        ours: roundForReport(ours),
        ratio: roundForReport(ours / MAX_PROCESSOR_PERCENT),
        target: `<= ${MAX_PROCESSOR_PERCENT} % of a core`,
        verdict: ours <= MAX_PROCESSOR_PERCENT ? "pass" : "fail",
    };
}

/**
 * Compares the largest fleet with the limit. The baseline is the figure of the smallest fleet, which shows how the cost
 * grows with the size.
 */
function toLimitRow(role: "router" | "agent", limit: CostLimit, costs: readonly ControlCost[]): BenchRow {
    const figures = costs.map(cost => limit.read(cost[role]));
    const ours = figures.at(-1) ?? Number.NaN;
    return {
        measure: `${limit.name} of one ${role} (${limit.unit})`,
        deployment: FLEET_NAME,
        baseline: roundForReport(figures[0] ?? Number.NaN),
        ours: roundForReport(ours),
        ratio: roundForReport(ours / limit.max),
        target: `<= ${limit.max} ${limit.unit}`,
        verdict: ours <= limit.max ? "pass" : "fail",
    };
}
