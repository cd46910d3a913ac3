import type { AdapterId, ModelId, SectionName, ServiceId, TeamId } from "@skylarkmill/protocol";

/** The operators' configuration document. */
export interface ConfigDocument {
    readonly sections: Readonly<Record<SectionName, ConfigSection>>;
}

/** The part of the document that one team owns. A service stands in exactly one section. */
export interface ConfigSection {
    readonly team: TeamId;
    /** Limits that all services share; at most one section sets them. */
    readonly limits?: LimitsConfig | undefined;
    readonly services: Readonly<Record<ServiceId, ServiceConfig>>;
}

/** Shared soft limits of the weight store and of adapter loads. */
export interface LimitsConfig {
    /** Model loads started per second, over all engines. @default 3.5 */
    readonly loadsPerSecond: number;
    /** Model loads at once at the weight store's full speed. @default 4 */
    readonly maxConcurrentLoads: number;
    /** Adapter loads in flight over all engines. @default 32 */
    readonly maxConcurrentAdapterLoads: number;
}

export type ServiceConfig = ModelServiceConfig | PlainServiceConfig;

interface CommonServiceConfig {
    /** Default deadline of a request. @default 30000 */
    readonly timeoutMs: number;
    /** Relative share of admission when services compete. @default 1 */
    readonly weight: number;
    /** Which requests must not run twice. @default [] */
    readonly nonIdempotent: readonly RequestRule[];
}

/** A service that model engines run. */
export interface ModelServiceConfig extends CommonServiceConfig {
    readonly kind: "model";
    /** Whether the engines refuse orders with an old fencing token. @default false */
    readonly checksFencing: boolean;
    /** Request classes by name; a request names its class in `x-skylarkmill-class`. @default {} */
    readonly classes: Readonly<Record<string, RequestClassConfig>>;
    readonly models: Readonly<Record<ModelId, ModelConfig>>;
}

/** A service of plain HTTP servers. */
export interface PlainServiceConfig extends CommonServiceConfig {
    readonly kind: "plain";
    /** Requests in flight per backend server. @default 16 */
    readonly maxInFlight: number;
}

export interface RequestRule {
    /** HTTP method, such as `POST`. */
    readonly method: string;
    /** Path below the service; a trailing `*` matches any rest. */
    readonly path: string;
}

export interface RequestClassConfig {
    /** Higher goes first, 0 to 9. @default 5 */
    readonly priority: number;
    /** Deadline of requests of this class. @default the service's timeoutMs */
    readonly timeoutMs?: number | undefined;
    /** Expected tokens of an answer until lengths have been learned. @default 200 */
    readonly expectedTokens: number;
}

export interface ModelConfig {
    /** Version of the checkpoint. @default "1" */
    readonly version: string;
    /** Memory that one replica needs. */
    readonly memoryBytes: number;
    /** Replicas that may be loaded at the same time, over all backend servers. @default 1 */
    readonly maxReplicas: number;
    /** Adapters over this model; a caller names `<model>:<adapter>` or the adapter alone. @default [] */
    readonly adapters: readonly AdapterId[];
    /** Expected duration of a load until loads have been observed. @default 10000 */
    readonly expectedLoadMs: number;
}
