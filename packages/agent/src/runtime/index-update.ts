import type { EngineModel } from "@skylarkmill/adapters";
import type { MemoryLedger } from "./memory-ledger.ts";
import type { Replica } from "./replica.ts";

export interface IndexUpdateContext {
    readonly ledger: MemoryLedger;
    readonly nowMs: number;
    /** Sequence number of the start of the index read. */
    readonly sequence: number;
    readonly settleMs: number;
    readonly checksFencing: boolean;
    /** An order that has no effect in the index after this time is abandoned. */
    readonly orderEffectTimeoutMs: number;
    readonly onOrderLost: (replica: Replica) => void;
    /** Called when the model has left memory or was never loaded; `failed` is true after a failed load. */
    readonly onModelAbsent: (replica: Replica, failed: boolean) => void;
    /** Called when the index shows that an order without a result has taken effect. */
    readonly onOrderCompleted: (orderId: number) => void;
    /** Called when a load order may still arrive and must be fenced with a higher token. */
    readonly onFenceNeeded: (replica: Replica) => void;
}

/** Returns whether a model in this state occupies engine memory. */
export function occupiesMemory(found: EngineModel): boolean {
    return found.state === "loading" || found.state === "ready" || found.state === "unloading";
}

/** Updates the replica of a model that occupies memory according to the index. */
export function applyPresentModel(replica: Replica, found: EngineModel, context: IndexUpdateContext): void {
    // A read that started before the replica's last change may show an outdated state.
    if (context.sequence <= replica.lastChangeSequence) return;
    context.ledger.recordUse(replica.modelId, found.memoryBytes);
    replica.absentSinceMs = undefined;
    if (found.state === "ready") applyReadyModel(replica, found, context);
    if (found.state === "loading" && replica.state !== "unloading") replica.sendEvent("FOUND_LOADING");
    if (found.state === "unloading") replica.sendEvent("FOUND_UNLOADING");
}

function applyReadyModel(replica: Replica, found: EngineModel, context: IndexUpdateContext): void {
    if (replica.state === "unloading") {
        replica.needsUnloadOrder = replica.orderId === undefined;
        abandonLostOrder(replica, context);
        return;
    }
    replica.updateFromIndex(found);
    const { orderId } = replica;
    if (replica.becomeReady(context.nowMs) && orderId !== undefined) context.onOrderCompleted(orderId);
}

/** Updates the replica of a model that does not occupy memory according to the index. */
export function applyAbsentModel(replica: Replica, context: IndexUpdateContext): void {
    if (replica.state === "absent" || context.sequence <= replica.lastChangeSequence) return;
    if (replica.state !== "loading") {
        context.onModelAbsent(replica, false);
        return;
    }
    if (replica.orderId !== undefined) return abandonLostOrder(replica, context);
    if (!replica.canOrderArriveLate) context.onModelAbsent(replica, true);
    else if (context.checksFencing) requestFence(replica, context);
    else if (hasSettleTimePassed(replica, context)) context.onModelAbsent(replica, true);
}

/**
 * Abandons an order that has had no effect within `orderEffectTimeoutMs`. The index shows the effect of an order as
 * soon as it arrives, long before its result.
 */
function abandonLostOrder(replica: Replica, context: IndexUpdateContext): void {
    const { orderId, orderSentAtMs } = replica;
    if (orderId === undefined || orderSentAtMs === undefined) return;
    if (context.nowMs - orderSentAtMs >= context.orderEffectTimeoutMs) context.onOrderLost(replica);
}

function requestFence(replica: Replica, context: IndexUpdateContext): void {
    if (context.nowMs >= replica.retryAtMs) context.onFenceNeeded(replica);
}

/** Without fencing, a load order counts as lost once the model has been absent for `settleMs`. */
function hasSettleTimePassed(replica: Replica, context: IndexUpdateContext): boolean {
    replica.absentSinceMs ??= context.nowMs;
    return context.nowMs - replica.absentSinceMs >= context.settleMs;
}
