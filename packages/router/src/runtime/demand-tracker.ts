import type { ModelId } from "@skylarkmill/protocol";

/** Half-life of the exponentially decaying request rate. */
const HALF_LIFE_MS = 30_000;
/** A model without a request for this long is idle; its next request makes it active. */
const IDLE_AFTER_MS = 60_000;
/** Models that become active within this time of each other count as active together. */
const COACTIVATION_WINDOW_MS = 10_000;
/** Maximum number of models stored per model as active together with it. */
const MAX_COACTIVATED_MODELS = 8;
/** Maximum number of recent activations that a new one is compared with. */
const MAX_ACTIVATIONS = 32;

interface ModelDemand {
    ratePerSecond: number;
    updatedAtMs: number;
    /** Models that became active at about the same time, in order from oldest to most recent. */
    readonly coactivatedModelIds: Set<ModelId>;
}

/** Tracks the request rate per model and which models become active together, from this router's requests. */
export class DemandTracker {
    private readonly demands = new Map<ModelId, ModelDemand>();
    private readonly activations: { readonly modelId: ModelId; readonly atMs: number; }[] = [];

    record(modelId: ModelId, nowMs: number): void {
        const demand = this.demands.get(modelId);
        if (demand === undefined || nowMs - demand.updatedAtMs > IDLE_AFTER_MS) this.activate(modelId, nowMs);
        const current = this.demands.get(modelId)!;
        // The added amount has an integral of one over its decay, so that the rate is in requests per second.
        current.ratePerSecond = decayedRate(current, nowMs) + Math.LN2 * 1000 / HALF_LIFE_MS;
        current.updatedAtMs = nowMs;
    }

    /** Returns the recent request rate of the model. */
    ratePerSecond(modelId: ModelId, nowMs: number): number {
        const demand = this.demands.get(modelId);
        return demand === undefined ? 0 : decayedRate(demand, nowMs);
    }

    /** Returns the models that recently became active together with the model. */
    activeTogether(modelId: ModelId): readonly ModelId[] {
        return [...this.demands.get(modelId)?.coactivatedModelIds ?? []];
    }

    private activate(modelId: ModelId, nowMs: number): void {
        const demand = this.getOrCreateDemand(modelId, nowMs);
        for (const other of this.activations) {
            if (nowMs - other.atMs > COACTIVATION_WINDOW_MS || other.modelId === modelId) continue;
            addCoactivatedModel(demand, other.modelId);
            addCoactivatedModel(this.getOrCreateDemand(other.modelId, nowMs), modelId);
        }
        this.activations.push({ modelId, atMs: nowMs });
        if (this.activations.length > MAX_ACTIVATIONS) this.activations.shift();
    }

    private getOrCreateDemand(modelId: ModelId, nowMs: number): ModelDemand {
        let demand = this.demands.get(modelId);
        if (demand === undefined) {
            demand = { ratePerSecond: 0, updatedAtMs: nowMs, coactivatedModelIds: new Set() };
            this.demands.set(modelId, demand);
        }
        return demand;
    }
}

function decayedRate(demand: ModelDemand, nowMs: number): number {
    return demand.ratePerSecond * 0.5 ** ((nowMs - demand.updatedAtMs) / HALF_LIFE_MS);
}

function addCoactivatedModel(demand: ModelDemand, modelId: ModelId): void {
    demand.coactivatedModelIds.delete(modelId);
    demand.coactivatedModelIds.add(modelId);
    const [oldest] = demand.coactivatedModelIds;
    if (demand.coactivatedModelIds.size > MAX_COACTIVATED_MODELS && oldest !== undefined) {
        demand.coactivatedModelIds.delete(oldest);
    }
}
