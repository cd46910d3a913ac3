import type { ModelId } from "@skylarkmill/protocol";
import type { ResidencyModel } from "../types/policies.ts";

/**
 * Selects idle models to unload, in order of rising cost, until `neededBytes` are free. Models whose memory turns out
 * not to be needed are then dropped from the selection.
 *
 * @returns undefined when unloading all idle models would not free enough memory
 * @example
 * const modelIds = chooseEvictions(resident, 0, 8e9, model => model.lastUsedAtMs);
 */
export function chooseEvictions(
    resident: readonly ResidencyModel[],
    freeBytes: number,
    neededBytes: number,
    evictionCost: (model: ResidencyModel) => number,
): readonly ModelId[] | undefined {
    if (freeBytes >= neededBytes) return [];
    const idleModels = resident.filter(model => model.inUseCount === 0).sort((a, b) =>
        evictionCost(a) - evictionCost(b)
    );
    const chosen: ResidencyModel[] = [];
    let availableBytes = freeBytes;
    for (const model of idleModels) {
        if (availableBytes >= neededBytes) break;
        chosen.push(model);
        availableBytes += model.memoryBytes;
    }
    if (availableBytes < neededBytes) return undefined;
    return dropNeedlessEvictions(chosen, availableBytes - neededBytes).map(model => model.modelId);
}

/** Drops models whose memory is not needed from the selection, those with the highest cost first. */
function dropNeedlessEvictions(chosen: readonly ResidencyModel[], surplusBytes: number): ResidencyModel[] {
    let remainingSurplusBytes = surplusBytes;
    const needed: ResidencyModel[] = [];
    for (const model of [...chosen].reverse()) {
        if (model.memoryBytes <= remainingSurplusBytes) remainingSurplusBytes -= model.memoryBytes;
        else needed.push(model);
    }
    return needed.reverse();
}
