import type {
    AdapterId,
    DataCentre,
    KeyDigest,
    ModelId,
    PromptPartId,
    RequestId,
    ServerId,
    ServiceId,
    SkylarkmillError,
    WorkspaceId,
} from "@skylarkmill/protocol";
import type { ResultAsync } from "neverthrow";
import type { RequestBody } from "../runtime/request-body.ts";

export interface Address {
    readonly host: string;
    readonly port: number;
}

/** A model that is loaded in an engine's memory, with its loaded adapters. */
export interface LoadedModel {
    readonly modelId: ModelId;
    readonly adapterIds: readonly AdapterId[];
}

/** The record that a backend server writes to the key-value service. */
export interface ServerRecord {
    readonly serverId: ServerId;
    readonly serviceId: ServiceId;
    readonly address: Address;
    readonly dataCentre: DataCentre;
    readonly draining: boolean;
    /** Unix time at which the server started; distinguishes two starts with the same server id. */
    readonly bornAtMs: number;
    readonly slotCount: number;
    /** Number of orders accepted since the server started. */
    readonly sequence: number;
    readonly models: readonly LoadedModel[];
    /** Models with a copy of their weights on the engine's disk. */
    readonly onDisk: readonly ModelId[];
    /** Models with a copy of their weights in main memory, ready to be loaded. */
    readonly inMemory: readonly ModelId[];
}

/** State that a model engine reports; lags by a few hundred milliseconds. */
export interface EngineReport {
    readonly bornAtMs: number;
    /** A model order is in progress. */
    readonly isBusy: boolean;
    readonly sequence: number;
    readonly models: readonly LoadedModel[];
    /** Number of adapters that are being loaded. */
    readonly pendingAdapterCount: number;
    readonly onDisk: readonly ModelId[];
    readonly inMemory: readonly ModelId[];
}

/** An order to a model engine to load or unload a model or adapter. */
export interface EngineOrder {
    readonly kind: "load" | "unload";
    readonly modelId: ModelId;
    readonly adapterId?: AdapterId | undefined;
    /** Sequence that the engine must have; it refuses the order at any other sequence. */
    readonly expectedSequence: number;
    /** Host that sends the order. */
    readonly holder: string;
    readonly fencingToken: number;
}

/**
 * Result of an order. `accepted`: the engine is carrying out the order. `already_held`: the engine is already in the
 * ordered state, or reaches it immediately, as by unloading an adapter. `stale`: the engine has another sequence or
 * another order in progress. `fenced`: the engine has seen a higher fencing token. `superseded`: the retry of an order
 * without a result was stale, so the first attempt may have taken effect. `gone`: the address belongs to another
 * server. `invalid`: the engine rejects the order as malformed. `unknown`: no result arrived, or none of these.
 */
export type OrderOutcome =
    | "accepted"
    | "already_held"
    | "stale"
    | "superseded"
    | "fenced"
    | "gone"
    | "invalid"
    | "unknown";

/** A caller's request, independent of the platform's header names. */
export interface CallerRequest {
    readonly requestId: RequestId;
    /** Digest of the caller's access key, see `digestKey`; undefined without a key. */
    readonly keyDigest: KeyDigest | undefined;
    /** Workspace that the key belongs to; backend servers are told its name. */
    readonly workspaceId: WorkspaceId | undefined;
    readonly method: string;
    /** Path with query, forwarded unchanged. */
    readonly path: string;
    readonly host: string;
    readonly modelId: ModelId | undefined;
    readonly adapterId: AdapterId | undefined;
    /** Whether the caller states the numbers of tokens; they are 0 otherwise. */
    readonly hasTokenCount: boolean;
    readonly promptTokenCount: number;
    readonly maxOutputTokenCount: number;
    /** Parts of the prompt that other requests may have too, in order. */
    readonly sharedPromptParts: readonly PromptPartId[];
    /** Id of the last stream event that the caller has received. */
    readonly lastEventId: number | undefined;
    /** Time for which the caller waits, from the arrival of the request. */
    readonly deadlineMs: number | undefined;
    /** Headers to forward, as alternating names and values; none of them holds a key. */
    readonly headers: readonly string[];
    readonly body: RequestBody | undefined;
}

/** One attempt of a request at one backend server. */
export interface EngineCall {
    readonly request: CallerRequest;
    readonly server: ServerRecord;
    /** Time left until the request's deadline, from the moment when the attempt is sent. */
    readonly deadlineMs: number;
    /** Priority from 0 to 9; 0 is admitted first. */
    readonly priority: number | undefined;
    /** Id of the last stream event relayed to the caller; before the first one, the id that its request names. */
    readonly lastEventId: number | undefined;
    /** Version of the model weights with which a resumed stream must continue. */
    readonly weightVersion: number | undefined;
}

/** Load of a backend server, as reported in a response. */
export interface ReportedLoad {
    readonly runningCount: number;
    readonly waitingCount: number;
    readonly slotCount: number;
}

/** Status, headers and platform data of a response. */
export interface ResponseHead {
    readonly status: number;
    /** The backend server states that it did not run the request that the response names. */
    readonly isMarkedNotRun: boolean;
    /** The response names this request; another one may be late, or a copy. */
    readonly namesRequest: boolean;
    /** The response carries a backend server's signature, which the gateway does not verify. */
    readonly isSigned: boolean;
    readonly weightVersion: number | undefined;
    readonly load: ReportedLoad | undefined;
    /** The response has a length or chunked encoding; otherwise its end is that of the connection, also if it is early. */
    readonly isFramed: boolean;
    /** Length of the body as the head states it; 0 if it states none. */
    readonly statedByteCount: number;
    /** Headers for the caller, as alternating names and values. */
    readonly headers: readonly string[];
}

/** What a backend server states about itself in any of its responses. */
export interface ServerNotice {
    /** The server takes no more requests until it starts again. */
    readonly isLeaving: boolean;
    /** Time for which the server wants nothing from this host. */
    readonly holdMs: number | undefined;
    /** Text that should state such a time and is invalid. */
    readonly invalidHold: string | undefined;
    /** Undefined for a response that can't tell whether the server limits its rate. */
    readonly rate: RateNotice | undefined;
}

/** What a response of a backend server states about the rate of requests that it takes from all hosts together. */
export interface RateNotice {
    /** Requests per second; undefined if the response states no rate. */
    readonly ratePerSecond: number | undefined;
    /** Text that should state a rate and is invalid. */
    readonly invalidRate: string | undefined;
    /** Time at which the request was sent, on the monotonic clock. */
    readonly sentAtMs: number;
}

/** One start of a backend server. */
export interface ServerStart {
    readonly serverId: ServerId;
    readonly bornAtMs: number;
}

/** Receives one response; either `onEnd` or `onFailure` is called once, as the last call. */
export interface ResponseListener {
    onHead(head: ResponseHead): void;
    onData(chunk: Buffer): void;
    onEnd(): void;
    /** `wasSent`: the backend server may have received a part of the request, and so may have run it. */
    onFailure(error: Error, wasSent: boolean): void;
}

/** Controls a request that has been sent to a backend server. */
export interface EngineExchange {
    /** Closes the connection, which stops the run at most backend servers; the listener is not called afterwards. */
    cancel(): void;
    pause(): void;
    resume(): void;
    /** Adds events into which the newest data was split, since they cost time too. */
    countPieces(count: number): void;
    /** Whether the response isn't read for a while, since reading it has taken long. */
    readonly isHeld: boolean;
    /** Time at which the response was last read again after that, on the monotonic clock; -Infinity before. */
    readonly releasedAtMs: number;
}

/** Sends requests and orders to backend servers. */
export interface EngineClient {
    /** Sets the listener for servers' notices, which is called before the response that contains one is passed on. */
    onNotice(listener: (server: ServerRecord, notice: ServerNotice) => void): void;
    sendRequest(call: EngineCall, listener: ResponseListener): EngineExchange;
    sendOrder(server: ServerRecord, order: EngineOrder): Promise<OrderOutcome>;
    readReport(server: ServerRecord): ResultAsync<EngineReport, SkylarkmillError>;
}
