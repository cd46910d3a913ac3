import type { EngineModel, Locality } from "@skylarkmill/adapters";
import type { AdapterId, ModelId } from "@skylarkmill/protocol";
import replicaChart from "../charts/replica.json" with { type: "json" };
import { Chart } from "../utils/chart.ts";

export type ReplicaState = "absent" | "loading" | "ready" | "draining" | "unloading";
export type ReplicaEvent =
    | "LOAD"
    | "FOUND_READY"
    | "FOUND_LOADING"
    | "FOUND_UNLOADING"
    | "DRAIN"
    | "KEEP"
    | "UNLOAD"
    | "GONE";

/** Why a replica is unloaded. New demand cancels only an unload with the cause `idle`. */
export type UnloadCause = "no_grant" | "version" | "not_offered" | "idle" | "eviction";

/** Status of a replica in the server status message. */
export interface ReplicaStatus {
    readonly modelId: ModelId;
    readonly modelVersion: string;
    readonly state: ReplicaState;
    readonly adapterIds: AdapterId[];
    readonly locality: Locality;
}

export interface AdapterLoad {
    readonly orderId: number | undefined;
    readonly failureCount: number;
    readonly retryAtMs: number;
}

/** Number of most recent request arrivals that are kept for the residency policy. */
const MAX_ARRIVALS = 16;

/** State of one model at one engine, including its use count and its pending order. */
export class Replica {
    private readonly chart = new Chart<ReplicaState, ReplicaEvent>(replicaChart);
    readonly adapters = new Set<AdapterId>();
    readonly adapterLoads = new Map<AdapterId, AdapterLoad>();
    readonly arrivalsAtMs: number[] = [];
    version = "";
    locality: Locality = "remote";
    inUseCount = 0;
    lastUsedAtMs = 0;
    loadStartedAtMs = 0;
    loadedAtMs = 0;
    unloadCause: UnloadCause | undefined;
    /** True when an unload starts, and when the index still shows the model as ready after the order has ended. */
    needsUnloadOrder = false;
    /** Id of the pending load, unload or fence order. */
    orderId: number | undefined;
    /** When the order was sent; undefined while it waits for a permit. */
    orderSentAtMs: number | undefined;
    /** Index reads up to this sequence number started before the replica's last change and are ignored. */
    lastChangeSequence = 0;
    /** Whether a load order may still reach the engine although its connection broke. */
    canOrderArriveLate = false;
    /** When the index first showed the model as absent while a load order might still arrive. */
    absentSinceMs: number | undefined;
    failureCount = 0;
    retryAtMs = 0;

    constructor(readonly modelId: ModelId) {}

    get state(): ReplicaState {
        return this.chart.state;
    }

    sendEvent(event: ReplicaEvent): boolean {
        return this.chart.send(event);
    }

    recordArrival(nowMs: number): void {
        this.lastUsedAtMs = nowMs;
        this.arrivalsAtMs.push(nowMs);
        if (this.arrivalsAtMs.length > MAX_ARRIVALS) this.arrivalsAtMs.shift();
    }

    toStatus(): ReplicaStatus {
        return {
            modelId: this.modelId,
            modelVersion: this.version,
            state: this.state,
            adapterIds: [...this.adapters],
            locality: this.locality,
        };
    }

    /** Marks the model as ready and ends its order. Returns false when the state has not changed. */
    becomeReady(nowMs: number): boolean {
        if (!this.sendEvent("FOUND_READY")) return false;
        this.orderId = undefined;
        this.canOrderArriveLate = false;
        this.absentSinceMs = undefined;
        this.failureCount = 0;
        this.loadedAtMs = nowMs;
        return true;
    }

    updateFromIndex(found: EngineModel): void {
        this.version = found.version;
        this.locality = found.locality;
        this.adapters.clear();
        for (const adapterId of found.adapterIds) this.adapters.add(adapterId);
    }

    /** Resets the state that belongs to the loaded model after it was unloaded. */
    resetLoadedState(): void {
        this.adapters.clear();
        this.adapterLoads.clear();
        this.unloadCause = undefined;
        this.needsUnloadOrder = false;
        this.orderId = undefined;
        this.canOrderArriveLate = false;
        this.absentSinceMs = undefined;
    }
}
