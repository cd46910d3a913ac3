import type { DurationEstimator, ResidencyPolicy, ResidentModel } from "@skylarkmill/policy";
import type { ModelId } from "@skylarkmill/protocol";
import type { Demand, ModelDemand } from "../types/demand.ts";
import type { Catalog } from "../utils/catalog.ts";
import type { MemoryLedger } from "./memory-ledger.ts";
import type { Replica } from "./replica.ts";

export interface ResidencyOptions {
    readonly catalog: Catalog;
    readonly ledger: MemoryLedger;
    readonly policy: ResidencyPolicy;
    readonly durations: DurationEstimator;
    readonly replicas: ReadonlyMap<ModelId, Replica>;
}

/** A waiting model takes memory from one in constant use after this many load times. */
const FAIR_WAIT_LOADS = 2;
const MIN_FAIR_WAIT_MS = 1000;

/** Chooses what stays in memory, with the residency policy. */
export class Residency {
    constructor(private readonly options: ResidencyOptions) {}

    /** Expected duration of a load, learned per model. */
    loadMs(modelId: ModelId): number {
        const fallbackMs = this.options.catalog.model(modelId)?.expectedLoadMs ?? 0;
        return this.options.durations.expectedMs(loadGroup(modelId), fallbackMs);
    }

    recordLoad(modelId: ModelId, durationMs: number): void {
        this.options.durations.record(loadGroup(modelId), durationMs);
    }

    idleModels(demand: Demand, nowMs: number): readonly ModelId[] {
        const idle = this.options.policy.idleModels(this.resident(demand), nowMs);
        return idle.filter(modelId => !demand.has(modelId));
    }

    /**
     * Models to unload so that a waiting model fits. Memory that is being freed counts as free.
     * When all others are in use, one of them goes once the model has waited for long.
     */
    evictionsFor(
        modelId: ModelId,
        wanted: ModelDemand,
        claimedBytes: number,
        demand: Demand,
        nowMs: number,
    ): readonly ModelId[] {
        const { policy, ledger, replicas, catalog } = this.options;
        const neededBytes = catalog.model(modelId)?.memoryBytes ?? 0;
        let freeBytes = ledger.freeBytes - claimedBytes;
        for (const replica of replicas.values()) {
            if (replica.state === "draining" || replica.state === "unloading") {
                freeBytes += ledger.reservedFor(replica.modelId);
            }
        }
        if (freeBytes >= neededBytes) return [];
        const resident = this.resident(demand);
        const chosen = policy.evictions(resident, freeBytes, neededBytes, nowMs);
        if (chosen !== undefined) return chosen;
        const fairWaitMs = Math.max(MIN_FAIR_WAIT_MS, FAIR_WAIT_LOADS * this.loadMs(modelId));
        if (nowMs - wanted.sinceMs < fairWaitMs) return [];
        const asIfIdle = resident.map(model => ({ ...model, inUseCount: 0 }));
        return policy.evictions(asIfIdle, freeBytes, neededBytes, nowMs) ?? [];
    }

    /** Absent models that this server may load and that are likely to be asked for soon. */
    prefetches(mayLoad: (modelId: ModelId) => boolean, nowMs: number): readonly ModelId[] {
        const { policy, ledger, replicas, catalog } = this.options;
        const absent = [...replicas.values()]
            .filter(replica => replica.state === "absent" && nowMs >= replica.retryAtMs && mayLoad(replica.modelId))
            .map(replica => this.toResident(replica, catalog.model(replica.modelId)?.memoryBytes ?? 0, 0));
        return absent.length === 0 ? [] : policy.prefetches(absent, ledger.freeBytes, nowMs);
    }

    private resident(demand: Demand): ResidentModel[] {
        return [...this.options.replicas.values()].filter(replica => replica.state === "ready").map(replica => {
            const waitingCount = demand.get(replica.modelId)?.count ?? 0;
            return this.toResident(replica, this.options.ledger.reservedFor(replica.modelId), waitingCount);
        });
    }

    private toResident(replica: Replica, memoryBytes: number, waitingCount: number): ResidentModel {
        return {
            modelId: replica.modelId,
            memoryBytes,
            inUseCount: replica.inUseCount + waitingCount,
            lastUsedAtMs: replica.lastUsedAtMs,
            loadedAtMs: replica.loadedAtMs,
            reloadMs: this.loadMs(replica.modelId),
            arrivalsAtMs: replica.arrivalsAtMs,
        };
    }
}

function loadGroup(modelId: ModelId): string {
    return `load/${modelId}`;
}
