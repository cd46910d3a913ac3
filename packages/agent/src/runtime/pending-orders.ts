import type { AdapterId } from "@skylarkmill/protocol";
import type { Replica } from "./replica.ts";

/** `fence` sends a higher token to the engine, so that the engine refuses a load order that arrives late. */
export type OrderKind = "load" | "unload" | "adapter" | "fence";

export interface PendingOrder {
    readonly replica: Replica;
    readonly kind: OrderKind;
    readonly adapterId?: AdapterId;
}

/**
 * Stores the orders to the engine whose results are pending. Issues the sequence numbers that tell whether an index
 * read started before a replica's last change.
 */
export class PendingOrders {
    private readonly orders = new Map<number, PendingOrder>();
    private lastOrderId = 0;
    private lastSequence = 0;

    nextSequence(): number {
        this.lastSequence += 1;
        return this.lastSequence;
    }

    /** Makes the replica ignore the results of index reads that have started before this call. */
    ignoreEarlierReads(replica: Replica): void {
        replica.lastChangeSequence = this.nextSequence();
    }

    add(order: PendingOrder): number {
        this.lastOrderId += 1;
        this.orders.set(this.lastOrderId, order);
        return this.lastOrderId;
    }

    get(orderId: number): PendingOrder | undefined {
        return this.orders.get(orderId);
    }

    remove(orderId: number): PendingOrder | undefined {
        const order = this.orders.get(orderId);
        this.orders.delete(orderId);
        return order;
    }
}
