import type { BackendClient, EngineControl, Membership } from "@skylarkmill/adapters";
import type { KeyValueStore, PermitClient, RecordStore } from "@skylarkmill/coordination";
import type { AdmissionPolicy, DurationEstimator, QueueOrder, ResidencyPolicy } from "@skylarkmill/policy";
import type { DataCentre, HostId, ProcessId, ServerId, ServiceId, SkylarkmillError } from "@skylarkmill/protocol";
import type Logger from "bunyan";
import type { ResultAsync } from "neverthrow";
import type { ScheduledRequest } from "./request.ts";

export interface ListenAddress {
    readonly host: string;
    /** 0 selects a free port. */
    readonly port: number;
}

/** Limits and timeouts of one agent. */
export interface AgentLimits {
    /** Maximum number of queued requests. @default 1000 */
    readonly maxQueuedCount: number;
    /** Maximum size of a request body. @default 4 MiB */
    readonly maxBodyBytes: number;
    /** Total size of the request bodies held in memory. @default 64 MiB */
    readonly maxBufferedBodyBytes: number;
    /** Maximum size of a non-streamed response of a model engine, which is buffered and checked. @default 16 MiB */
    readonly maxResponseBytes: number;
    /** Interval between reads of the engine's index. @default 1000 */
    readonly indexIntervalMs: number;
    /**
     * How long the index must show a model as absent before a load order without a response counts as lost,
     * at an engine without fencing: the order may still reach the engine after its connection broke. @default 2000
     */
    readonly settleMs: number;
    /** Timeout of one load or unload order to the engine. @default 600000 */
    readonly orderTimeoutMs: number;
    /** An order that has no effect in the engine's index after this time is abandoned. @default 5000 */
    readonly orderEffectTimeoutMs: number;
    /** First delay before a failed step or order is retried. @default 100 */
    readonly retryMinMs: number;
    /** Longest delay before a failed step or order is retried. @default 5000 */
    readonly retryMaxMs: number;
    /** Gap between two handled messages, which include regular ticks, that counts as a pause. @default 5000 */
    readonly pauseThresholdMs: number;
    /** How long a stopping agent keeps its connections open to refuse new requests. @default 500 */
    readonly stopGraceMs: number;
    /** Maximum number of stored request ids and idempotency keys of non-idempotent requests. @default 10000 */
    readonly maxOnceKeyCount: number;
    /** How long request ids and idempotency keys of non-idempotent requests are stored. @default 24 h */
    readonly maxOnceKeyAgeMs: number;
    /** How often one streamed response is resumed. @default 3 */
    readonly maxResumeCount: number;
}

/** The policies that the agent uses. */
export interface AgentPolicies {
    readonly createQueueOrder: () => QueueOrder<ScheduledRequest>;
    readonly admission: AdmissionPolicy;
    readonly durations: DurationEstimator;
    readonly residency: ResidencyPolicy;
}

export interface AgentOptions {
    readonly processId: ProcessId;
    readonly hostId: HostId;
    readonly serverId: ServerId;
    readonly serviceId: ServiceId;
    readonly dataCentre: DataCentre;
    readonly requestListen: ListenAddress;
    readonly peerListen: ListenAddress;
    /** The first key is sent to peers; each of the keys is accepted from peers. */
    readonly peerKeys: () => readonly string[];
    readonly store: KeyValueStore;
    readonly membership: Membership;
    /** Absent for a plain service. */
    readonly engineControl?: EngineControl | undefined;
    readonly backend: BackendClient;
    readonly logger: Logger;
    readonly limits?: Partial<AgentLimits> | undefined;
    readonly policies?: Partial<AgentPolicies> | undefined;
    /** Used instead of the default record store. */
    readonly records?: RecordStore | undefined;
    /** Used instead of the default permit client. */
    readonly permits?: PermitClient | undefined;
}

export interface ResolvedAgentOptions extends Omit<AgentOptions, "limits" | "policies"> {
    readonly limits: AgentLimits;
    readonly policies: AgentPolicies;
}

export interface AgentPorts {
    readonly requestPort: number;
    readonly peerPort: number;
}

/** The agent of one backend server. Runs on the same host as the server. */
export interface Agent {
    /**
     * Binds the ports, each as soon as it can be bound. The other start-up steps, such as reading the engine's index,
     * then run in the background. Fails with `UnavailableError` when a port can never be bound or the agent is stopped.
     */
    start(): ResultAsync<AgentPorts, SkylarkmillError>;
    /** Refuses new requests, waits for the running ones, then closes the ports. */
    stop(): Promise<void>;
}
