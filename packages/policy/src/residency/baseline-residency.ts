import type { ModelId } from "@skylarkmill/protocol";
import type { ResidencyPolicy, ResidentModel } from "../types/policies.ts";
import { chooseEvictions } from "./evictions.ts";

/** Baseline: keeps models until their memory is needed, then evicts the least recently used one first. */
export class KeepWarmResidency implements ResidencyPolicy {
    chooseIdleModels(_resident: readonly ResidentModel[], _nowMs: number): readonly ModelId[] {
        return [];
    }

    chooseEvictions(
        resident: readonly ResidentModel[],
        freeBytes: number,
        neededBytes: number,
        _nowMs: number,
    ): readonly ModelId[] | undefined {
        return chooseEvictions(resident, freeBytes, neededBytes, model => model.lastUsedAtMs);
    }

    choosePrefetches(_absent: readonly ResidentModel[], _freeBytes: number, _nowMs: number): readonly ModelId[] {
        return [];
    }
}

/** Baseline: unloads a model after a fixed idle time. */
export class FixedIdleResidency extends KeepWarmResidency {
    constructor(private readonly maxIdleMs: number) {
        super();
    }

    override chooseIdleModels(resident: readonly ResidentModel[], nowMs: number): readonly ModelId[] {
        return resident
            .filter(model => model.inUseCount === 0 && nowMs - model.lastUsedAtMs >= this.maxIdleMs)
            .map(model => model.modelId);
    }
}
