import { createResidencyPolicy, type ResidencyModel } from "@skylarkmill/policy";
import { type ModelId, toId } from "@skylarkmill/protocol";
import fc from "fast-check";
import { describe, expect, it } from "vitest";

const SEED = 20_262;
const NAMES = ["keep-warm", "fixed-idle", "cost"] as const;

function createModel(id: string, fields: Partial<ResidencyModel> = {}): ResidencyModel {
    return {
        modelId: toId<ModelId>(id),
        memoryBytes: 10,
        inUseCount: 0,
        lastUsedAtMs: 0,
        loadedAtMs: 0,
        reloadMs: 1_000,
        arrivalsAtMs: [],
        ...fields,
    };
}

const modelFields = fc.record({
    memoryBytes: fc.integer({ min: 1, max: 100 }),
    inUseCount: fc.integer({ min: 0, max: 2 }),
    lastUsedAtMs: fc.integer({ min: 0, max: 1_000_000 }),
    reloadMs: fc.integer({ min: 1, max: 60_000 }),
    arrivalsAtMs: fc.array(fc.integer({ min: 0, max: 1_000_000 }), { maxLength: 16 })
        .map(list => list.sort((a, b) => a - b)),
});

describe.each(NAMES)("residency %s", name => {
    const policy = createResidencyPolicy({ name });

    // Guards against overcommitted memory and against unloading a model that serves requests.
    it("evicts enough idle models and no more, or returns undefined if all are not enough", () => {
        console.log(`seed ${SEED}`);
        const sizes = fc.integer({ min: 0, max: 300 });
        fc.assert(
            fc.property(fc.array(modelFields, { maxLength: 12 }), sizes, sizes, (list, freeBytes, neededBytes) => {
                const models = list.map((fields, index) => createModel(`m${index}`, fields));
                const evictable = models.filter(model => model.inUseCount === 0);
                const totalBytes = (chosen: readonly ResidencyModel[]) =>
                    chosen.reduce((total, model) => total + model.memoryBytes, 0);
                const evicted = policy.chooseEvictions(models, freeBytes, neededBytes, 1_000_000);
                if (evicted === undefined) {
                    expect(freeBytes + totalBytes(evictable)).toBeLessThan(neededBytes);
                    return;
                }
                const chosen = evictable.filter(model => evicted.includes(model.modelId));
                expect(chosen.length).toBe(evicted.length);
                expect(freeBytes + totalBytes(chosen)).toBeGreaterThanOrEqual(neededBytes);
                for (const model of chosen) {
                    expect(freeBytes + totalBytes(chosen) - model.memoryBytes).toBeLessThan(neededBytes);
                }
            }),
            { seed: SEED },
        );
    });

    // Guards against unloading a model that still serves requests because the last one arrived long ago.
    it("never selects a model in use as idle", () => {
        console.log(`seed ${SEED}`);
        fc.assert(
            fc.property(fc.array(modelFields, { maxLength: 12 }), list => {
                const models = list.map((fields, index) => createModel(`m${index}`, fields));
                const idle = policy.chooseIdleModels(models, 10_000_000);
                expect(models.filter(model => model.inUseCount > 0 && idle.includes(model.modelId))).toEqual([]);
            }),
            { seed: SEED },
        );
    });
});

// Guards against an unload between two requests of an active model, and against a model that is never unloaded.
describe("cost residency", () => {
    const steadyArrivalsAtMs = Array.from({ length: 16 }, (_, index) => index * 8_000);
    const cases = [
        {
            name: "active model idle for less than the minimum idle time",
            idleMs: 20_000,
            arrivalsAtMs: steadyArrivalsAtMs,
            isUnloaded: false,
        },
        {
            name: "active model idle for many typical gaps",
            idleMs: 300_000,
            arrivalsAtMs: steadyArrivalsAtMs,
            isUnloaded: true,
        },
        { name: "model with a single request long ago", idleMs: 300_000, arrivalsAtMs: [0], isUnloaded: true },
    ];
    it.each(cases)("$name: is unloaded: $isUnloaded", ({ idleMs, arrivalsAtMs, isUnloaded }) => {
        const lastUsedAtMs = arrivalsAtMs.at(-1) ?? 0;
        const model = createModel("m", { lastUsedAtMs, arrivalsAtMs });
        const idle = createResidencyPolicy().chooseIdleModels([model], lastUsedAtMs + idleMs);
        expect(idle.length === 1).toBe(isUnloaded);
    });
});
