import type { DurationEstimator, ResidencyModel, ResidencyPolicy } from "@skylarkmill/policy";
import type { ModelId } from "@skylarkmill/protocol";
import type { DemandByModel, ModelDemand } from "../types/demand.ts";
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

/** After this many load times, a model with waiting requests may evict a model that is in constant use. */
const FAIR_WAIT_LOAD_TIMES = 2;
const MIN_FAIR_WAIT_MS = 1000;

/** Chooses which models to evict, unload and prefetch, based on the residency policy. */
export class Residency {
    constructor(private readonly options: ResidencyOptions) {}

    /** Expected duration of a load of the model, learned from earlier loads. */
    expectedLoadMs(modelId: ModelId): number {
        const fallbackMs = this.options.catalog.model(modelId)?.expectedLoadMs ?? 0;
        return this.options.durations.expectedMs(loadDurationGroup(modelId), fallbackMs);
    }

    recordLoad(modelId: ModelId, durationMs: number): void {
        this.options.durations.record(loadDurationGroup(modelId), durationMs);
    }

    chooseIdleModels(demand: DemandByModel, nowMs: number): readonly ModelId[] {
        const idle = this.options.policy.chooseIdleModels(this.listResidencyModels(demand), nowMs);
        return idle.filter(modelId => !demand.has(modelId));
    }

    /**
     * Returns the models to unload so that a waiting model fits. Memory of draining and unloading models counts as
     * free. If the other models are all in use, they may be evicted once the model has waited for the fair wait time.
     */
    chooseEvictions(
        modelId: ModelId,
        modelDemand: ModelDemand,
        claimedBytes: number,
        demand: DemandByModel,
        nowMs: number,
    ): readonly ModelId[] {
        const { policy, ledger, replicas, catalog } = this.options;
        const neededBytes = catalog.model(modelId)?.memoryBytes ?? 0;
        let freeBytes = ledger.freeBytes - claimedBytes;
        for (const replica of replicas.values()) {
            if (replica.state === "draining" || replica.state === "unloading") {
                freeBytes += ledger.reservedBytesFor(replica.modelId);
            }
        }
        if (freeBytes >= neededBytes) return [];
        const resident = this.listResidencyModels(demand);
        const chosen = policy.chooseEvictions(resident, freeBytes, neededBytes, nowMs);
        if (chosen !== undefined) return chosen;
        const fairWaitMs = Math.max(MIN_FAIR_WAIT_MS, FAIR_WAIT_LOAD_TIMES * this.expectedLoadMs(modelId));
        if (nowMs - modelDemand.startedAtMs < fairWaitMs) return [];
        const asIfIdle = resident.map(model => ({ ...model, inUseCount: 0 }));
        return policy.chooseEvictions(asIfIdle, freeBytes, neededBytes, nowMs) ?? [];
    }

    /** Returns absent models that this server may load and that are likely to be requested soon. */
    choosePrefetches(canLoad: (modelId: ModelId) => boolean, nowMs: number): readonly ModelId[] {
        const { policy, ledger, replicas, catalog } = this.options;
        const absent = [...replicas.values()]
            .filter(replica => replica.state === "absent" && nowMs >= replica.retryAtMs && canLoad(replica.modelId))
            .map(replica => this.toResidencyModel(replica, catalog.model(replica.modelId)?.memoryBytes ?? 0, 0));
        return absent.length === 0 ? [] : policy.choosePrefetches(absent, ledger.freeBytes, nowMs);
    }

    private listResidencyModels(demand: DemandByModel): ResidencyModel[] {
        return [...this.options.replicas.values()].filter(replica => replica.state === "ready").map(replica => {
            const waitingCount = demand.get(replica.modelId)?.requestCount ?? 0;
            return this.toResidencyModel(replica, this.options.ledger.reservedBytesFor(replica.modelId), waitingCount);
        });
    }

    private toResidencyModel(replica: Replica, memoryBytes: number, waitingCount: number): ResidencyModel {
        return {
            modelId: replica.modelId,
            memoryBytes,
            inUseCount: replica.inUseCount + waitingCount,
            lastUsedAtMs: replica.lastUsedAtMs,
            loadedAtMs: replica.loadedAtMs,
            reloadMs: this.expectedLoadMs(replica.modelId),
            arrivalsAtMs: replica.arrivalsAtMs,
        };
    }
}

function loadDurationGroup(modelId: ModelId): string {
    return `load/${modelId}`;
}
