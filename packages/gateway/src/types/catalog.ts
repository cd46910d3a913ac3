import type { AdapterId, ModelId, ServiceId } from "@skylarkmill/protocol";

/** What a route allows to be repeated. */
export type RouteKind = "idempotent" | "non_idempotent" | "streaming";

export interface WeightedService {
    readonly serviceId: ServiceId;
    /** Share of the route's requests, relative to the other weights. */
    readonly weight: number;
}

/** One route of the operators' configuration. */
export interface Route {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly prefix: string;
    readonly kind: RouteKind;
    readonly services: readonly WeightedService[];
    /** Longest time that a request may stay unanswered. */
    readonly timeoutMs: number;
    readonly targetLatencyMs: number;
    /** Silence after which callers leave a stream, also before its first event; left out for other answers. */
    readonly callerPatienceMs: number | undefined;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Largest number of backend servers to which one request may be sent. */
    readonly maxAttempts: number;
    /** Whether a broken stream may go on at another backend server. */
    readonly resumable: boolean;
}

export interface ModelSpec {
    readonly modelId: ModelId;
    readonly sizeMb: number;
    readonly adapterSizeMb: number;
    readonly adapterIds: readonly AdapterId[];
    /** Time of a load from the weight store. */
    readonly storeLoadMs: number;
    readonly diskLoadMs: number;
    readonly memoryLoadMs: number;
}

/** Limits that the model engines of one service share. */
export interface EngineProfile {
    readonly slotCount: number;
    /** Memory for weights and adapters of one engine. */
    readonly memoryMb: number;
    readonly maxAdapters: number;
    /** Loads from the weight store that may begin per second, over all engines. */
    readonly storeLoadsPerSecond: number;
    readonly models: ReadonlyMap<ModelId, ModelSpec>;
}

export interface ServiceSpec {
    readonly serviceId: ServiceId;
    readonly maxConnections: number;
    /** Left out for plain services. */
    readonly engine: EngineProfile | undefined;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** One accepted version of the operators' configuration. */
export interface Catalog {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: ReadonlyMap<ServiceId, ServiceSpec>;
    readonly limits: CallerLimits;
}
