import type { AdapterId, ModelId } from "@skylarkmill/protocol";

/** Requests that wait for one model. */
export interface ModelDemand {
    count: number;
    /** When the model was first asked for since no request waited for it. */
    readonly sinceMs: number;
    readonly adapters: Map<AdapterId, number>;
}

/** In the order in which the models were first asked for. */
export type Demand = ReadonlyMap<ModelId, ModelDemand>;
