import type {
    AdapterId,
    DataCentre,
    ModelId,
    RequestId,
    ServerId,
    ServiceId,
    SkylarkmillError,
} from "@skylarkmill/protocol";
import type { ResultAsync } from "neverthrow";

export interface Address {
    readonly host: string;
    readonly port: number;
}

/** A model in an engine's memory. */
export interface HeldModel {
    readonly modelId: ModelId;
    readonly adapterIds: readonly AdapterId[];
}

/** What a backend server says of itself in the key-value service. */
export interface ServerRecord {
    readonly serverId: ServerId;
    readonly serviceId: ServiceId;
    readonly address: Address;
    readonly dataCentre: DataCentre;
    readonly draining: boolean;
    /** Unix time of its start; tells two starts under one id apart. */
    readonly bornAtMs: number;
    readonly slotCount: number;
    /** Orders accepted since its start. */
    readonly sequence: number;
    readonly models: readonly HeldModel[];
    readonly onDisk: readonly ModelId[];
    readonly inMemory: readonly ModelId[];
}

/** A model engine's own report; some hundred milliseconds old. */
export interface EngineReport {
    readonly bornAtMs: number;
    readonly busy: boolean;
    readonly sequence: number;
    readonly models: readonly HeldModel[];
    readonly comingAdapterCount: number;
    readonly onDisk: readonly ModelId[];
    readonly inMemory: readonly ModelId[];
}

export interface EngineOrder {
    readonly kind: "load" | "unload";
    readonly modelId: ModelId;
    readonly adapterId?: AdapterId | undefined;
    /** Sequence at which the order applies; the engine refuses it at any other. */
    readonly expectedSequence: number;
    readonly holder: string;
    readonly fencingToken: number;
}

/**
 * `stale`: another sequence or another order in progress. `fenced`: a higher fencing token was used before.
 * `superseded`: stale when it was sent once more after a lost answer, so that it may have taken effect the first time.
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

/** A caller's request as the gateway handles it, free of the platform's names. */
export interface CallerRequest {
    readonly requestId: RequestId;
    readonly method: string;
    /** Path with query, passed on unchanged. */
    readonly path: string;
    readonly host: string;
    readonly modelId: ModelId | undefined;
    readonly adapterId: AdapterId | undefined;
    readonly promptTokenCount: number;
    readonly maxOutputTokenCount: number;
    /** Id of the last event that the caller has. */
    readonly lastEventId: number | undefined;
    /** Time that the caller waits, from the arrival of the request. */
    readonly deadlineMs: number | undefined;
    /** Headers to pass on, as name and value in turn. */
    readonly headers: readonly string[];
    readonly body: Buffer | undefined;
}

/** One attempt of a request at one backend server. */
export interface EngineCall {
    readonly request: CallerRequest;
    readonly server: ServerRecord;
    readonly deadlineMs: number;
    /** 0 to 9, 0 is admitted first. */
    readonly priority: number | undefined;
    readonly lastEventId: number | undefined;
    /** Weight version that a resumed stream must go on with. */
    readonly weightVersion: number | undefined;
}

export interface ReportedLoad {
    readonly runningCount: number;
    readonly waitingCount: number;
    readonly slotCount: number;
}

export interface AnswerHead {
    readonly status: number;
    /** The backend server states that it did not run the request. */
    readonly notRun: boolean;
    /** The answer names this request and is signed by a backend server. */
    readonly isGenuine: boolean;
    readonly weightVersion: number | undefined;
    readonly load: ReportedLoad | undefined;
    /** The answer states its own end; otherwise it ends with its connection, and a cut can't be told from its end. */
    readonly isFramed: boolean;
    /** Headers for the caller, as name and value in turn. */
    readonly headers: readonly string[];
}

/** Receives one answer; `onEnd` and `onFailure` come once, last. */
export interface AnswerListener {
    onHead(head: AnswerHead): void;
    onData(chunk: Buffer): void;
    onEnd(): void;
    /** `wasSent`: bytes of the request may have reached the backend server. */
    onFailure(error: Error, wasSent: boolean): void;
}

export interface EngineExchange {
    /** Closes the connection, which ends the run at most backend servers; no further event follows. */
    cancel(): void;
    pause(): void;
    resume(): void;
}

/** Talks to backend servers. */
export interface EngineClient {
    send(call: EngineCall, listener: AnswerListener): EngineExchange;
    order(server: ServerRecord, order: EngineOrder): Promise<OrderOutcome>;
    report(server: ServerRecord): ResultAsync<EngineReport, SkylarkmillError>;
}
