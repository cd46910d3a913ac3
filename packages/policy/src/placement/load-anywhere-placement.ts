import type { PlacementChange, PlacementModel, PlacementPolicy, PlacementServer } from "../types/policies.ts";
import { createRandom, type RandomSource } from "../utils/random.ts";

/** Baseline: grants go to any servers with equal probability. */
export class LoadAnywherePlacement implements PlacementPolicy {
    private readonly random: RandomSource;

    constructor(seed?: number) {
        this.random = createRandom(seed);
    }

    plan(models: readonly PlacementModel[], servers: readonly PlacementServer[]): readonly PlacementChange[] {
        return models.flatMap(model => this.planModel(model, servers));
    }

    private planModel(model: PlacementModel, servers: readonly PlacementServer[]): PlacementChange[] {
        const held = new Set(model.grantedTo.map(grant => grant.serverId));
        const pool = servers.filter(server =>
            !server.draining && server.memorySizeBytes >= model.memoryBytes && !held.has(server.serverId)
        );
        const changes: PlacementChange[] = [];
        for (let count = model.grantedTo.length; count < model.maxReplicas && pool.length > 0; count += 1) {
            const [server] = pool.splice(this.random.index(pool.length), 1);
            if (server === undefined) break;
            changes.push({ modelId: model.modelId, kind: "add", serverId: server.serverId, reason: "any server" });
        }
        return changes;
    }
}
