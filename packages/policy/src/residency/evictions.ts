import type { ModelId } from "@skylarkmill/protocol";
import type { ResidentModel } from "../types/policies.ts";

/**
 * Picks models to unload, cheapest first, until `neededBytes` are free; models in use stay.
 * Models that turn out not to be needed for the sum are kept.
 *
 * @returns undefined when the models that may go are too small
 * @example
 * const modelIds = chooseEvictions(resident, 0, 8e9, model => model.lastUsedAtMs);
 */
export function chooseEvictions(
    resident: readonly ResidentModel[],
    freeBytes: number,
    neededBytes: number,
    cost: (model: ResidentModel) => number,
): readonly ModelId[] | undefined {
    if (freeBytes >= neededBytes) return [];
    const idle = resident.filter(model => model.inUseCount === 0).sort((a, b) => cost(a) - cost(b));
    const chosen: ResidentModel[] = [];
    let free = freeBytes;
    for (const model of idle) {
        if (free >= neededBytes) break;
        chosen.push(model);
        free += model.memoryBytes;
    }
    if (free < neededBytes) return undefined;
    return withoutSpare(chosen, free - neededBytes).map(model => model.modelId);
}

/** Keeps the costliest models whose memory the eviction does not need. */
function withoutSpare(chosen: readonly ResidentModel[], spareBytes: number): ResidentModel[] {
    let spare = spareBytes;
    const kept: ResidentModel[] = [];
    for (const model of [...chosen].reverse()) {
        if (model.memoryBytes <= spare) spare -= model.memoryBytes;
        else kept.push(model);
    }
    return kept.reverse();
}
