import type { AdapterId, ModelId } from "@skylarkmill/protocol";

/** Requests that wait for one model, in the order in which the models were first asked for. */
export interface ModelDemand {
    count: number;
    readonly adapters: Map<AdapterId, number>;
}

export type Demand = ReadonlyMap<ModelId, ModelDemand>;
