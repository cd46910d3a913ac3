import type { RecordReader, VersionedRecord } from "@skylarkmill/coordination";
import { type AdapterId, type ModelId, type SectionName, type ServiceId, toId } from "@skylarkmill/protocol";
import type {
    AdapterInForce,
    ConfigView,
    ModelInForce,
    ResolvedModelName,
    ResolvedRequestClass,
    SectionInForce,
    ServiceInForce,
} from "../types/config-view.ts";
import type { LimitsConfig } from "../types/document.ts";
import { KEYS } from "../types/records.ts";
import { buildEffectiveConfig, type EffectiveConfig } from "../utils/effective-config.ts";
import { parseSection } from "../utils/parse-section.ts";
import { matchesRule } from "../utils/request-rules.ts";

/** Used for requests of services without a request class of that name. */
const DEFAULT_CLASS = { priority: 5, timeoutMs: 30_000, expectedTokens: 200 };

interface CachedSection {
    readonly record: VersionedRecord<unknown>;
    /** The last valid value of the section; absent for a deleted section. */
    readonly inForce: SectionInForce | undefined;
    readonly problem: string | undefined;
}

class RecordConfigView implements ConfigView {
    private readonly cache = new Map<string, CachedSection>();
    private readonly listeners = new Set<() => void>();
    private readonly unsubscribe: () => void;
    private effective: EffectiveConfig | undefined;

    constructor(private readonly reader: RecordReader) {
        this.unsubscribe = reader.subscribe(KEYS.configPrefix, record => {
            this.readSection(record);
            this.effective = undefined;
            for (const listener of [...this.listeners]) listener();
        });
        this.effective = this.build();
    }

    sections(): readonly SectionInForce[] {
        return this.current().sections;
    }

    section(name: SectionName): SectionInForce | undefined {
        return this.current().sections.find(section => section.name === name);
    }

    services(): ReadonlyMap<ServiceId, ServiceInForce> {
        return this.current().services;
    }

    service(serviceId: ServiceId): ServiceInForce | undefined {
        return this.current().services.get(serviceId);
    }

    models(): ReadonlyMap<ModelId, ModelInForce> {
        return this.current().models;
    }

    model(modelId: ModelId): ModelInForce | undefined {
        return this.current().models.get(modelId);
    }

    adapters(): ReadonlyMap<AdapterId, AdapterInForce> {
        return this.current().adapters;
    }

    adapter(adapterId: AdapterId): AdapterInForce | undefined {
        return this.current().adapters.get(adapterId);
    }

    resolveModelName(name: string): ResolvedModelName | undefined {
        const { models, adapters } = this.current();
        const [modelPart = "", ...rest] = name.split(":");
        if (rest.length > 1) return undefined;
        const model = models.get(toId<ModelId>(modelPart));
        if (rest.length === 0 && model !== undefined) return { model, adapterId: undefined };
        const adapter = adapters.get(toId<AdapterId>(rest[0] ?? modelPart));
        if (adapter === undefined || (rest.length === 1 && adapter.modelId !== model?.modelId)) return undefined;
        const adapted = models.get(adapter.modelId);
        return adapted === undefined ? undefined : { model: adapted, adapterId: adapter.adapterId };
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
        return this.current().limits;
    }

    isComplete(): boolean {
        this.current();
        return [...this.cache.values()].every(({ inForce, problem }) => problem === undefined || inForce !== undefined);
    }

    problems(): readonly string[] {
        return this.current().problems;
    }

    subscribe(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    close(): void {
        this.unsubscribe();
        this.listeners.clear();
    }

    private current(): EffectiveConfig {
        this.effective ??= this.build();
        return this.effective;
    }

    private build(): EffectiveConfig {
        const cached = this.reader.list<unknown>(KEYS.configPrefix).map(record => this.readSection(record));
        const effective = buildEffectiveConfig(cached.flatMap(section => section.inForce ?? []));
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

    private parseRecord(record: VersionedRecord<unknown>, previous: CachedSection | undefined): CachedSection {
        if (record.value === undefined) return { record, inForce: undefined, problem: undefined };
        const name = toId<SectionName>(record.key.slice(KEYS.configPrefix.length));
        return parseSection(record.value).match<CachedSection>(
            section => ({ record, inForce: { name, version: record.version, section }, problem: undefined }),
            error => ({
                record,
                inForce: previous?.inForce,
                problem: `Section ${name} version ${record.version} can't be applied: ${error.message}`,
            }),
        );
    }
}

/**
 * Builds the configuration in force from the records of this process and follows their changes.
 *
 * @example
 * const view = createConfigView(recordStore);
 * view.resolveModelName("bench-diagnosis-01")?.model.config.maxReplicas;
 */
export function createConfigView(reader: RecordReader): ConfigView {
    return new RecordConfigView(reader);
}
