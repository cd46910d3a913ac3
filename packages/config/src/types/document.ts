import type { AdapterId, ModelId, SectionName, ServiceId, TeamId } from "@skylarkmill/protocol";

/** The configuration document that operators edit. */
export interface ConfigDocument {
    /** Sections by name. */
    readonly sections: Readonly<Record<SectionName, ConfigSection>>;
}

/** The part of the document that one team owns. Each service is defined in exactly one section. */
export interface ConfigSection {
    /** The team that owns the section; only this team may edit it. */
    readonly team: TeamId;
    /** Limits shared by all services; at most one section may set them. @default the defaults of `LimitsConfig` */
    readonly limits?: LimitsConfig | undefined;
    /** Services by id. */
    readonly services: Readonly<Record<ServiceId, ServiceConfig>>;
}

/** Soft limits on model loads from the weight store and on adapter loads, shared by all model engines. */
export interface LimitsConfig {
    /** Maximum number of model loads started per second, over all model engines. @default 3.5 */
    readonly loadsPerSecond: number;
    /**
     * Maximum number of model loads in progress at the same time, over all model engines. The weight store serves this
     * many at full speed. @default 4
     */
    readonly maxConcurrentLoads: number;
    /** Maximum number of adapter loads in progress at the same time, over all model engines. @default 32 */
    readonly maxConcurrentAdapterLoads: number;
}

export type ServiceConfig = ModelServiceConfig | PlainServiceConfig;

interface CommonServiceConfig {
    /** Default deadline of a request, in milliseconds after its arrival. @default 30000 */
    readonly timeoutMs: number;
    /** Relative share of admitted requests when services compete for capacity. @default 1 */
    readonly weight: number;
    /** Requests that must not run twice and are therefore not retried. @default [] */
    readonly nonIdempotent: readonly RequestRule[];
}

/** A service that runs on model engines. */
export interface ModelServiceConfig extends CommonServiceConfig {
    readonly kind: "model";
    /** Whether the model engines refuse orders that carry an outdated fencing token. @default false */
    readonly checksFencing: boolean;
    /** Request classes by name; the header `x-skylarkmill-class` selects the class of a request. @default {} */
    readonly classes: Readonly<Record<string, RequestClassConfig>>;
    /** Models by id. */
    readonly models: Readonly<Record<ModelId, ModelConfig>>;
}

/** A service that runs on plain HTTP servers. */
export interface PlainServiceConfig extends CommonServiceConfig {
    readonly kind: "plain";
    /** Maximum number of requests that one backend server processes at the same time. @default 16 */
    readonly maxInFlight: number;
}

/** Matches requests by method and path. */
export interface RequestRule {
    /** HTTP method in upper case, such as `POST`. */
    readonly method: string;
    /** Path relative to the service, starting with `/`; a trailing `*` matches any remainder. */
    readonly path: string;
}

/** Settings of the requests of one class. */
export interface RequestClassConfig {
    /** 0 to 9; requests with a higher priority are served first. @default 5 */
    readonly priority: number;
    /** Deadline of a request of this class, in milliseconds after its arrival. @default the service's timeoutMs */
    readonly timeoutMs?: number | undefined;
    /** Response length in tokens that is assumed until lengths have been observed. @default 200 */
    readonly expectedTokens: number;
}

/** Settings of one model. */
export interface ModelConfig {
    /** Version of the model's checkpoint. @default "1" */
    readonly version: string;
    /** Memory that one replica needs, in bytes. */
    readonly memoryBytes: number;
    /** Maximum number of replicas that are loaded at the same time, over all backend servers. @default 1 */
    readonly maxReplicas: number;
    /** Adapters of this model; a caller names one as `<model>:<adapter>` or as `<adapter>`. @default [] */
    readonly adapters: readonly AdapterId[];
    /** Load time in milliseconds that is assumed until loads have been observed. @default 10000 */
    readonly expectedLoadMs: number;
}
