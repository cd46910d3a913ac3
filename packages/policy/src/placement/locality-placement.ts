import type { DataCentre, ModelId, ServerId } from "@skylarkmill/protocol";
import type { PlacementChange, PlacementModel, PlacementPolicy, PlacementServer } from "../types/policies.ts";
import type { ResolvedPlacementPolicy } from "./create-placement-policy.ts";

/** What the plan has assigned to one server so far. */
interface ServerLoad {
    readonly server: PlacementServer;
    grantedBytes: number;
    /** Memory of the models whose first grant, the one that a burst loads, is on this server. */
    firstBytes: number;
    demandPerSecond: number;
    readonly modelIds: Set<ModelId>;
}

/**
 * Places grants by checkpoint locality, memory of the models granted there, demand and data centre.
 *
 * Grants including those being revoked never exceed `maxReplicas`. A grant stays where it is until its server
 * drains or the replica number is lowered, because a move costs an unload and a load.
 */
export class LocalityPlacement implements PlacementPolicy {
    constructor(private readonly options: ResolvedPlacementPolicy) {}

    plan(models: readonly PlacementModel[], servers: readonly PlacementServer[]): readonly PlacementChange[] {
        const loads = currentLoads(models, servers);
        const ordered = [...models].sort((a, b) =>
            b.demandPerSecond - a.demandPerSecond || b.memoryBytes - a.memoryBytes || compare(a.modelId, b.modelId)
        );
        return [
            ...ordered.flatMap(model => revocations(model, loads)),
            ...this.additions(ordered, loads),
        ];
    }

    /** First grants of all models come before second ones, so that they spread evenly over the servers. */
    private additions(models: readonly PlacementModel[], loads: ReadonlyMap<ServerId, ServerLoad>): PlacementChange[] {
        const progress = models.map(model => {
            const kept = model.grantedTo.filter(grant => !grant.revoking);
            return {
                model,
                held: new Set(model.grantedTo.map(grant => grant.serverId)),
                dataCentres: kept.flatMap(grant => loads.get(grant.serverId)?.server.dataCentre ?? []),
                keptCount: kept.length,
                count: model.grantedTo.length,
            };
        });
        const changes: PlacementChange[] = [];
        const roundCount = Math.max(0, ...models.map(model => model.maxReplicas));
        for (let round = 0; round < roundCount; round += 1) {
            for (const state of progress) {
                if (state.keptCount !== round || state.count >= state.model.maxReplicas) continue;
                const best = this.best(state.model, loads, state.held, state.dataCentres);
                if (best === undefined) continue;
                state.held.add(best.server.serverId);
                state.dataCentres.push(best.server.dataCentre);
                state.keptCount += 1;
                state.count += 1;
                assign(best, state.model, round === 0);
                changes.push(addition(state.model, best.server));
            }
        }
        return changes;
    }

    private best(
        model: PlacementModel,
        loads: ReadonlyMap<ServerId, ServerLoad>,
        held: ReadonlySet<ServerId>,
        dataCentres: readonly DataCentre[],
    ): ServerLoad | undefined {
        let best: ServerLoad | undefined;
        let bestScore = Infinity;
        for (const load of loads.values()) {
            const { server } = load;
            if (server.draining || held.has(server.serverId) || server.memorySizeBytes < model.memoryBytes) continue;
            const score = this.score(model, load, dataCentres);
            if (score > bestScore || (score === bestScore && best && server.serverId > best.server.serverId)) continue;
            best = load;
            bestScore = score;
        }
        return best;
    }

    /** Lower is better. */
    private score(model: PlacementModel, load: ServerLoad, dataCentres: readonly DataCentre[]): number {
        const { localityWeight, memoryWeight, demandWeight, spreadWeight, togetherWeight } = this.options;
        const locality = LOCALITY_COST[load.server.locality.get(model.modelId) ?? "remote"];
        const together = (model.activeTogether ?? []).filter(modelId => load.modelIds.has(modelId)).length;
        const bytes = dataCentres.length === 0 ? load.firstBytes : load.grantedBytes;
        const sameDataCentre = dataCentres.filter(dataCentre => dataCentre === load.server.dataCentre).length;
        // A model in constant use is rarely loaded, so the place of its checkpoint matters little.
        const loadShare = 1 / (1 + model.demandPerSecond);
        return localityWeight * loadShare * locality
            + memoryWeight * (bytes + model.memoryBytes) / load.server.memorySizeBytes
            + demandWeight * load.demandPerSecond
            + spreadWeight * sameDataCentre
            + togetherWeight * together;
    }
}

const LOCALITY_COST = { memory: 0, disk: 0.5, remote: 1 } as const;

function currentLoads(
    models: readonly PlacementModel[],
    servers: readonly PlacementServer[],
): Map<ServerId, ServerLoad> {
    const loads = new Map(servers.map(server => [
        server.serverId,
        { server, grantedBytes: 0, firstBytes: 0, demandPerSecond: 0, modelIds: new Set<ModelId>() },
    ]));
    for (const model of models) {
        const first = model.grantedTo.find(grant => !grant.revoking);
        for (const grant of model.grantedTo) {
            const load = loads.get(grant.serverId);
            if (load !== undefined) assign(load, model, grant === first);
        }
    }
    return loads;
}

function assign(load: ServerLoad, model: PlacementModel, first: boolean): void {
    if (first) load.firstBytes += model.memoryBytes;
    load.grantedBytes += model.memoryBytes;
    load.demandPerSecond += model.demandPerSecond / Math.max(1, model.maxReplicas);
    load.modelIds.add(model.modelId);
}

/** Revokes grants on draining servers, and the last ones beyond a lowered replica number. */
function revocations(model: PlacementModel, loads: ReadonlyMap<ServerId, ServerLoad>): PlacementChange[] {
    const kept = model.grantedTo.filter(grant => !grant.revoking);
    const leaving = kept.filter(grant => loads.get(grant.serverId)?.server.draining === true);
    const staying = kept.filter(grant => !leaving.includes(grant));
    const surplus = staying.slice(Math.max(0, model.maxReplicas));
    return [
        ...leaving.map(grant => revocation(model, grant.serverId, "server is draining")),
        ...surplus.map(grant => revocation(model, grant.serverId, "more grants than replicas")),
    ];
}

function revocation(model: PlacementModel, serverId: ServerId, reason: string): PlacementChange {
    return { modelId: model.modelId, kind: "revoke", serverId, reason };
}

function addition(model: PlacementModel, server: PlacementServer): PlacementChange {
    const reason = `checkpoint: ${server.locality.get(model.modelId) ?? "remote"}`;
    return { modelId: model.modelId, kind: "add", serverId: server.serverId, reason };
}

function compare(a: string, b: string): number {
    return a === b ? 0 : a < b ? -1 : 1;
}
