import { URGENCY } from "@skylarkmill/coordination";
import type { EngineModel } from "@skylarkmill/platform";
import type { DurationEstimator, ResidencyPolicy, ResidentModel } from "@skylarkmill/policy";
import { type AdapterId, type ModelId, OutcomeUnknownError, ProtocolError, type Refusal } from "@skylarkmill/protocol";
import type Logger from "bunyan";
import type { Demand, ModelDemand } from "../types/demand.ts";
import type { EnginePort, IndexRead, OrderFailure, OrderResult } from "../types/engine-port.ts";
import type { AgentLimits } from "../types/options.ts";
import { backoffMs } from "../utils/backoff.ts";
import type { Catalog } from "../utils/catalog.ts";
import { REFUSALS } from "../utils/refusals.ts";
import { applyAbsent, applyPresent, type IndexContext, occupiesMemory } from "./index-facts.ts";
import { MemoryLedger } from "./memory-ledger.ts";
import { Replica, type ReplicaState, type UnloadCause } from "./replica.ts";

export interface ReplicaSetOptions {
    readonly catalog: Catalog;
    readonly engine: EnginePort;
    readonly residency: ResidencyPolicy;
    readonly durations: DurationEstimator;
    readonly limits: AgentLimits;
    readonly logger: Logger;
    /** Removes this server's revoking grant of a model that left memory; repeated calls are ignored. */
    readonly removeGrant: (modelId: ModelId) => void;
}

export interface LoadedModelFacts {
    readonly modelId: ModelId;
    readonly modelVersion: string;
    readonly state: ReplicaState;
    readonly adapterIds: AdapterId[];
    readonly locality: string;
}

interface Order {
    readonly replica: Replica;
    readonly kind: "load" | "unload" | "adapter";
    readonly adapterId?: AdapterId;
}

/** The replicas at one engine with their memory; only the backend task calls it. */
export class ReplicaSet {
    readonly ledger = new MemoryLedger();
    private readonly replicas = new Map<ModelId, Replica>();
    private readonly orders = new Map<number, Order>();
    private lastOrderId = 0;
    private stamp = 0;
    private slots = 0;
    private inventoried = false;
    private mayOrder = false;
    private draining = false;

    constructor(private readonly options: ReplicaSetOptions) {}

    get slotCount(): number {
        return this.slots;
    }

    get acceptsLoads(): boolean {
        return this.mayOrder && !this.draining;
    }

    /** The index has been read. */
    get hasInventory(): boolean {
        return this.inventoried;
    }

    /** Called at the end of the start-up; no order goes out before. */
    allowOrders(): void {
        this.mayOrder = true;
    }

    setDraining(draining: boolean): void {
        this.draining = draining;
    }

    /** Models in memory, and those whose checkpoint lies on this host's disk or in its memory. */
    models(): LoadedModelFacts[] {
        return [...this.replicas.values()]
            .filter(replica => replica.state !== "absent" || replica.locality !== "remote")
            .map(replica => ({
                modelId: replica.modelId,
                modelVersion: replica.version,
                state: replica.state,
                adapterIds: [...replica.adapters],
                locality: replica.locality,
            }));
    }

    get loadedCount(): number {
        return [...this.replicas.values()].filter(replica => replica.state !== "absent").length;
    }

    /** Whether a request for the model, and its adapter, can be sent to the engine now. */
    isReady(modelId: ModelId, adapterId: AdapterId | undefined): boolean {
        const replica = this.replicas.get(modelId);
        if (replica?.state !== "ready") return false;
        return adapterId === undefined || replica.adapters.has(adapterId);
    }

    /** Why waiting for the model is pointless here, or undefined. */
    blockedBy(modelId: ModelId): Refusal | undefined {
        const state = this.replicas.get(modelId)?.state;
        const mayLoad = state === "ready" || state === "loading";
        return mayLoad ? this.blockedUse(modelId) : this.blockedLoad(modelId);
    }

    /** Why no load of the model may start, or undefined. */
    blockedLoad(modelId: ModelId): Refusal | undefined {
        const blocked = this.blockedUse(modelId);
        if (blocked !== undefined) return blocked;
        const { catalog } = this.options;
        const position = catalog.ownGrant(modelId)?.position ?? 0;
        if (position >= (catalog.model(modelId)?.maxReplicas ?? 0)) return REFUSALS.noGrant();
        return this.acceptsLoads ? undefined : REFUSALS.notReady();
    }

    private blockedUse(modelId: ModelId): Refusal | undefined {
        const { catalog } = this.options;
        if (catalog.service() === undefined) return REFUSALS.notReady();
        if (catalog.model(modelId) === undefined) return REFUSALS.modelNotFound();
        const own = catalog.ownGrant(modelId);
        return own === undefined || own.grant.revoking ? REFUSALS.noGrant() : undefined;
    }

    /** Expected time until the model is loaded; 0 when it is. */
    expectedLoadMs(modelId: ModelId, nowMs: number): number {
        const replica = this.replicas.get(modelId);
        if (replica?.state === "ready") return 0;
        const fullMs = this.loadMs(modelId);
        if (replica?.state !== "loading") return fullMs;
        return Math.max(0, fullMs - (nowMs - replica.loadStartedAtMs));
    }

    recordArrival(modelId: ModelId, nowMs: number): void {
        this.get(modelId).recordArrival(nowMs);
    }

    beginUse(modelId: ModelId): void {
        this.get(modelId).inUseCount += 1;
    }

    endUse(modelId: ModelId, nowMs: number): void {
        const replica = this.get(modelId);
        replica.inUseCount -= 1;
        replica.lastUsedAtMs = nowMs;
    }

    /** Asks for the index; the answer comes to `applyIndex`. */
    readIndex(): void {
        this.stamp += 1;
        this.options.engine.readIndex(this.stamp);
    }

    applyIndex(read: IndexRead, nowMs: number): void {
        if (read.result.isErr()) {
            const { error } = read.result;
            this.options.logger.warn(
                { step: error.step, peer: error.peer, err: error },
                "engine index is not available",
            );
            return;
        }
        const index = read.result.value;
        this.ledger.setSize(index.memorySizeBytes);
        this.slots = index.slotCount;
        this.inventoried = true;
        const context: IndexContext = {
            ledger: this.ledger,
            nowMs,
            stamp: read.stamp,
            settleMs: this.options.limits.settleMs,
            onGone: (replica, failed) => this.markGone(replica, failed, nowMs),
        };
        const present = new Map<ModelId, EngineModel>();
        for (const found of index.models) {
            if (occupiesMemory(found)) present.set(found.modelId, found);
            else if (this.replicas.has(found.modelId)) this.get(found.modelId).locality = found.locality;
        }
        for (const found of present.values()) applyPresent(this.get(found.modelId), found, context);
        for (const replica of this.replicas.values()) {
            if (!present.has(replica.modelId)) applyAbsent(replica, context);
        }
    }

    applyOrderResult(orderId: number, result: OrderResult, nowMs: number): void {
        const order = this.orders.get(orderId);
        this.orders.delete(orderId);
        if (order === undefined) return;
        const { replica } = order;
        if (order.kind === "adapter") this.applyAdapterResult(order, orderId, result, nowMs);
        else if (replica.orderId !== orderId) return;
        else if (order.kind === "load") this.applyLoadResult(replica, result, nowMs);
        else this.applyUnloadResult(replica, result, nowMs);
    }

    /** Starts the loads and unloads that records, demand and memory call for. */
    reconcile(demand: Demand, nowMs: number): void {
        if (!this.mayOrder || !this.inventoried) return;
        for (const replica of this.replicas.values()) this.reconcileReplica(replica, demand, nowMs);
        this.removeGrants();
        let claimedBytes = 0;
        for (const [modelId, wanted] of demand) {
            claimedBytes += this.serveDemand(modelId, wanted, claimedBytes, demand, nowMs);
        }
    }

    /** Unloads models whose stay costs more than a likely reload. */
    unloadIdle(demand: Demand, nowMs: number): void {
        if (!this.mayOrder) return;
        const resident = this.residentModels(demand);
        for (const modelId of this.options.residency.idleModels(resident, nowMs)) {
            if (!demand.has(modelId)) this.drain(this.get(modelId), "idle");
        }
    }

    private reconcileReplica(replica: Replica, demand: Demand, nowMs: number): void {
        const cause = this.unloadCause(replica);
        if (cause !== undefined) this.drain(replica, cause);
        if (replica.state === "draining" && replica.unloadCause === "idle" && demand.has(replica.modelId)) {
            replica.unloadCause = undefined;
            replica.send("KEEP");
        }
        if (replica.state === "draining" && replica.inUseCount === 0) {
            replica.send("UNLOAD");
            replica.retryAtMs = 0;
        }
        if (replica.state === "unloading" && replica.orderId === undefined && nowMs >= replica.retryAtMs) {
            this.orderUnload(replica);
        }
    }

    private unloadCause(replica: Replica): UnloadCause | undefined {
        if (replica.state !== "ready" && replica.state !== "draining") return undefined;
        const { catalog } = this.options;
        const own = catalog.ownGrant(replica.modelId);
        if (own === undefined || own.grant.revoking) return "no_grant";
        const service = catalog.service();
        if (service === undefined) return undefined;
        const model = catalog.model(replica.modelId);
        if (model === undefined) return "not_offered";
        return model.version === replica.version ? undefined : "version";
    }

    private drain(replica: Replica, cause: UnloadCause): void {
        if (replica.state !== "ready" && replica.state !== "draining") return;
        replica.unloadCause = cause;
        if (replica.send("DRAIN")) {
            this.options.logger.info({ step: "replica.drain", model: replica.modelId, cause }, "model leaves memory");
        }
    }

    /** Returns the bytes that a waiting load claims, so that later models don't overtake it. */
    private serveDemand(
        modelId: ModelId,
        wanted: ModelDemand,
        claimedBytes: number,
        demand: Demand,
        nowMs: number,
    ): number {
        const replica = this.get(modelId);
        if (replica.state === "ready") this.loadAdapters(replica, wanted, nowMs);
        if (replica.state !== "absent" || nowMs < replica.retryAtMs) return 0;
        if (this.blockedBy(modelId) !== undefined) return 0;
        const model = this.options.catalog.model(modelId);
        if (model === undefined) return 0;
        const fits = model.memoryBytes <= this.ledger.freeBytes - claimedBytes;
        if (fits && this.ledger.tryReserve(modelId, model.memoryBytes)) {
            this.orderLoad(replica, model.version, model.memoryBytes, URGENCY.waitingRequest, nowMs);
            return 0;
        }
        this.evictFor(model.memoryBytes, claimedBytes, demand, nowMs);
        return model.memoryBytes;
    }

    private evictFor(neededBytes: number, claimedBytes: number, demand: Demand, nowMs: number): void {
        let freeBytes = this.ledger.freeBytes - claimedBytes;
        for (const replica of this.replicas.values()) {
            if (replica.state === "draining" || replica.state === "unloading") {
                freeBytes += this.ledger.reservedFor(replica.modelId);
            }
        }
        if (freeBytes >= neededBytes) return;
        const chosen = this.options.residency.evictions(this.residentModels(demand), freeBytes, neededBytes, nowMs);
        for (const modelId of chosen ?? []) {
            const replica = this.get(modelId);
            this.drain(replica, "eviction");
            this.reconcileReplica(replica, demand, nowMs);
        }
    }

    private residentModels(demand: Demand): ResidentModel[] {
        return [...this.replicas.values()].filter(replica => replica.state === "ready").map(replica => ({
            modelId: replica.modelId,
            memoryBytes: this.ledger.reservedFor(replica.modelId),
            inUseCount: replica.inUseCount + (demand.get(replica.modelId)?.count ?? 0),
            lastUsedAtMs: replica.lastUsedAtMs,
            loadedAtMs: replica.loadedAtMs,
            reloadMs: this.loadMs(replica.modelId),
            arrivalsAtMs: replica.arrivalsAtMs,
        }));
    }

    private orderLoad(replica: Replica, version: string, memoryBytes: number, urgency: number, nowMs: number): void {
        const orderId = this.beginOrder(replica, "load");
        replica.version = version;
        replica.memoryBytes = memoryBytes;
        replica.loadStartedAtMs = nowMs;
        replica.send("LOAD");
        this.options.engine.load(orderId, replica.modelId, version, memoryBytes, urgency);
    }

    private orderUnload(replica: Replica): void {
        this.options.engine.unload(this.beginOrder(replica, "unload"), replica.modelId);
    }

    private beginOrder(replica: Replica, kind: "load" | "unload"): number {
        this.lastOrderId += 1;
        this.stamp += 1;
        this.orders.set(this.lastOrderId, { replica, kind });
        replica.orderId = this.lastOrderId;
        replica.orderStamp = this.stamp;
        return this.lastOrderId;
    }

    private loadAdapters(replica: Replica, wanted: ModelDemand, nowMs: number): void {
        for (const adapterId of wanted.adapters.keys()) {
            const current = replica.adapterLoads.get(adapterId);
            if (replica.adapters.has(adapterId) || current?.orderId !== undefined) continue;
            if (nowMs < (current?.retryAtMs ?? 0)) continue;
            this.lastOrderId += 1;
            const orderId = this.lastOrderId;
            this.orders.set(orderId, { replica, kind: "adapter", adapterId });
            replica.adapterLoads.set(adapterId, { orderId, failureCount: current?.failureCount ?? 0, retryAtMs: 0 });
            this.options.engine.loadAdapter(orderId, replica.modelId, adapterId);
        }
    }

    private applyAdapterResult(order: Order, orderId: number, result: OrderResult, nowMs: number): void {
        const { replica } = order;
        const adapterId = order.adapterId!;
        const current = replica.adapterLoads.get(adapterId);
        if (current?.orderId !== orderId) return;
        this.touch(replica);
        if (result.isOk()) {
            replica.adapters.add(adapterId);
            replica.adapterLoads.delete(adapterId);
            return;
        }
        const failureCount = current.failureCount + 1;
        replica.adapterLoads.set(adapterId, {
            orderId: undefined,
            failureCount,
            retryAtMs: this.retryAt(failureCount, nowMs),
        });
        this.logFailure("adapter.load", replica.modelId, result.error);
    }

    private applyLoadResult(replica: Replica, result: OrderResult, nowMs: number): void {
        this.touch(replica);
        replica.orderId = undefined;
        if (result.isOk()) {
            replica.failureCount = 0;
            replica.loadedAtMs = nowMs;
            replica.locality = "memory";
            replica.send("FOUND_READY");
            this.options.durations.record(loadGroup(replica.modelId), nowMs - replica.loadStartedAtMs);
            return;
        }
        if (result.error.kind === "not_sent") {
            this.markGone(replica, true, nowMs);
            return;
        }
        this.logFailure("engine.load", replica.modelId, result.error);
        const { error } = result.error;
        replica.mayArriveLate = error instanceof OutcomeUnknownError || error instanceof ProtocolError;
        this.readIndex();
    }

    private applyUnloadResult(replica: Replica, result: OrderResult, nowMs: number): void {
        this.touch(replica);
        replica.orderId = undefined;
        if (result.isErr()) {
            replica.failureCount += 1;
            this.logFailure("engine.unload", replica.modelId, result.error);
        }
        replica.retryAtMs = this.retryAt(Math.max(1, replica.failureCount), nowMs);
        this.readIndex();
    }

    /** Makes index reads that began before now say nothing about the replica. */
    private touch(replica: Replica): void {
        this.stamp += 1;
        replica.orderStamp = this.stamp;
    }

    private markGone(replica: Replica, failed: boolean, nowMs: number): void {
        replica.send("GONE");
        replica.clear();
        this.ledger.release(replica.modelId);
        replica.failureCount = failed ? replica.failureCount + 1 : 0;
        replica.retryAtMs = failed ? this.retryAt(replica.failureCount, nowMs) : 0;
    }

    private removeGrants(): void {
        for (const modelId of this.options.catalog.grantedModels()) {
            const own = this.options.catalog.ownGrant(modelId);
            if (own?.grant.revoking === true && this.get(modelId).state === "absent") this.options.removeGrant(modelId);
        }
    }

    private retryAt(failureCount: number, nowMs: number): number {
        return nowMs + backoffMs(failureCount, this.options.limits.retryMinMs, this.options.limits.retryMaxMs);
    }

    private loadMs(modelId: ModelId): number {
        const fallbackMs = this.options.catalog.model(modelId)?.expectedLoadMs ?? 0;
        return this.options.durations.expectedMs(loadGroup(modelId), fallbackMs);
    }

    private logFailure(step: string, modelId: ModelId, failure: OrderFailure): void {
        const err = failure.kind === "engine" ? failure.error : undefined;
        this.options.logger.warn({ step, peer: err?.peer ?? "engine", model: modelId, err }, "order failed");
    }

    private get(modelId: ModelId): Replica {
        const known = this.replicas.get(modelId);
        if (known !== undefined) return known;
        const created = new Replica(modelId);
        this.replicas.set(modelId, created);
        return created;
    }
}

function loadGroup(modelId: ModelId): string {
    return `load/${modelId}`;
}
