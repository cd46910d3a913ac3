import type { ModelId } from "@skylarkmill/protocol";
import type { ResidencyModel, ResidencyPolicy } from "../types/policies.ts";
import type { ResolvedResidencyPolicy } from "./create-residency-policy.ts";
import { chooseEvictions } from "./evictions.ts";

/**
 * Keeps a model loaded while the expected cost of a reload exceeds the cost of the memory that it uses.
 *
 * The probability of reuse is estimated from the gaps between recent requests: a model that has been idle for longer
 * than most of these gaps is unlikely to be used soon.
 */
export class CostResidency implements ResidencyPolicy {
    constructor(private readonly options: ResolvedResidencyPolicy) {}

    chooseIdleModels(resident: readonly ResidencyModel[], nowMs: number): readonly ModelId[] {
        return resident
            .filter(model =>
                model.inUseCount === 0 && this.idleMs(model, nowMs) >= this.unloadAfterIdleMs(model, nowMs)
            )
            .map(model => model.modelId);
    }

    chooseEvictions(
        resident: readonly ResidencyModel[],
        freeBytes: number,
        neededBytes: number,
        nowMs: number,
    ): readonly ModelId[] | undefined {
        return chooseEvictions(resident, freeBytes, neededBytes, model => this.evictionCost(model, nowMs));
    }

    choosePrefetches(absent: readonly ResidencyModel[], freeBytes: number, nowMs: number): readonly ModelId[] {
        let remainingBytes = freeBytes;
        const dueModels = absent
            .map(model => ({ model, dueInMs: this.timeUntilDueMs(model, nowMs) }))
            .filter(({ dueInMs }) => dueInMs !== undefined)
            .sort((a, b) => (a.dueInMs ?? 0) - (b.dueInMs ?? 0));
        return dueModels.flatMap(({ model }) => {
            if (model.memoryBytes > remainingBytes) return [];
            remainingBytes -= model.memoryBytes;
            return [model.modelId];
        });
    }

    /** Idle time in milliseconds after which unloading the model costs less than keeping it. */
    unloadAfterIdleMs(model: ResidencyModel, nowMs: number): number {
        const { keepFactor, gapFactor, minIdleMs, maxIdleMs } = this.options;
        const gapMs = typicalGapMs(model, nowMs);
        const gapBasedMs = gapMs === undefined ? 0 : gapMs * gapFactor;
        const costBasedMs = Math.min(maxIdleMs, model.reloadMs * keepFactor);
        return Math.max(minIdleMs, Math.min(costBasedMs, gapBasedMs));
    }

    private idleMs(model: ResidencyModel, nowMs: number): number {
        return nowMs - Math.max(model.lastUsedAtMs, model.loadedAtMs);
    }

    /** Reload time weighted by the probability of reuse, per byte. */
    private evictionCost(model: ResidencyModel, nowMs: number): number {
        const halfLifeMs = Math.max(1, this.unloadAfterIdleMs(model, nowMs));
        const reuseProbability = 2 ** (-this.idleMs(model, nowMs) / halfLifeMs);
        return reuseProbability * model.reloadMs / Math.max(1, model.memoryBytes);
    }

    /**
     * Time until the next expected use of a periodically used model; negative when the use is overdue.
     *
     * @returns undefined when the model has no regular period or a prefetch now would be too early or too late
     */
    private timeUntilDueMs(model: ResidencyModel, nowMs: number): number | undefined {
        const burstStartsAtMs = findBurstStarts(model.arrivalsAtMs, this.options.minIdleMs);
        if (burstStartsAtMs.length < 4) return undefined;
        const periodsMs = burstStartsAtMs.slice(1).map((startAtMs, index) =>
            startAtMs - (burstStartsAtMs[index] as number)
        );
        const shortestMs = Math.min(...periodsMs);
        const longestMs = Math.max(...periodsMs);
        if (longestMs > shortestMs * this.options.maxPeriodRatio) return undefined;
        const dueInMs = (burstStartsAtMs.at(-1) as number) + shortestMs - nowMs;
        // Prefetch from two reload times before the expected use until a quarter of the longest period after it.
        return dueInMs <= model.reloadMs * 2 && dueInMs >= -longestMs / 4 ? dueInMs : undefined;
    }
}

/** The 80th percentile of the gaps between recent requests; undefined with fewer than two requests. */
function typicalGapMs(model: ResidencyModel, nowMs: number): number | undefined {
    const pastArrivalsAtMs = model.arrivalsAtMs.filter(atMs => atMs <= nowMs);
    const gapsMs = pastArrivalsAtMs.slice(1).map((atMs, index) => atMs - (pastArrivalsAtMs[index] as number));
    if (gapsMs.length === 0) return undefined;
    gapsMs.sort((a, b) => a - b);
    return gapsMs[Math.min(gapsMs.length - 1, Math.floor(gapsMs.length * 0.8))];
}

/** Start times of bursts: arrivals without another request in the `minGapMs` before them. */
function findBurstStarts(arrivalsAtMs: readonly number[], minGapMs: number): number[] {
    return arrivalsAtMs.filter((atMs, index) => index === 0 || atMs - (arrivalsAtMs[index - 1] as number) >= minGapMs);
}
