import type { RecordReader, VersionedRecord } from "@skylarkmill/coordination";
import { type AdapterId, type ModelId, type SectionName, type ServiceId, toId } from "@skylarkmill/protocol";
import type {
    ConfiguredAdapter,
    ConfiguredModel,
    ConfiguredSection,
    ConfiguredService,
    ConfigView,
    ResolvedModelName,
    ResolvedRequestClass,
} from "../types/config-view.ts";
import type { LimitsConfig } from "../types/document.ts";
import { KEYS } from "../types/records.ts";
import { buildEffectiveConfig, type EffectiveConfig } from "../utils/effective-config.ts";
import { parseSection } from "../utils/parse-section.ts";
import { matchesRule } from "../utils/request-rules.ts";

/** Settings of requests that name no request class or one that their service does not define. */
const DEFAULT_CLASS = { priority: 5, timeoutMs: 30_000, expectedTokens: 200 };

interface CachedSection {
    readonly record: VersionedRecord<unknown>;
    /** The last valid version of the section; undefined for a deleted section or if no version was valid. */
    readonly lastValid: ConfiguredSection | undefined;
    /** Why the newest record is invalid; undefined when it is valid. */
    readonly problem: string | undefined;
}

/** Derives the effective configuration from the section records and updates it when they change. */
class RecordConfigView implements ConfigView {
    private readonly cache = new Map<string, CachedSection>();
    private readonly listeners = new Set<() => void>();
    private readonly unsubscribe: () => void;
    private effectiveConfig: EffectiveConfig | undefined;

    constructor(private readonly reader: RecordReader) {
        this.unsubscribe = reader.subscribe(KEYS.configPrefix, record => {
            this.readSection(record);
            this.effectiveConfig = undefined;
            for (const listener of [...this.listeners]) listener();
        });
        this.effectiveConfig = this.buildConfig();
    }

    sections(): readonly ConfiguredSection[] {
        return this.getEffectiveConfig().sections;
    }

    section(name: SectionName): ConfiguredSection | undefined {
        return this.getEffectiveConfig().sections.find(section => section.name === name);
    }

    services(): ReadonlyMap<ServiceId, ConfiguredService> {
        return this.getEffectiveConfig().services;
    }

    service(serviceId: ServiceId): ConfiguredService | undefined {
        return this.getEffectiveConfig().services.get(serviceId);
    }

    models(): ReadonlyMap<ModelId, ConfiguredModel> {
        return this.getEffectiveConfig().models;
    }

    model(modelId: ModelId): ConfiguredModel | undefined {
        return this.getEffectiveConfig().models.get(modelId);
    }

    adapters(): ReadonlyMap<AdapterId, ConfiguredAdapter> {
        return this.getEffectiveConfig().adapters;
    }

    adapter(adapterId: AdapterId): ConfiguredAdapter | undefined {
        return this.getEffectiveConfig().adapters.get(adapterId);
    }

    resolveModelName(name: string): ResolvedModelName | undefined {
        const { models, adapters } = this.getEffectiveConfig();
        const [modelPart = "", ...rest] = name.split(":");
        if (rest.length > 1) return undefined;
        const model = models.get(toId<ModelId>(modelPart));
        if (rest.length === 0 && model !== undefined) return { model, adapterId: undefined };
        const adapter = adapters.get(toId<AdapterId>(rest[0] ?? modelPart));
        if (adapter === undefined || (rest.length === 1 && adapter.modelId !== model?.modelId)) return undefined;
        const baseModel = models.get(adapter.modelId);
        return baseModel === undefined ? undefined : { model: baseModel, adapterId: adapter.adapterId };
    }

    requestClass(serviceId: ServiceId, className: string | undefined): ResolvedRequestClass {
        const service = this.service(serviceId)?.config;
        const timeoutMs = service?.timeoutMs ?? DEFAULT_CLASS.timeoutMs;
        if (className === undefined || service?.kind !== "model" || !Object.hasOwn(service.classes, className)) {
            return { ...DEFAULT_CLASS, name: "default", timeoutMs };
        }
        const settings = service.classes[className]!;
        return { ...settings, name: className, timeoutMs: settings.timeoutMs ?? timeoutMs };
    }

    isNonIdempotent(serviceId: ServiceId, method: string, path: string): boolean {
        const service = this.service(serviceId);
        return service === undefined || service.config.nonIdempotent.some(rule => matchesRule(rule, method, path));
    }

    limits(): LimitsConfig {
        return this.getEffectiveConfig().limits;
    }

    isComplete(): boolean {
        this.getEffectiveConfig();
        return [...this.cache.values()].every(({ lastValid, problem }) =>
            problem === undefined || lastValid !== undefined
        );
    }

    problems(): readonly string[] {
        return this.getEffectiveConfig().problems;
    }

    subscribe(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    close(): void {
        this.unsubscribe();
        this.listeners.clear();
    }

    private getEffectiveConfig(): EffectiveConfig {
        this.effectiveConfig ??= this.buildConfig();
        return this.effectiveConfig;
    }

    private buildConfig(): EffectiveConfig {
        const cached = this.reader.list<unknown>(KEYS.configPrefix).map(record => this.readSection(record));
        const effective = buildEffectiveConfig(cached.flatMap(section => section.lastValid ?? []));
        const problems = cached.flatMap(section => section.problem ?? []);
        return { ...effective, problems: [...problems, ...effective.problems] };
    }

    private readSection(record: VersionedRecord<unknown>): CachedSection {
        const previous = this.cache.get(record.key);
        if (previous?.record.version === record.version && previous.record.nonce === record.nonce) return previous;
        const section = this.parseRecord(record, previous);
        this.cache.set(record.key, section);
        return section;
    }

    /** Parses a record; an invalid one leaves the previous valid version in force. */
    private parseRecord(record: VersionedRecord<unknown>, previous: CachedSection | undefined): CachedSection {
        if (record.value === undefined) return { record, lastValid: undefined, problem: undefined };
        const name = toId<SectionName>(record.key.slice(KEYS.configPrefix.length));
        return parseSection(record.value).match<CachedSection>(
            section => ({ record, lastValid: { name, version: record.version, section }, problem: undefined }),
            error => ({
                record,
                lastValid: previous?.lastValid,
                problem: `Section ${name} version ${record.version} can't be applied: ${error.message}`,
            }),
        );
    }
}

/**
 * Creates a view of the configuration that is built from this process's records and updated with them.
 *
 * @example
 * const view = createConfigView(recordStore);
 * view.resolveModelName("bench-diagnosis-01")?.model.config.maxReplicas;
 */
export function createConfigView(reader: RecordReader): ConfigView {
    return new RecordConfigView(reader);
}
