import type { ModelId } from "@skylarkmill/protocol";
import type { ResidencyPolicy, ResidentModel } from "../types/policies.ts";
import type { ResolvedResidencyPolicy } from "./create-residency-policy.ts";
import { chooseEvictions } from "./evictions.ts";

/**
 * Keeps a model while the expected cost of a reload exceeds the cost of the memory it holds.
 *
 * The chance of reuse comes from the gaps between recent requests: a model that has been idle for longer
 * than most of its gaps is unlikely to be used soon.
 */
export class CostResidency implements ResidencyPolicy {
    constructor(private readonly options: ResolvedResidencyPolicy) {}

    idleModels(resident: readonly ResidentModel[], nowMs: number): readonly ModelId[] {
        return resident
            .filter(model => model.inUseCount === 0 && this.idleMs(model, nowMs) >= this.keepMs(model, nowMs))
            .map(model => model.modelId);
    }

    evictions(
        resident: readonly ResidentModel[],
        freeBytes: number,
        neededBytes: number,
        nowMs: number,
    ): readonly ModelId[] | undefined {
        return chooseEvictions(resident, freeBytes, neededBytes, model => this.evictionCost(model, nowMs));
    }

    prefetches(absent: readonly ResidentModel[], freeBytes: number, nowMs: number): readonly ModelId[] {
        let free = freeBytes;
        const likely = absent
            .map(model => ({ model, dueMs: this.dueMs(model, nowMs) }))
            .filter(({ dueMs }) => dueMs !== undefined)
            .sort((a, b) => (a.dueMs ?? 0) - (b.dueMs ?? 0));
        return likely.flatMap(({ model }) => {
            if (model.memoryBytes > free) return [];
            free -= model.memoryBytes;
            return [model.modelId];
        });
    }

    /** Idle time after which unloading costs less than keeping, in milliseconds. */
    keepMs(model: ResidentModel, nowMs: number): number {
        const { keepFactor, gapFactor, minIdleMs, maxIdleMs } = this.options;
        const gapMs = typicalGapMs(model, nowMs);
        const byGapsMs = gapMs === undefined ? 0 : gapMs * gapFactor;
        const affordableMs = Math.min(maxIdleMs, model.reloadMs * keepFactor);
        return Math.max(minIdleMs, Math.min(affordableMs, byGapsMs));
    }

    private idleMs(model: ResidentModel, nowMs: number): number {
        return nowMs - Math.max(model.lastUsedAtMs, model.loadedAtMs);
    }

    /** Reload time weighted by the chance of reuse, per byte. */
    private evictionCost(model: ResidentModel, nowMs: number): number {
        const keepMs = Math.max(1, this.keepMs(model, nowMs));
        const reuse = 2 ** (-this.idleMs(model, nowMs) / keepMs);
        return reuse * model.reloadMs / Math.max(1, model.memoryBytes);
    }

    /** Time until a regularly used model is due, when that is within the prefetch lead; undefined otherwise. */
    private dueMs(model: ResidentModel, nowMs: number): number | undefined {
        const starts = activeStarts(model.arrivalsAtMs, this.options.minIdleMs);
        if (starts.length < 4) return undefined;
        const periods = starts.slice(1).map((start, index) => start - (starts[index] as number));
        const shortest = Math.min(...periods);
        const longest = Math.max(...periods);
        if (longest > shortest * this.options.maxPeriodRatio) return undefined;
        const dueMs = (starts.at(-1) as number) + shortest - nowMs;
        return dueMs <= model.reloadMs * 2 && dueMs >= -longest / 4 ? dueMs : undefined;
    }
}

/** The 80th percentile of the gaps between recent requests; undefined without a gap. */
function typicalGapMs(model: ResidentModel, nowMs: number): number | undefined {
    const arrivals = model.arrivalsAtMs.filter(atMs => atMs <= nowMs);
    const gaps = arrivals.slice(1).map((atMs, index) => atMs - (arrivals[index] as number));
    if (gaps.length === 0) return undefined;
    gaps.sort((a, b) => a - b);
    return gaps[Math.min(gaps.length - 1, Math.floor(gaps.length * 0.8))];
}

/** First arrivals after an idle time. */
function activeStarts(arrivalsAtMs: readonly number[], idleMs: number): number[] {
    return arrivalsAtMs.filter((atMs, index) => index === 0 || atMs - (arrivalsAtMs[index - 1] as number) >= idleMs);
}
