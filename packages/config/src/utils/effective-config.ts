import type { AdapterId, ModelId, ServiceId } from "@skylarkmill/protocol";
import { toId } from "@skylarkmill/protocol";
import type { ConfiguredAdapter, ConfiguredModel, ConfiguredSection, ConfiguredService } from "../types/config-view.ts";
import type { LimitsConfig, ModelServiceConfig } from "../types/document.ts";

/** Limits that apply when no section sets them. */
export const DEFAULT_LIMITS: LimitsConfig = {
    loadsPerSecond: 3.5,
    maxConcurrentLoads: 4,
    maxConcurrentAdapterLoads: 32,
};

/** All valid sections, with their services, models and adapters indexed by id. */
export interface EffectiveConfig {
    readonly sections: readonly ConfiguredSection[];
    readonly services: ReadonlyMap<ServiceId, ConfiguredService>;
    readonly models: ReadonlyMap<ModelId, ConfiguredModel>;
    readonly adapters: ReadonlyMap<AdapterId, ConfiguredAdapter>;
    readonly limits: LimitsConfig;
    /** One sentence for each conflict between sections. */
    readonly problems: readonly string[];
}

/** Merges sections in the order in which they are added; the first definition of an id takes precedence. */
class EffectiveConfigBuilder {
    readonly services = new Map<ServiceId, ConfiguredService>();
    readonly models = new Map<ModelId, ConfiguredModel>();
    readonly adapters = new Map<AdapterId, ConfiguredAdapter>();
    readonly problems: string[] = [];
    limits: LimitsConfig | undefined;

    addSection(inForce: ConfiguredSection): void {
        const { name, section } = inForce;
        if (section.limits !== undefined) {
            if (this.limits === undefined) this.limits = section.limits;
            else this.problems.push(`Section ${name} sets limits that another section sets; they are ignored.`);
        }
        for (const [id, config] of Object.entries(section.services)) {
            const serviceId = toId<ServiceId>(id);
            if (this.services.has(serviceId)) {
                this.problems.push(
                    `Section ${name} offers service ${id}, which another section offers; it is ignored.`,
                );
                continue;
            }
            this.services.set(serviceId, { serviceId, sectionName: name, config });
            if (config.kind === "model") this.addModels(serviceId, config);
        }
    }

    private addModels(serviceId: ServiceId, service: ModelServiceConfig): void {
        for (const [id, config] of Object.entries(service.models)) {
            const modelId = toId<ModelId>(id);
            if (this.models.has(modelId)) {
                this.problems.push(
                    `Service ${serviceId} names model ${id}, which another service names; it is ignored.`,
                );
                continue;
            }
            this.models.set(modelId, { modelId, serviceId, config });
            for (const adapterId of config.adapters) this.addAdapter({ adapterId, modelId, serviceId });
        }
    }

    private addAdapter(adapter: ConfiguredAdapter): void {
        if (!this.adapters.has(adapter.adapterId)) this.adapters.set(adapter.adapterId, adapter);
        else this.problems.push(`Model ${adapter.modelId} names adapter ${adapter.adapterId} a second time.`);
    }
}

/**
 * Merges the sections into one configuration. Concurrent edits of two sections can be accepted although they
 * conflict; the section whose name sorts first then takes precedence, so that all processes agree.
 *
 * @example
 * buildEffectiveConfig(sections).models.size;
 */
export function buildEffectiveConfig(sections: readonly ConfiguredSection[]): EffectiveConfig {
    const ordered = [...sections].sort((a, b) => (a.name < b.name ? -1 : 1));
    const builder = new EffectiveConfigBuilder();
    for (const section of ordered) builder.addSection(section);
    return {
        sections: ordered,
        services: builder.services,
        models: builder.models,
        adapters: builder.adapters,
        limits: builder.limits ?? DEFAULT_LIMITS,
        problems: builder.problems,
    };
}
