import type { ModelDemand } from "../types/demand.ts";
import type { EnginePort, OrderResult } from "../types/engine-port.ts";
import type { Order, OrderBook } from "./order-book.ts";
import type { Replica } from "./replica.ts";

export interface AdapterLoadsOptions {
    readonly engine: EnginePort;
    readonly orders: OrderBook;
    readonly retryAt: (failureCount: number, nowMs: number) => number;
}

/** Loads adapters over loaded models; one load serves all requests that wait for it. */
export class AdapterLoads {
    constructor(private readonly options: AdapterLoadsOptions) {}

    start(replica: Replica, wanted: ModelDemand, nowMs: number): void {
        const { engine, orders } = this.options;
        for (const adapterId of wanted.adapters.keys()) {
            const current = replica.adapterLoads.get(adapterId);
            if (replica.adapters.has(adapterId) || current?.orderId !== undefined) continue;
            if (nowMs < (current?.retryAtMs ?? 0)) continue;
            const orderId = orders.begin({ replica, kind: "adapter", adapterId });
            replica.adapterLoads.set(adapterId, { orderId, failureCount: current?.failureCount ?? 0, retryAtMs: 0 });
            engine.loadAdapter(orderId, replica.modelId, adapterId);
        }
    }

    apply(order: Order, orderId: number, result: OrderResult, nowMs: number): void {
        const { replica } = order;
        const adapterId = order.adapterId!;
        const current = replica.adapterLoads.get(adapterId);
        // The model has left memory meanwhile.
        if (current?.orderId !== orderId) return;
        this.options.orders.touch(replica);
        if (result.isOk()) {
            replica.adapters.add(adapterId);
            replica.adapterLoads.delete(adapterId);
            return;
        }
        const failureCount = current.failureCount + 1;
        const retryAtMs = this.options.retryAt(failureCount, nowMs);
        replica.adapterLoads.set(adapterId, { orderId: undefined, failureCount, retryAtMs });
    }
}
