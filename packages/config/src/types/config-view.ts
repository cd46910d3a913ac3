import type { AdapterId, ModelId, SectionName, ServiceId } from "@skylarkmill/protocol";
import type { ConfigSection, LimitsConfig, ModelConfig, ServiceConfig } from "./document.ts";

export interface SectionInForce {
    readonly name: SectionName;
    readonly version: number;
    readonly section: ConfigSection;
}

export interface ServiceInForce {
    readonly serviceId: ServiceId;
    readonly sectionName: SectionName;
    readonly config: ServiceConfig;
}

export interface ModelInForce {
    readonly modelId: ModelId;
    readonly serviceId: ServiceId;
    readonly config: ModelConfig;
}

export interface AdapterInForce {
    readonly adapterId: AdapterId;
    readonly modelId: ModelId;
    readonly serviceId: ServiceId;
}

/** What a caller's model name stands for. */
export interface ResolvedModelName {
    readonly model: ModelInForce;
    readonly adapterId: AdapterId | undefined;
}

export interface ResolvedRequestClass {
    readonly name: string;
    readonly priority: number;
    readonly timeoutMs: number;
    readonly expectedTokens: number;
}

/** The configuration in force in this process. */
export interface ConfigView {
    sections(): readonly SectionInForce[];
    section(name: SectionName): SectionInForce | undefined;
    services(): ReadonlyMap<ServiceId, ServiceInForce>;
    service(serviceId: ServiceId): ServiceInForce | undefined;
    models(): ReadonlyMap<ModelId, ModelInForce>;
    model(modelId: ModelId): ModelInForce | undefined;
    adapters(): ReadonlyMap<AdapterId, AdapterInForce>;
    adapter(adapterId: AdapterId): AdapterInForce | undefined;
    /** Resolves `<model>`, `<model>:<adapter>` or `<adapter>`; undefined when it is not offered. */
    resolveModelName(name: string): ResolvedModelName | undefined;
    /** Settings of a request class; the service's defaults when the class is absent or not named. */
    requestClass(serviceId: ServiceId, className: string | undefined): ResolvedRequestClass;
    /**
     * Whether a request must not run twice. The path is below the service and may carry a query.
     * Errs on the side of true: paths that differ only in encoding, case or slashes match, and
     * an unknown service counts as non-idempotent.
     */
    isNonIdempotent(serviceId: ServiceId, method: string, path: string): boolean;
    limits(): LimitsConfig;
    /** False while a section is known only in a form that can't be applied, so that services may be missing. */
    isComplete(): boolean;
    /** One sentence each on records that can't be applied or contradict another section. */
    problems(): readonly string[];
    /** Calls back after each change; returns the function that ends it. */
    subscribe(listener: () => void): () => void;
    /** Ends the subscription to the records. */
    close(): void;
}
