import type { AdapterId, ModelId, SectionName, ServiceId } from "@skylarkmill/protocol";
import type { ConfigSection, LimitsConfig, ModelConfig, ServiceConfig } from "./document.ts";

/** A section of the document in its effective version. */
export interface ConfiguredSection {
    readonly name: SectionName;
    /** Version of the record that the section was read from. */
    readonly version: number;
    readonly section: ConfigSection;
}

/** A configured service and the section that defines it. */
export interface ConfiguredService {
    readonly serviceId: ServiceId;
    readonly sectionName: SectionName;
    readonly config: ServiceConfig;
}

/** A configured model and the service that offers it. */
export interface ConfiguredModel {
    readonly modelId: ModelId;
    readonly serviceId: ServiceId;
    readonly config: ModelConfig;
}

/** A configured adapter, its base model and the service that offers both. */
export interface ConfiguredAdapter {
    readonly adapterId: AdapterId;
    readonly modelId: ModelId;
    readonly serviceId: ServiceId;
}

/** The model, and the adapter if one is named, that the model name in a request refers to. */
export interface ResolvedModelName {
    readonly model: ConfiguredModel;
    /** Undefined when the request names the model without an adapter. */
    readonly adapterId: AdapterId | undefined;
}

/** Settings of a request class with all defaults filled in. */
export interface ResolvedRequestClass {
    /** `default` when the request names no class that its service defines. */
    readonly name: string;
    /** 0 to 9; requests with a higher priority are served first. */
    readonly priority: number;
    /** Deadline of a request, in milliseconds after its arrival. */
    readonly timeoutMs: number;
    /** Response length in tokens that is assumed until lengths have been observed. */
    readonly expectedTokens: number;
}

/** Read-only view of the configuration that is in force in this process. */
export interface ConfigView {
    sections(): readonly ConfiguredSection[];
    section(name: SectionName): ConfiguredSection | undefined;
    services(): ReadonlyMap<ServiceId, ConfiguredService>;
    service(serviceId: ServiceId): ConfiguredService | undefined;
    models(): ReadonlyMap<ModelId, ConfiguredModel>;
    model(modelId: ModelId): ConfiguredModel | undefined;
    adapters(): ReadonlyMap<AdapterId, ConfiguredAdapter>;
    adapter(adapterId: AdapterId): ConfiguredAdapter | undefined;
    /** Resolves `<model>`, `<model>:<adapter>` or `<adapter>`; undefined when no service offers it. */
    resolveModelName(name: string): ResolvedModelName | undefined;
    /** Returns the settings of a request class, or the defaults when the class is undefined or unknown. */
    requestClass(serviceId: ServiceId, className: string | undefined): ResolvedRequestClass;
    /**
     * Returns whether a request must not run twice. The path is relative to the service and may include a query.
     * In doubt the result is true: paths match a rule even when they differ from it in encoding, case or slashes,
     * and every request to an unknown service is treated as non-idempotent.
     */
    isNonIdempotent(serviceId: ServiceId, method: string, path: string): boolean;
    /** Limits shared by all services; the defaults when no section sets them. */
    limits(): LimitsConfig;
    /** False while a section has no valid version in this process, in which case services may be missing. */
    isComplete(): boolean;
    /** One sentence for each record that is invalid or conflicts with another section. */
    problems(): readonly string[];
    /** Calls the listener after each change of the configuration; returns a function that unsubscribes it. */
    subscribe(listener: () => void): () => void;
    /** Stops following the records and removes all listeners. */
    close(): void;
}
