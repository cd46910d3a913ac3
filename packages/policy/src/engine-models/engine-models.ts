import type { ModelId, ServerId } from "@skylarkmill/protocol";

/** A model that is loaded in an engine. */
export interface LoadedCopy {
    readonly modelId: ModelId;
    readonly sizeMb: number;
    /** Requests in progress that use this copy. */
    readonly activeCount: number;
    /** Time since a request last used this copy. */
    readonly idleMs: number;
}

/** State of one engine, a backend server that runs several models, as input of the planning. */
export interface EngineSnapshot {
    readonly serverId: ServerId;
    /**
     * True if the engine can execute an order now: it is reachable and not leaving, has no order in progress, and its
     * loaded models are known.
     */
    readonly canExecuteOrder: boolean;
    /** True if the engine receives requests: reachable and not leaving. */
    readonly isAvailable: boolean;
    /** Memory of the engine for weights and adapters. */
    readonly memoryMb: number;
    /** Memory used by adapters or reserved for them. */
    readonly adapterMemoryMb: number;
    readonly loadedCopies: readonly LoadedCopy[];
    /** Model that the order in progress loads. */
    readonly loadingModelId: ModelId | undefined;
    /** Model that the order in progress unloads. */
    readonly unloadingModelId: ModelId | undefined;
    /** Models whose weights are cached in host memory. */
    readonly inMemory: ReadonlySet<ModelId>;
    /** Models whose weights are on the engine's disk. */
    readonly onDisk: ReadonlySet<ModelId>;
}

/** Size, load times and demand of one model, as input of the planning. */
export interface ModelSnapshot {
    readonly modelId: ModelId;
    readonly sizeMb: number;
    readonly memoryLoadMs: number;
    readonly diskLoadMs: number;
    readonly storeLoadMs: number;
    /** Requests for the model that are waiting. */
    readonly waitingCount: number;
    readonly oldestWaitMs: number;
    /** Requests in progress over all engines. */
    readonly runningCount: number;
    /** Recent requests per second. */
    readonly ratePerSecond: number;
    /** Recent requests per second that need an adapter; an engine loads no adapter while it loads a model. */
    readonly adapterRatePerSecond: number;
}

export interface EngineModelsInput {
    readonly engines: readonly EngineSnapshot[];
    readonly models: readonly ModelSnapshot[];
    /** Loads from the weight store in progress. */
    readonly storeLoadCount: number;
    /** Concurrent loads that use the weight store's full throughput; the plan starts no more. */
    readonly maxStoreLoadCount: number;
    /** True once all engines are known, so that a model that no engine has can be fetched ahead of demand. */
    readonly allowsPrefetch: boolean;
    /** Concurrent requests per copy above which a further copy is wanted. */
    readonly requestsPerCopy: number;
}

/** Loads a model on an engine, after unloading another model where its memory is needed. */
export interface EngineModelOrder {
    readonly serverId: ServerId;
    readonly load: ModelId;
    readonly unload: ModelId | undefined;
    readonly origin: "memory" | "disk" | "store";
    readonly reason: "waiting" | "scale_out" | "prefetch";
}

/** Decides which engines load and unload which models; each call plans at most one order per engine. */
export interface EngineModelsPolicy {
    plan(input: EngineModelsInput): readonly EngineModelOrder[];
}

/** Baseline: never changes the models that engines loaded at their start. */
export class FixedEngineModelsPolicy implements EngineModelsPolicy {
    plan(): readonly EngineModelOrder[] {
        return [];
    }
}
