import type { ModelDemand } from "../types/demand.ts";
import type { EnginePort, OrderResult } from "../types/engine-port.ts";
import type { PendingOrder, PendingOrders } from "./pending-orders.ts";
import type { Replica } from "./replica.ts";

export interface AdapterLoaderOptions {
    readonly engine: EnginePort;
    readonly pendingOrders: PendingOrders;
    readonly scheduleRetry: (failureCount: number, nowMs: number) => number;
}

/** Loads adapters of loaded models. One load serves all requests that wait for the adapter. */
export class AdapterLoader {
    constructor(private readonly options: AdapterLoaderOptions) {}

    startLoads(replica: Replica, demand: ModelDemand, nowMs: number): void {
        const { engine, pendingOrders } = this.options;
        for (const adapterId of demand.requestCountByAdapter.keys()) {
            const previous = replica.adapterLoads.get(adapterId);
            if (replica.adapters.has(adapterId) || previous?.orderId !== undefined) continue;
            if (nowMs < (previous?.retryAtMs ?? 0)) continue;
            const orderId = pendingOrders.add({ replica, kind: "adapter", adapterId });
            replica.adapterLoads.set(adapterId, { orderId, failureCount: previous?.failureCount ?? 0, retryAtMs: 0 });
            engine.loadAdapter(orderId, replica.modelId, adapterId);
        }
    }

    applyResult(order: PendingOrder, orderId: number, result: OrderResult, nowMs: number): void {
        const { replica } = order;
        const adapterId = order.adapterId!;
        const load = replica.adapterLoads.get(adapterId);
        // The model was unloaded in the meantime.
        if (load?.orderId !== orderId) return;
        this.options.pendingOrders.ignoreEarlierReads(replica);
        if (result.isOk()) {
            replica.adapters.add(adapterId);
            replica.adapterLoads.delete(adapterId);
            return;
        }
        const failureCount = load.failureCount + 1;
        const retryAtMs = this.options.scheduleRetry(failureCount, nowMs);
        replica.adapterLoads.set(adapterId, { orderId: undefined, failureCount, retryAtMs });
    }
}
