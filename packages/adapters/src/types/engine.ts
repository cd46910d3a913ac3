import type {
    AdapterId,
    ModelId,
    OutcomeUnknownError,
    ProtocolError,
    RefusedError,
    UnavailableError,
} from "@skylarkmill/protocol";
import type { ResultAsync } from "neverthrow";
import type { Readable } from "node:stream";

/**
 * Nearest storage of a model's checkpoint: the main memory of the engine's host, the host's disk, or only the remote
 * weight store.
 */
export type Locality = "memory" | "disk" | "remote";

/** Models in the states `loading` and `unloading` also occupy memory. */
export type EngineModelState = "loading" | "ready" | "unloading" | "absent" | "failed";

export interface EngineModel {
    readonly modelId: ModelId;
    readonly version: string;
    readonly state: EngineModelState;
    readonly memoryBytes: number;
    readonly locality: Locality;
    readonly adapterIds: readonly AdapterId[];
}

export interface EngineIndex {
    readonly memorySizeBytes: number;
    /** Maximum number of requests that the engine runs concurrently. */
    readonly slotCount: number;
    readonly models: readonly EngineModel[];
}

export interface LoadOrder {
    readonly modelId: ModelId;
    readonly version: string;
    readonly memoryBytes: number;
    /** An engine that checks fencing tokens refuses orders whose token is lower than one it has already received. */
    readonly fencingToken: number;
}

export interface UnloadOrder {
    readonly modelId: ModelId;
    readonly fencingToken: number;
}

export interface AdapterOrder {
    readonly modelId: ModelId;
    readonly adapterId: AdapterId;
    readonly fencingToken: number;
}

export type EngineError = UnavailableError | OutcomeUnknownError | RefusedError | ProtocolError;

/** Sends orders to one model engine. The result of an order arrives once the engine has completed it. */
export interface EngineControl {
    /** Reads the engine's memory size, slot count and models. */
    readIndex(): ResultAsync<EngineIndex, EngineError>;
    load(order: LoadOrder, signal?: AbortSignal): ResultAsync<void, EngineError>;
    unload(order: UnloadOrder, signal?: AbortSignal): ResultAsync<void, EngineError>;
    loadAdapter(order: AdapterOrder, signal?: AbortSignal): ResultAsync<void, EngineError>;
}

/** Sends requests to a backend server: a model engine or a plain service. */
export interface BackendClient {
    /**
     * Resolves with the response head, and the body as a stream.
     * Fails with `UnavailableError` if no byte of the request was sent, and with `OutcomeUnknownError` if it may have
     * run.
     */
    send(request: BackendRequest): ResultAsync<BackendResponse, UnavailableError | OutcomeUnknownError>;
}

export interface BackendResponse {
    readonly statusCode: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    /** Fails if the connection breaks before the end of the body. */
    readonly body: Readable;
}

export interface BackendRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array | string | undefined;
    readonly signal: AbortSignal;
}
