import type { AdapterId, KeyDigest, ModelId, ServiceId, WorkspaceId } from "@skylarkmill/protocol";

/** Whether requests of a route may be retried and whether their responses are streams. */
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
    /** Longest time from the arrival of a request to the end of its response. */
    readonly timeoutMs: number;
    /** Latency that the operators aim for; the first byte counts for streams. */
    readonly targetLatencyMs: number;
    /** Silence after which callers abandon a stream, also before its first event; undefined for other routes. */
    readonly callerSilenceTimeoutMs: number | undefined;
    /** Priority of the requests; 0 is the highest. */
    readonly priority: number;
    /** Largest number of backend servers to which one request may be sent. */
    readonly maxAttempts: number;
    /** Whether callers need no key, in a deployment with workspaces. */
    readonly isPublic: boolean;
    /** Whether an interrupted stream may be resumed at another backend server. */
    readonly isResumable: boolean;
}

/** Sizes and load times of a model. */
export interface ModelSpec {
    readonly modelId: ModelId;
    readonly sizeMb: number;
    /** Size of one adapter of the model. */
    readonly adapterSizeMb: number;
    readonly adapterIds: readonly AdapterId[];
    /** Time to load the model from the weight store. */
    readonly storeLoadMs: number;
    /** Time to load the model from a copy on the engine's disk. */
    readonly diskLoadMs: number;
    /** Time to load the model from a copy in main memory. */
    readonly memoryLoadMs: number;
}

/** Limits of the model engines of one service; each applies to every engine unless stated otherwise. */
export interface EngineProfile {
    readonly slotCount: number;
    /** Memory for weights and adapters. */
    readonly memoryMb: number;
    readonly maxAdapters: number;
    /** Loads from the weight store that may start per second, over all engines. */
    readonly storeLoadsPerSecond: number;
    readonly models: ReadonlyMap<ModelId, ModelSpec>;
}

export interface ServiceSpec {
    readonly serviceId: ServiceId;
    readonly maxConnections: number;
    /** Undefined for plain services, which have no model engines. */
    readonly engine: EngineProfile | undefined;
}

/** Limits on callers' requests and connections. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** What the callers of a workspace may use at all gateways together. */
export interface WorkspaceQuota {
    /** What is counted: requests, or the tokens that they state, in and out. */
    readonly unit: "requests" | "tokens";
    readonly ratePerSecond: number;
    readonly burst: number;
    /** Tokens of a request that states none. */
    readonly defaultTokenCount: number;
}

/** A part of a deployment whose callers have keys of their own. */
export interface Workspace {
    readonly workspaceId: WorkspaceId;
    /** Digests of the keys of its callers, see `digestKey`. */
    readonly keyDigests: readonly KeyDigest[];
    /** Priority of its requests, in place of their route's; 0 is the highest. */
    readonly priority: number | undefined;
    /** Undefined without a limit. */
    readonly quota: WorkspaceQuota | undefined;
}

/** One valid version of the operators' configuration. */
export interface GatewayConfiguration {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: ReadonlyMap<ServiceId, ServiceSpec>;
    readonly limits: CallerLimits;
    /** Undefined in a deployment whose callers need no keys. */
    readonly workspaces: readonly Workspace[] | undefined;
}
