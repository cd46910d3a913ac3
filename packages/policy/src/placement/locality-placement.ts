import type { DataCentre, ModelId, ServerId } from "@skylarkmill/protocol";
import type { PlacementChange, PlacementModel, PlacementPolicy, PlacementServer } from "../types/policies.ts";
import type { ResolvedPlacementPolicy } from "./create-placement-policy.ts";

/** Existing and planned grants of one server. */
interface ServerGrants {
    readonly server: PlacementServer;
    grantedBytes: number;
    /** Memory of the models whose first grant is on this server; a burst loads models at their first grants. */
    firstGrantBytes: number;
    demandPerSecond: number;
    readonly modelIds: Set<ModelId>;
}

/**
 * Places grants by checkpoint locality, granted memory and demand of each server, and data centre.
 *
 * Additions never raise the number of grants, including those being revoked, above `maxReplicas`. A grant stays on its
 * server until the server drains or `maxReplicas` is lowered, because moving it costs an unload and a load.
 */
export class LocalityPlacement implements PlacementPolicy {
    constructor(private readonly options: ResolvedPlacementPolicy) {}

    plan(models: readonly PlacementModel[], servers: readonly PlacementServer[]): readonly PlacementChange[] {
        const grantsByServer = currentGrants(models, servers);
        const modelsByDemand = [...models].sort((a, b) =>
            b.demandPerSecond - a.demandPerSecond || b.memoryBytes - a.memoryBytes || compareIds(a.modelId, b.modelId)
        );
        return [
            ...modelsByDemand.flatMap(model => planRevocations(model, grantsByServer)),
            ...this.planAdditions(modelsByDemand, grantsByServer),
        ];
    }

    /** Adds the first grants of all models before second ones, so that first grants spread evenly over the servers. */
    private planAdditions(
        models: readonly PlacementModel[],
        grantsByServer: ReadonlyMap<ServerId, ServerGrants>,
    ): PlacementChange[] {
        const modelStates = models.map(model => {
            const keptGrants = model.grants.filter(grant => !grant.revoking);
            return {
                model,
                grantedServerIds: new Set(model.grants.map(grant => grant.serverId)),
                grantedDataCentres: keptGrants.flatMap(grant =>
                    grantsByServer.get(grant.serverId)?.server.dataCentre ?? []
                ),
                keptGrantCount: keptGrants.length,
                grantCount: model.grants.length,
            };
        });
        const changes: PlacementChange[] = [];
        const roundCount = Math.max(0, ...models.map(model => model.maxReplicas));
        for (let round = 0; round < roundCount; round += 1) {
            for (const state of modelStates) {
                if (state.keptGrantCount !== round || state.grantCount >= state.model.maxReplicas) continue;
                const best = this.chooseServer(
                    state.model,
                    grantsByServer,
                    state.grantedServerIds,
                    state.grantedDataCentres,
                );
                if (best === undefined) continue;
                state.grantedServerIds.add(best.server.serverId);
                state.grantedDataCentres.push(best.server.dataCentre);
                state.keptGrantCount += 1;
                state.grantCount += 1;
                addGrant(best, state.model, round === 0);
                changes.push(createAddition(state.model, best.server));
            }
        }
        return changes;
    }

    private chooseServer(
        model: PlacementModel,
        grantsByServer: ReadonlyMap<ServerId, ServerGrants>,
        grantedServerIds: ReadonlySet<ServerId>,
        grantedDataCentres: readonly DataCentre[],
    ): ServerGrants | undefined {
        let best: ServerGrants | undefined;
        let lowestCost = Infinity;
        for (const candidate of grantsByServer.values()) {
            const { server } = candidate;
            if (
                server.draining || grantedServerIds.has(server.serverId) || server.memorySizeBytes < model.memoryBytes
            ) continue;
            const cost = this.placementCost(model, candidate, grantedDataCentres);
            if (cost > lowestCost || (cost === lowestCost && best && server.serverId > best.server.serverId)) continue;
            best = candidate;
            lowestCost = cost;
        }
        return best;
    }

    /** Cost of granting the model to a server; the server with the lowest cost is chosen. */
    private placementCost(
        model: PlacementModel,
        serverGrants: ServerGrants,
        grantedDataCentres: readonly DataCentre[],
    ): number {
        const { localityWeight, memoryWeight, demandWeight, spreadWeight, togetherWeight } = this.options;
        const localityCost = LOCALITY_COST[serverGrants.server.locality.get(model.modelId) ?? "remote"];
        const activeTogetherCount =
            (model.activeTogether ?? []).filter(modelId => serverGrants.modelIds.has(modelId)).length;
        // First grants are spread by the memory of the other first grants, which a burst loads together.
        const competingBytes = grantedDataCentres.length === 0
            ? serverGrants.firstGrantBytes
            : serverGrants.grantedBytes;
        const sameDataCentreCount =
            grantedDataCentres.filter(dataCentre => dataCentre === serverGrants.server.dataCentre).length;
        // A model in constant use is rarely loaded, so the location of its checkpoint matters little.
        const loadFrequencyFactor = 1 / (1 + model.demandPerSecond);
        return localityWeight * loadFrequencyFactor * localityCost
            + memoryWeight * (competingBytes + model.memoryBytes) / serverGrants.server.memorySizeBytes
            + demandWeight * serverGrants.demandPerSecond
            + spreadWeight * sameDataCentreCount
            + togetherWeight * activeTogetherCount;
    }
}

const LOCALITY_COST = { memory: 0, disk: 0.5, remote: 1 } as const;

function currentGrants(
    models: readonly PlacementModel[],
    servers: readonly PlacementServer[],
): Map<ServerId, ServerGrants> {
    const grantsByServer = new Map(servers.map(server => [
        server.serverId,
        { server, grantedBytes: 0, firstGrantBytes: 0, demandPerSecond: 0, modelIds: new Set<ModelId>() },
    ]));
    for (const model of models) {
        const firstGrant = model.grants.find(grant => !grant.revoking);
        for (const grant of model.grants) {
            const serverGrants = grantsByServer.get(grant.serverId);
            if (serverGrants !== undefined) addGrant(serverGrants, model, grant === firstGrant);
        }
    }
    return grantsByServer;
}

/** Adds a grant of the model to the totals of its server. */
function addGrant(serverGrants: ServerGrants, model: PlacementModel, isFirstGrant: boolean): void {
    if (isFirstGrant) serverGrants.firstGrantBytes += model.memoryBytes;
    serverGrants.grantedBytes += model.memoryBytes;
    serverGrants.demandPerSecond += model.demandPerSecond / Math.max(1, model.maxReplicas);
    serverGrants.modelIds.add(model.modelId);
}

/** Revokes grants on draining servers and, after `maxReplicas` was lowered, the last grants in excess of it. */
function planRevocations(
    model: PlacementModel,
    grantsByServer: ReadonlyMap<ServerId, ServerGrants>,
): PlacementChange[] {
    const keptGrants = model.grants.filter(grant => !grant.revoking);
    const drainingGrants = keptGrants.filter(grant => grantsByServer.get(grant.serverId)?.server.draining === true);
    const remainingGrants = keptGrants.filter(grant => !drainingGrants.includes(grant));
    const surplusGrants = remainingGrants.slice(Math.max(0, model.maxReplicas));
    return [
        ...drainingGrants.map(grant => createRevocation(model, grant.serverId, "server is draining")),
        ...surplusGrants.map(grant => createRevocation(model, grant.serverId, "more grants than replicas")),
    ];
}

function createRevocation(model: PlacementModel, serverId: ServerId, reason: string): PlacementChange {
    return { modelId: model.modelId, kind: "revoke", serverId, reason };
}

function createAddition(model: PlacementModel, server: PlacementServer): PlacementChange {
    const reason = `checkpoint: ${server.locality.get(model.modelId) ?? "remote"}`;
    return { modelId: model.modelId, kind: "add", serverId: server.serverId, reason };
}

function compareIds(a: string, b: string): number {
    return a === b ? 0 : a < b ? -1 : 1;
}
