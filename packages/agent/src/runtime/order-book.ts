import type { AdapterId } from "@skylarkmill/protocol";
import type { Replica } from "./replica.ts";

/** `fence` carries a raised token to the engine, so that it refuses a load order that arrives late. */
export type OrderKind = "load" | "unload" | "adapter" | "fence";

export interface Order {
    readonly replica: Replica;
    readonly kind: OrderKind;
    readonly adapterId?: AdapterId;
}

/** The orders whose answers are awaited, and the stamps that put them in order with reads of the index. */
export class OrderBook {
    private readonly orders = new Map<number, Order>();
    private lastOrderId = 0;
    private lastStamp = 0;

    nextStamp(): number {
        this.lastStamp += 1;
        return this.lastStamp;
    }

    /** Makes index reads that have begun so far say nothing about the replica. */
    touch(replica: Replica): void {
        replica.orderStamp = this.nextStamp();
    }

    begin(order: Order): number {
        this.lastOrderId += 1;
        this.orders.set(this.lastOrderId, order);
        return this.lastOrderId;
    }

    get(orderId: number): Order | undefined {
        return this.orders.get(orderId);
    }

    end(orderId: number): Order | undefined {
        const order = this.orders.get(orderId);
        this.orders.delete(orderId);
        return order;
    }
}
