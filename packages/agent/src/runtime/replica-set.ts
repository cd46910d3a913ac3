import type { EngineIndex, EngineModel } from "@skylarkmill/adapters";
import { URGENCY } from "@skylarkmill/coordination";
import type { DurationEstimator, ResidencyPolicy } from "@skylarkmill/policy";
import {
    type AdapterId,
    type ModelId,
    OutcomeUnknownError,
    ProtocolError,
    type Refusal,
    RefusedError,
} from "@skylarkmill/protocol";
import type Logger from "bunyan";
import type { DemandByModel, ModelDemand } from "../types/demand.ts";
import type { EnginePort, IndexRead, OrderFailure, OrderResult } from "../types/engine-port.ts";
import type { AgentLimits } from "../types/options.ts";
import { backoffMs } from "../utils/backoff.ts";
import type { Catalog } from "../utils/catalog.ts";
import { AdapterLoader } from "./adapter-loader.ts";
import { applyAbsentModel, applyPresentModel, type IndexUpdateContext, occupiesMemory } from "./index-update.ts";
import { LoadRules } from "./load-rules.ts";
import { MemoryLedger } from "./memory-ledger.ts";
import { type PendingOrder, PendingOrders } from "./pending-orders.ts";
import { Replica, type ReplicaStatus, type UnloadCause } from "./replica.ts";
import { Residency } from "./residency.ts";

export interface ReplicaSetOptions {
    readonly catalog: Catalog;
    readonly engine: EnginePort;
    readonly residency: ResidencyPolicy;
    readonly durations: DurationEstimator;
    readonly limits: AgentLimits;
    readonly logger: Logger;
    /** Removes this server's revoking grant for an unloaded model. Calls while a removal is in progress are ignored. */
    readonly removeGrant: (modelId: ModelId) => void;
    /** Called when an engine with fencing refused an order, possibly because of its fencing token. */
    readonly onOrderRefused: () => void;
    /** Schedules a call of `reconcile` after a delay. */
    readonly wakeAfter: (delayMs: number) => void;
}

/** Number of consecutive failed index reads after which the engine counts as unreachable. */
const UNREACHABLE_FAILURE_COUNT = 2;

/** Manages the replicas at one engine and their memory. Used by the backend task only. */
export class ReplicaSet {
    readonly ledger = new MemoryLedger();
    readonly rules: LoadRules;
    private readonly replicas = new Map<ModelId, Replica>();
    private readonly residency: Residency;
    private readonly pendingOrders = new PendingOrders();
    private readonly adapterLoader: AdapterLoader;
    private engineSlotCount = 0;
    private isIndexRead = false;
    private failedReadCount = 0;
    private currentDemand: DemandByModel = new Map();

    constructor(private readonly options: ReplicaSetOptions) {
        const { catalog, durations } = options;
        this.rules = new LoadRules(catalog, this.ledger);
        this.adapterLoader = new AdapterLoader({
            engine: options.engine,
            pendingOrders: this.pendingOrders,
            scheduleRetry: (failureCount, nowMs) => this.scheduleRetry(failureCount, nowMs),
        });
        this.residency = new Residency({
            catalog,
            durations,
            ledger: this.ledger,
            policy: options.residency,
            replicas: this.replicas,
        });
    }

    get slotCount(): number {
        return this.engineSlotCount;
    }

    /** Whether the engine's index has been read. */
    get hasReadIndex(): boolean {
        return this.isIndexRead;
    }

    get loadedCount(): number {
        return [...this.replicas.values()].filter(replica => replica.state !== "absent").length;
    }

    /** Returns a model of the service that is not in memory, if there is one. */
    findAbsentModel(): ModelId | undefined {
        const service = this.options.catalog.service();
        const names = service?.kind === "model" ? Object.keys(service.models) as ModelId[] : [];
        return names.find(modelId => this.getOrCreate(modelId).state === "absent");
    }

    /** Models in engine memory and models whose checkpoint is on this host's disk or in its main memory. */
    modelStatuses(): ReplicaStatus[] {
        return [...this.replicas.values()]
            .filter(replica => replica.state !== "absent" || replica.locality !== "remote")
            .map(replica => replica.toStatus());
    }

    /** Returns whether requests for the model and the adapter can be sent to the engine now. */
    isReady(modelId: ModelId, adapterId: AdapterId | undefined): boolean {
        const replica = this.replicas.get(modelId);
        if (replica?.state !== "ready") return false;
        return adapterId === undefined || replica.adapters.has(adapterId);
    }

    /** Returns the refusal when the model can't become ready at this server, or undefined. */
    findRefusal(modelId: ModelId): Refusal | undefined {
        const state = this.replicas.get(modelId)?.state;
        const isLoaded = state === "ready" || state === "loading";
        return isLoaded ? this.rules.findUseRefusal(modelId) : this.rules.findLoadRefusal(modelId);
    }

    /** Returns whether an order should still be sent after its wait for a permit. */
    isOrderStillNeeded(modelId: ModelId, kind: "load" | "adapter", urgency: number): boolean {
        if (kind === "adapter") return this.replicas.get(modelId)?.state === "ready";
        const isNeeded = urgency === URGENCY.prefetch || this.currentDemand.has(modelId);
        return isNeeded && this.rules.findLoadRefusal(modelId) === undefined;
    }

    /** Describes what a request for the model is waiting for, as part of a refusal message. */
    waitCause(modelId: ModelId, adapterId: AdapterId | undefined): string {
        const replica = this.replicas.get(modelId);
        if (this.isReady(modelId, adapterId)) return "while the request waited for a slot";
        if (replica?.state === "ready") return "while the adapter was loading";
        if ((replica?.failureCount ?? 0) > 0) return "while a failed load was repeated";
        return replica?.state === "loading"
            ? "while the model was loading"
            : "while the model waited for memory";
    }

    /** Expected time until the model is loaded; 0 if it is loaded already. */
    expectedLoadMs(modelId: ModelId, nowMs: number): number {
        const replica = this.replicas.get(modelId);
        if (replica?.state === "ready") return 0;
        const fullMs = this.residency.expectedLoadMs(modelId);
        if (replica?.state !== "loading") return fullMs;
        return Math.max(0, fullMs - (nowMs - replica.loadStartedAtMs));
    }

    recordArrival(modelId: ModelId, nowMs: number): void {
        this.getOrCreate(modelId).recordArrival(nowMs);
    }

    beginUse(modelId: ModelId): void {
        this.getOrCreate(modelId).inUseCount += 1;
    }

    endUse(modelId: ModelId, nowMs: number): void {
        const replica = this.getOrCreate(modelId);
        replica.inUseCount -= 1;
        replica.lastUsedAtMs = nowMs;
    }

    /** Starts an index read. `applyIndex` gets the result with the returned sequence number or a later one. */
    readIndex(): number {
        const sequence = this.pendingOrders.nextSequence();
        this.options.engine.readIndex(sequence);
        return sequence;
    }

    applyIndex(read: IndexRead, nowMs: number): void {
        if (read.result.isOk()) {
            this.failedReadCount = 0;
            this.updateReplicas(read.result.value, read.sequence, nowMs);
        }
        else {
            const { error } = read.result;
            this.failedReadCount += 1;
            this.options.logger.warn(
                { step: error.step, peer: error.peer, err: error },
                "engine index could not be read",
            );
        }
        this.rules.setEngineReachable(this.failedReadCount < UNREACHABLE_FAILURE_COUNT);
    }

    private updateReplicas(index: EngineIndex, sequence: number, nowMs: number): void {
        this.ledger.setSize(index.memorySizeBytes);
        this.engineSlotCount = index.slotCount;
        this.isIndexRead = true;
        const context: IndexUpdateContext = {
            ledger: this.ledger,
            nowMs,
            sequence,
            settleMs: this.options.limits.settleMs,
            checksFencing: this.checksFencing(),
            orderEffectTimeoutMs: this.options.limits.orderEffectTimeoutMs,
            onOrderLost: replica => this.abandonOrder(replica.orderId),
            onOrderCompleted: orderId => this.abandonOrder(orderId),
            onModelAbsent: (replica, failed) => this.markAbsent(replica, failed, nowMs),
            onFenceNeeded: replica => this.sendFencingToken(replica, nowMs),
        };
        const present = new Map<ModelId, EngineModel>();
        for (const found of index.models) {
            if (occupiesMemory(found)) present.set(found.modelId, found);
            else this.updateLocality(found);
        }
        for (const found of present.values()) applyPresentModel(this.getOrCreate(found.modelId), found, context);
        for (const replica of this.replicas.values()) {
            if (!present.has(replica.modelId)) applyAbsentModel(replica, context);
        }
    }

    applyOrderResult(orderId: number, result: OrderResult, nowMs: number): void {
        const order = this.pendingOrders.remove(orderId);
        if (order === undefined) return;
        // The replica no longer waits for this order: the index has shown its effect, or it was abandoned.
        if (order.kind !== "adapter" && order.replica.orderId !== orderId) return;
        if (result.isErr()) this.handleOrderFailure(order, result.error);
        if (order.kind === "adapter") return this.adapterLoader.applyResult(order, orderId, result, nowMs);
        this.pendingOrders.ignoreEarlierReads(order.replica);
        order.replica.orderId = undefined;
        if (order.kind === "load") this.applyLoadResult(order.replica, result, nowMs);
        else if (order.kind === "unload") this.applyUnloadResult(order.replica, result, nowMs);
        else this.applyFenceResult(order.replica, result, nowMs);
    }

    /** Starts the loads and unloads that records, demand and free memory require. */
    reconcile(demand: DemandByModel, nowMs: number): void {
        this.currentDemand = demand;
        if (!this.rules.allowsOrders || !this.isIndexRead) return;
        for (const replica of this.replicas.values()) this.reconcileReplica(replica, nowMs);
        this.removeRevokingGrants();
        let claimedBytes = 0;
        for (const [modelId, entry] of demand) claimedBytes += this.loadForDemand(modelId, entry, claimedBytes, nowMs);
    }

    /** Unloads idle models and prefetches models according to the residency policy. */
    reviewResidency(demand: DemandByModel, nowMs: number): void {
        if (!this.rules.acceptsLoads || !this.isIndexRead) return;
        for (const id of this.residency.chooseIdleModels(demand, nowMs)) this.startDrain(this.getOrCreate(id), "idle");
        if (demand.size > 0) return;
        const canLoad = (modelId: ModelId): boolean => this.rules.findLoadRefusal(modelId) === undefined;
        for (const modelId of this.residency.choosePrefetches(canLoad, nowMs)) {
            this.tryLoad(this.getOrCreate(modelId), 0, URGENCY.prefetch, nowMs);
        }
    }

    private reconcileReplica(replica: Replica, nowMs: number): void {
        if (replica.state === "ready" || replica.state === "draining") {
            const cause = this.rules.requiredUnloadCause(replica);
            if (cause !== undefined) this.startDrain(replica, cause);
        }
        if (replica.state === "draining" && replica.unloadCause === "idle" && this.currentDemand.has(replica.modelId)) {
            replica.unloadCause = undefined;
            replica.sendEvent("KEEP");
        }
        if (replica.state === "draining" && replica.inUseCount === 0) {
            replica.sendEvent("UNLOAD");
            replica.needsUnloadOrder = true;
            replica.retryAtMs = 0;
        }
        if (replica.state === "unloading" && replica.needsUnloadOrder && nowMs >= replica.retryAtMs) {
            replica.needsUnloadOrder = false;
            this.options.engine.unload(this.addOrder(replica, "unload", nowMs), replica.modelId);
        }
    }

    private startDrain(replica: Replica, cause: UnloadCause): void {
        if (replica.state !== "ready" && replica.state !== "draining") return;
        replica.unloadCause = cause;
        if (replica.sendEvent("DRAIN")) {
            this.options.logger.info(
                { step: "replica.drain", model: replica.modelId, cause },
                "model is unloaded once its requests have ended",
            );
        }
    }

    /**
     * Starts the load of a model with demand, or the evictions that make room for it, or the loads of its adapters.
     * Returns the bytes for which the load still waits, so that models whose demand started later don't use them.
     */
    private loadForDemand(modelId: ModelId, modelDemand: ModelDemand, claimedBytes: number, nowMs: number): number {
        const replica = this.getOrCreate(modelId);
        if (replica.state === "ready") this.adapterLoader.startLoads(replica, modelDemand, nowMs);
        if (replica.state !== "absent" || nowMs < replica.retryAtMs) return 0;
        if (this.findRefusal(modelId) !== undefined) return 0;
        if (this.tryLoad(replica, claimedBytes, URGENCY.waitingRequest, nowMs)) return 0;
        for (
            const evicted of this.residency.chooseEvictions(
                modelId,
                modelDemand,
                claimedBytes,
                this.currentDemand,
                nowMs,
            )
        ) {
            this.startDrain(this.getOrCreate(evicted), "eviction");
            this.reconcileReplica(this.getOrCreate(evicted), nowMs);
        }
        return this.options.catalog.model(modelId)?.memoryBytes ?? 0;
    }

    /** Reserves memory and sends the load order. Returns false when the model does not fit beside `claimedBytes`. */
    private tryLoad(replica: Replica, claimedBytes: number, urgency: number, nowMs: number): boolean {
        const model = this.options.catalog.model(replica.modelId);
        if (model === undefined || model.memoryBytes > this.ledger.freeBytes - claimedBytes) return false;
        if (!this.ledger.tryReserve(replica.modelId, model.memoryBytes)) return false;
        replica.version = model.version;
        replica.loadStartedAtMs = nowMs;
        replica.sendEvent("LOAD");
        const orderId = this.addOrder(replica, "load", undefined);
        this.options.engine.load(orderId, replica.modelId, model.version, model.memoryBytes, urgency);
        return true;
    }

    private sendFencingToken(replica: Replica, nowMs: number): void {
        this.options.engine.sendFencingToken(this.addOrder(replica, "fence", nowMs), replica.modelId);
    }

    /** Records the time at which an order that waited for a permit is sent. */
    recordOrderSent(orderId: number, nowMs: number): void {
        const order = this.pendingOrders.get(orderId);
        if (order?.replica.orderId === orderId) order.replica.orderSentAtMs = nowMs;
    }

    private abandonOrder(orderId: number | undefined): void {
        if (orderId !== undefined) this.options.engine.abandonOrder(orderId);
    }

    private addOrder(replica: Replica, kind: "load" | "unload" | "fence", sentAtMs: number | undefined): number {
        const orderId = this.pendingOrders.add({ replica, kind });
        this.pendingOrders.ignoreEarlierReads(replica);
        replica.orderId = orderId;
        replica.orderSentAtMs = sentAtMs;
        return orderId;
    }

    private applyLoadResult(replica: Replica, result: OrderResult, nowMs: number): void {
        if (result.isOk()) {
            replica.becomeReady(nowMs);
            replica.locality = "memory";
            this.residency.recordLoad(replica.modelId, nowMs - replica.loadStartedAtMs);
            return;
        }
        if (result.error.kind === "not_sent") {
            this.markAbsent(replica, false, nowMs);
            return;
        }
        const { error } = result.error;
        replica.canOrderArriveLate = error instanceof OutcomeUnknownError || error instanceof ProtocolError;
        // Later orders carry a higher token, so that the engine refuses this order if it arrives after them.
        if (replica.canOrderArriveLate) this.options.engine.incrementToken();
        this.readIndex();
    }

    private applyUnloadResult(replica: Replica, result: OrderResult, nowMs: number): void {
        replica.failureCount = result.isOk() ? 0 : replica.failureCount + 1;
        replica.retryAtMs = this.scheduleRetry(Math.max(1, replica.failureCount), nowMs);
        this.readIndex();
    }

    private applyFenceResult(replica: Replica, result: OrderResult, nowMs: number): void {
        const wasReceived = result.isOk()
            || (result.error.kind === "engine" && result.error.error instanceof RefusedError);
        if (wasReceived) replica.canOrderArriveLate = false;
        else replica.retryAtMs = this.scheduleRetry(1, nowMs);
        this.readIndex();
    }

    private markAbsent(replica: Replica, failed: boolean, nowMs: number): void {
        this.abandonOrder(replica.orderId);
        this.pendingOrders.ignoreEarlierReads(replica);
        replica.sendEvent("GONE");
        replica.resetLoadedState();
        this.ledger.release(replica.modelId);
        replica.failureCount = failed ? replica.failureCount + 1 : 0;
        replica.retryAtMs = failed ? this.scheduleRetry(replica.failureCount, nowMs) : 0;
    }

    private removeRevokingGrants(): void {
        for (const id of this.options.catalog.grantedModels()) {
            const own = this.options.catalog.ownGrant(id);
            if (own?.grant.revoking === true && this.getOrCreate(id).state === "absent") this.options.removeGrant(id);
        }
    }

    checksFencing(): boolean {
        const service = this.options.catalog.service();
        return service?.kind === "model" && service.checksFencing;
    }

    private updateLocality(found: EngineModel): void {
        if (found.locality !== "remote" || this.replicas.has(found.modelId)) {
            this.getOrCreate(found.modelId).locality = found.locality;
        }
    }

    private handleOrderFailure(order: PendingOrder, failure: OrderFailure): void {
        if (failure.kind === "not_sent") return;
        const { error } = failure;
        const fields = { step: error.step, peer: error.peer, model: order.replica.modelId, err: error };
        this.options.logger.warn(fields, `${order.kind} order failed`);
        if (error instanceof RefusedError && this.checksFencing()) this.options.onOrderRefused();
    }

    private scheduleRetry(failureCount: number, nowMs: number): number {
        const { retryMinMs, retryMaxMs } = this.options.limits;
        const delayMs = Math.ceil(backoffMs(failureCount, retryMinMs, retryMaxMs));
        this.options.wakeAfter(delayMs);
        return nowMs + delayMs;
    }

    private getOrCreate(modelId: ModelId): Replica {
        const existing = this.replicas.get(modelId);
        if (existing !== undefined) return existing;
        const created = new Replica(modelId);
        this.replicas.set(modelId, created);
        return created;
    }
}
