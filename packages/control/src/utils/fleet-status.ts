import type { Membership } from "@skylarkmill/adapters";
import { type ConfiguredModel, type ConfigView, type DrainRecord, type GrantRecord, KEYS } from "@skylarkmill/config";
import type { RecordReader } from "@skylarkmill/coordination";
import type { ProcessReport } from "../types/operator.ts";

/** Sources of the fleet status. */
export interface FleetStatusInput {
    readonly config: ConfigView;
    readonly records: RecordReader;
    readonly membership: Membership;
    readonly reports: readonly ProcessReport[];
    /** Whether this process has read the key-value service since its start. */
    readonly hasReadKeyValueService: boolean;
}

/** Age above which the host list is reported as outdated. */
const MAX_HOST_LIST_AGE_MS = 10_000;

/** Replicas of one model by state. */
interface ReplicaCounts {
    loaded: number;
    loading: number;
    unloading: number;
}

function countReplicasByModel(reports: readonly ProcessReport[]): Map<string, ReplicaCounts> {
    const counts = new Map<string, ReplicaCounts>();
    for (const model of reports.flatMap(report => report.status?.server?.models ?? [])) {
        const count = counts.get(model.modelId) ?? { loaded: 0, loading: 0, unloading: 0 };
        if (model.state === "ready" || model.state === "draining") count.loaded += 1;
        else if (model.state === "loading") count.loading += 1;
        else if (model.state === "unloading") count.unloading += 1;
        counts.set(model.modelId, count);
    }
    return counts;
}

function describeModel(model: ConfiguredModel, records: RecordReader, counts: ReplicaCounts | undefined) {
    const grants = records.get<GrantRecord>(KEYS.grants(model.modelId))?.value?.grants ?? [];
    return {
        modelId: model.modelId,
        serviceId: model.serviceId,
        version: model.config.version,
        decided: model.config.maxReplicas,
        granted: grants.length,
        revoking: grants.filter(grant => grant.revoking).length,
        loaded: counts?.loaded ?? 0,
        loading: counts?.loading ?? 0,
        unloading: counts?.unloading ?? 0,
    };
}

type ModelStatus = ReturnType<typeof describeModel>;

function describeServer(report: ProcessReport) {
    const server = report.status?.server;
    if (server === undefined) return [];
    return [{
        serverId: server.serverId,
        hostId: report.hostId,
        dataCentre: report.dataCentre,
        queued: server.queuedCount,
        running: server.runningCount,
        slots: server.slotCount,
        backlogMs: server.backlogMs,
        slowness: server.slownessPermille / 1000,
        memorySizeBytes: Number(server.memorySizeBytes),
        memoryReservedBytes: Number(server.memoryReservedBytes),
        draining: server.draining,
        acceptsLoads: server.acceptsLoads,
    }];
}

function findModelProblems(model: ModelStatus): string[] {
    const problems: string[] = [];
    const present = model.loaded + model.loading + model.unloading;
    if (present > model.decided) {
        problems.push(`Model ${model.modelId}: ${present} replicas in memory, ${model.decided} decided.`);
    }
    if (model.granted - model.revoking < model.decided) {
        const usable = model.granted - model.revoking;
        problems.push(`Model ${model.modelId}: ${usable} of ${model.decided} decided replicas have a grant.`);
    }
    return problems;
}

function findProblems(input: FleetStatusInput, models: readonly ModelStatus[]): string[] {
    const problems = [...input.config.problems(), ...models.flatMap(findModelProblems)];
    if (!input.hasReadKeyValueService) problems.push("This router has not read the key-value service since its start.");
    const ageMs = input.membership.ageMs();
    if (ageMs === Infinity) problems.push("The host list has not been read.");
    else if (ageMs > MAX_HOST_LIST_AGE_MS) problems.push(`The host list was last read ${Math.round(ageMs)} ms ago.`);
    for (const report of input.reports) {
        if (!report.reachable) problems.push(`Host ${report.hostId} (${report.role}): ${report.reason}.`);
        else if (report.status?.ready === false && !report.status.draining) {
            problems.push(`Host ${report.hostId} (${report.role}) is not ready.`);
        }
        problems.push(...(report.status?.problems ?? []).map(problem => `Host ${report.hostId}: ${problem}`));
    }
    return problems;
}

function describeLeavingHosts(input: FleetStatusInput) {
    const drains = input.records.list<DrainRecord>(KEYS.drainsPrefix).flatMap(record => record.value ?? []);
    const byHost = new Map(drains.map(drain => [drain.hostId as string, drain]));
    const leaving = input.reports.filter(report =>
        report.state === "leaving" || report.status?.draining === true || byHost.has(report.hostId)
    );
    return leaving.map(report => ({
        hostId: report.hostId,
        state: report.state,
        drainedBy: byHost.get(report.hostId)?.requestedBy,
        draining: report.status?.draining ?? false,
        running: report.status?.server?.runningCount,
    }));
}

/**
 * Builds the status of the services, models, backend servers, leaving hosts and duties, with all known problems.
 *
 * @example
 * toFleetStatus({ config, records, membership, reports, hasReadKeyValueService: true }).problems;
 */
export function toFleetStatus(input: FleetStatusInput) {
    const counts = countReplicasByModel(input.reports);
    const models = [...input.config.models().values()].map(model =>
        describeModel(model, input.records, counts.get(model.modelId))
    );
    return {
        services: [...input.config.services().values()].map(({ serviceId, sectionName, config }) => ({
            serviceId,
            section: sectionName,
            kind: config.kind,
            servers: input.membership.hosts().filter(host => host.serviceId === serviceId && host.state === "live")
                .length,
        })),
        models,
        servers: input.reports.flatMap(describeServer),
        leaving: describeLeavingHosts(input),
        duties: input.reports.flatMap(report =>
            (report.status?.duties ?? []).map(duty => ({ duty, hostId: report.hostId }))
        ),
        problems: findProblems(input, models),
    };
}
