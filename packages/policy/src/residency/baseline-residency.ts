import type { ModelId } from "@skylarkmill/protocol";
import type { ResidencyModel, ResidencyPolicy } from "../types/policies.ts";
import { chooseEvictions } from "./evictions.ts";

/** Baseline: keeps models until their memory is needed, then evicts the least recently used one first. */
export class KeepWarmResidency implements ResidencyPolicy {
    chooseIdleModels(_resident: readonly ResidencyModel[], _nowMs: number): readonly ModelId[] {
        return [];
    }

    chooseEvictions(
        resident: readonly ResidencyModel[],
        freeBytes: number,
        neededBytes: number,
        _nowMs: number,
    ): readonly ModelId[] | undefined {
        return chooseEvictions(resident, freeBytes, neededBytes, model => model.lastUsedAtMs);
    }

    choosePrefetches(_absent: readonly ResidencyModel[], _freeBytes: number, _nowMs: number): readonly ModelId[] {
        return [];
    }
}

/** Baseline: unloads a model after a fixed idle time. */
export class FixedIdleResidency extends KeepWarmResidency {
    constructor(private readonly maxIdleMs: number) {
        super();
    }

    override chooseIdleModels(resident: readonly ResidencyModel[], nowMs: number): readonly ModelId[] {
        return resident
            .filter(model => model.inUseCount === 0 && nowMs - model.lastUsedAtMs >= this.maxIdleMs)
            .map(model => model.modelId);
    }
}
