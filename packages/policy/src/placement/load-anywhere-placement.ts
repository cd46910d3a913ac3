import type { PlacementChange, PlacementModel, PlacementPolicy, PlacementServer } from "../types/policies.ts";
import { createRandom, type RandomSource } from "../utils/random.ts";

/** Baseline: grants models to random servers with enough memory. */
export class LoadAnywherePlacement implements PlacementPolicy {
    private readonly random: RandomSource;

    constructor(seed?: number) {
        this.random = createRandom(seed);
    }

    plan(models: readonly PlacementModel[], servers: readonly PlacementServer[]): readonly PlacementChange[] {
        return models.flatMap(model => this.planAdditions(model, servers));
    }

    private planAdditions(model: PlacementModel, servers: readonly PlacementServer[]): PlacementChange[] {
        const grantedServerIds = new Set(model.grants.map(grant => grant.serverId));
        const remainingServers = servers.filter(server =>
            !server.draining && server.memorySizeBytes >= model.memoryBytes && !grantedServerIds.has(server.serverId)
        );
        const changes: PlacementChange[] = [];
        for (
            let grantCount = model.grants.length;
            grantCount < model.maxReplicas && remainingServers.length > 0;
            grantCount += 1
        ) {
            const [server] = remainingServers.splice(this.random.index(remainingServers.length), 1);
            if (server === undefined) break;
            changes.push({ modelId: model.modelId, kind: "add", serverId: server.serverId, reason: "any server" });
        }
        return changes;
    }
}
