import type { AdapterId, ModelId } from "@skylarkmill/protocol";

/** The waiting requests for one model. */
export interface ModelDemand {
    requestCount: number;
    /** Arrival time of the request that started the demand. */
    readonly startedAtMs: number;
    /** Number of waiting requests per adapter. */
    readonly requestCountByAdapter: Map<AdapterId, number>;
}

/** Demand per model, ordered by the time at which the demand started. */
export type DemandByModel = ReadonlyMap<ModelId, ModelDemand>;
