import type { RateStatement } from "@skylarkmill/coordination";
import type { EngineModelOrder } from "@skylarkmill/policy";
import type { AdapterId, ModelId, ServerId } from "@skylarkmill/protocol";
import type { CrashEvidence } from "./crash-evidence.ts";
import type { ServerStart } from "./engine.ts";

/** Number of requests of one gateway that wait for a model or adapter. */
export interface WaitingDemand {
    readonly modelId: ModelId;
    readonly adapterId: AdapterId | undefined;
    readonly count: number;
    readonly oldestWaitMs: number;
}

/** Number of requests of one gateway in progress at one engine, for one model or adapter. */
export interface RunningDemand {
    readonly serverId: ServerId;
    readonly modelId: ModelId;
    readonly adapterId: AdapterId | undefined;
    readonly count: number;
}

/** Number of requests that arrived at one gateway since its last demand message. */
export interface ArrivalDemand {
    readonly modelId: ModelId;
    readonly adapterId: AdapterId | undefined;
    readonly count: number;
}

/** A model load in progress, with the unload before it if there is one. */
export interface EngineJob {
    readonly load: ModelId;
    readonly unload: ModelId | undefined;
    readonly origin: EngineModelOrder["origin"];
    /** Expected duration of the load, without the unload before it. */
    readonly expectedMs: number;
}

/** A loaded model as gateways exchange it: unlike `LoadedModel`, it shows whether the model is being unloaded. */
export interface PlacedModel {
    readonly modelId: ModelId;
    readonly adapterIds: readonly AdapterId[];
    /** The model is being unloaded; no further requests are sent to it. */
    readonly leaving: boolean;
}

/** State of an engine, as tracked by the gateway that sends orders to it. */
export interface EngineState {
    readonly serverId: ServerId;
    /** Unix time at which the engine started. */
    readonly bornAtMs: number;
    /** Orders can be sent to the engine and no model order is in progress. */
    readonly idle: boolean;
    readonly models: readonly PlacedModel[];
    /** Models with a copy of their weights on the engine's disk. */
    readonly onDisk: readonly ModelId[];
    /** Models with a copy of their weights in main memory, ready to be loaded. */
    readonly inMemory: readonly ModelId[];
    /** Model load in progress. */
    readonly job: EngineJob | undefined;
    /** An order is in progress that the holder didn't send, such as one of the holder before it. */
    readonly hasOtherOrder?: boolean | undefined;
    /** Adapters that are being loaded, as `model/adapter`. */
    readonly coming: readonly string[];
}

/** Demand and engine states that one gateway sends to the planner. */
export interface DemandMessage {
    /** Host name of the gateway. */
    readonly gateway: string;
    /** Peer address of the gateway. */
    readonly address: string;
    readonly waiting: readonly WaitingDemand[];
    readonly running: readonly RunningDemand[];
    readonly arrivals: readonly ArrivalDemand[];
    /** Engines to which this gateway sends orders; undefined if the planner already has their current state. */
    readonly engines: readonly EngineState[] | undefined;
    /** Evidence of this gateway, with what it has learnt from others. */
    readonly crashEvidence: readonly CrashEvidence[];
    /** Servers that stated that they leave. */
    readonly leaving: readonly ServerStart[];
    /** Rates that servers stated. */
    readonly rates: readonly RateStatement[];
}

/** Number of requests of all gateways in progress at one engine. */
export interface EngineRequestTotal {
    readonly serverId: ServerId;
    readonly count: number;
}

/** The planner's response to a demand message. */
export interface DemandResponse {
    readonly totals: readonly EngineRequestTotal[];
    /** Evidence of all gateways. */
    readonly crashEvidence: readonly CrashEvidence[];
    /** Servers that stated to any gateway that they leave. */
    readonly leaving: readonly ServerStart[];
    /** Rates that servers stated to any gateway. */
    readonly rates: readonly RateStatement[];
    /** Estimates for the models that the gateway's requests wait for. */
    readonly etas: readonly ModelEta[];
}

/** An adapter and its model. */
export interface AdapterTarget {
    readonly modelId: ModelId;
    readonly adapterId: AdapterId;
}

/**
 * The planner's command to the gateway that sends orders to an engine. The gateway drops a command that the engine's
 * current state doesn't allow.
 */
export type EngineCommand =
    | {
        readonly kind: "model";
        readonly serverId: ServerId;
        readonly load: ModelId;
        readonly unload: ModelId | undefined;
        readonly origin: EngineModelOrder["origin"];
    }
    | {
        readonly kind: "adapter";
        readonly serverId: ServerId;
        readonly load: AdapterTarget;
        readonly unload: AdapterTarget | undefined;
    };

/** An engine with the models that are loaded on it. */
export interface PlacedEngine {
    readonly serverId: ServerId;
    readonly bornAtMs: number;
    readonly models: readonly PlacedModel[];
}

/** Expected time until a model that is not loaded can serve requests. */
export interface ModelEta {
    readonly modelId: ModelId;
    readonly readyInMs: number;
}

/** Placement that the planner sends to the gateways: the whole state, or the changes since a version. */
export interface PlacementState {
    /** Revision at which the planner became a member; a later planner has a higher term. */
    readonly term: number;
    /** Increases with each change within a term. */
    readonly version: number;
    /** Whether the message has only the changes since the requested version; otherwise it replaces the known state. */
    readonly isPartial: boolean;
    readonly engines: readonly PlacedEngine[];
    /** Engines that no gateway reports any more. */
    readonly removed: readonly ServerId[];
    readonly etas: readonly ModelEta[];
    readonly gatewayCount: number;
}
