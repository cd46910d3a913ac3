import {
    DemandEngineModelsPolicy,
    type EngineModelsInput,
    type EngineSnapshot,
    FixedEngineModelsPolicy,
    type ModelSnapshot,
} from "@skylarkmill/policy";
import { type ModelId, type ServerId, toId } from "@skylarkmill/protocol";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { seeded } from "../support/seed.ts";

const createModel = (id: string, changes: Partial<ModelSnapshot> = {}): ModelSnapshot => ({
    modelId: toId<ModelId>(id),
    sizeMb: 40,
    memoryLoadMs: 470,
    diskLoadMs: 610,
    storeLoadMs: 6_000,
    waitingCount: 0,
    oldestWaitMs: 0,
    runningCount: 0,
    ratePerSecond: 0,
    adapterRatePerSecond: 0,
    ...changes,
});

interface EngineFields {
    readonly loaded?: readonly string[];
    readonly active?: readonly string[];
    /** Requests in progress for each active model. @default 1 */
    readonly activeCount?: number;
    readonly onDisk?: readonly string[];
    readonly inMemory?: readonly string[];
    readonly canExecuteOrder?: boolean;
    readonly isAvailable?: boolean;
    readonly loading?: string;
}

const modelIds = (names: readonly string[] = []): Set<ModelId> => new Set(names.map(name => toId<ModelId>(name)));

const createEngine = (id: string, changes: EngineFields = {}): EngineSnapshot => ({
    serverId: toId<ServerId>(id),
    canExecuteOrder: changes.canExecuteOrder ?? true,
    isAvailable: changes.isAvailable ?? true,
    memoryMb: 100,
    adapterMemoryMb: 5,
    loadedCopies: (changes.loaded ?? []).map(name => ({
        modelId: toId<ModelId>(name),
        sizeMb: 40,
        activeCount: changes.active?.includes(name) === true ? changes.activeCount ?? 1 : 0,
        idleMs: 5_000,
    })),
    loadingModelId: changes.loading === undefined ? undefined : toId<ModelId>(changes.loading),
    unloadingModelId: undefined,
    inMemory: modelIds(changes.inMemory),
    onDisk: modelIds(changes.onDisk),
});

function createInput(
    engines: readonly EngineSnapshot[],
    models: readonly ModelSnapshot[],
    changes: Partial<EngineModelsInput> = {},
): EngineModelsInput {
    return {
        engines,
        models,
        storeLoadCount: 0,
        maxStoreLoadCount: 4,
        allowsPrefetch: false,
        requestsPerCopy: 8,
        ...changes,
    };
}

const waiting = { waitingCount: 1, oldestWaitMs: 100 };

describe("a model that requests wait for", () => {
    const cases = [
        {
            name: "is loaded where loading is fastest",
            engines: [createEngine("e1", { onDisk: ["m1"] }), createEngine("e2", { inMemory: ["m1"], onDisk: ["m1"] })],
            models: [createModel("m1", waiting)],
            orders: [{ serverId: "e2", load: "m1", unload: undefined, origin: "memory" }],
        },
        {
            name: "replaces the copy cheapest to reload",
            engines: [createEngine("e1", { loaded: ["m2", "m3"], onDisk: ["m1", "m2", "m3"] })],
            models: [
                createModel("m1", waiting),
                createModel("m2", { ratePerSecond: 2 }),
                createModel("m3", { ratePerSecond: 0.1 }),
            ],
            orders: [{ serverId: "e1", load: "m1", unload: "m3", origin: "disk" }],
        },
        {
            // Guards against a copy that was loaded for a crowd and unloaded again before the crowd had reached it.
            name: "does not replace a copy that relieves a crowded one",
            engines: [
                createEngine("e1", { loaded: ["m2", "m3"], active: ["m3"], onDisk: ["m1", "m2"] }),
                createEngine("e2", { loaded: ["m2"], active: ["m2"], activeCount: 12, canExecuteOrder: false }),
            ],
            models: [
                createModel("m1", waiting),
                createModel("m2", { ratePerSecond: 20, runningCount: 12, waitingCount: 4 }),
                createModel("m3"),
            ],
            orders: [],
        },
        {
            name: "replaces a copy whose crowd has gone",
            engines: [
                createEngine("e1", { loaded: ["m2", "m3"], active: ["m3"], onDisk: ["m1", "m2"] }),
                createEngine("e2", { loaded: ["m2"], active: ["m2"], activeCount: 8, canExecuteOrder: false }),
            ],
            models: [createModel("m1", waiting), createModel("m2", { runningCount: 8 }), createModel("m3")],
            orders: [{ serverId: "e1", load: "m1", unload: "m2", origin: "disk" }],
        },
        {
            name: "does not replace a copy in use",
            engines: [createEngine("e1", { loaded: ["m2", "m3"], active: ["m2", "m3"], onDisk: ["m1"] })],
            models: [createModel("m1", waiting), createModel("m2"), createModel("m3")],
            orders: [],
        },
        {
            name: "waits for the engine with its weights",
            engines: [createEngine("e1", { onDisk: ["m1"], canExecuteOrder: false }), createEngine("e2")],
            models: [createModel("m1", waiting)],
            orders: [],
        },
        {
            name: "uses the weight store after 2 seconds",
            engines: [createEngine("e1", { onDisk: ["m1"], canExecuteOrder: false }), createEngine("e2")],
            models: [createModel("m1", { waitingCount: 1, oldestWaitMs: 2_000 })],
            orders: [{ serverId: "e2", load: "m1", unload: undefined, origin: "store" }],
        },
        {
            name: "is not loaded twice at the same time",
            engines: [
                createEngine("e1", { loading: "m1", canExecuteOrder: false }),
                createEngine("e2", { onDisk: ["m1"] }),
            ],
            models: [createModel("m1", waiting)],
            orders: [],
        },
        {
            name: "is loaded again if its engine is lost",
            engines: [
                createEngine("e1", { loaded: ["m1"], isAvailable: false, canExecuteOrder: false }),
                createEngine("e2", { onDisk: ["m1"] }),
            ],
            models: [createModel("m1", waiting)],
            orders: [{ serverId: "e2", load: "m1", unload: undefined, origin: "disk" }],
        },
    ] as const;
    it.each(cases)("$name", ({ engines, models, orders }) => {
        expect(new DemandEngineModelsPolicy().plan(createInput(engines, models))).toMatchObject(orders);
    });
});

// Guards against busy models that stay unloaded after all engines were replaced by empty ones: the weight store runs
// few loads at a time, and they loaded the models whose requests had waited longest instead of those with the highest
// request rate. The score of requests to the busy `bench-diagnosis` was only 0.23.
describe("engines that were all replaced by empty ones", () => {
    const rare = ["r1", "r2", "r3", "r4", "r5"].map(id =>
        createModel(id, { waitingCount: 1, oldestWaitMs: 5_000, ratePerSecond: 0.2 })
    );
    const busy = ["b1", "b2"].map(id => createModel(id, { waitingCount: 8, oldestWaitMs: 500, ratePerSecond: 6 }));
    const engines = ["e1", "e2", "e3", "e4", "e5", "e6"].map(id => createEngine(id));

    it("load the models with the highest demand first", () => {
        const orders = new DemandEngineModelsPolicy().plan(
            createInput(engines, [...rare, ...busy], { maxStoreLoadCount: 2 }),
        );
        expect(orders.map(order => order.load).sort()).toEqual(["b1", "b2"]);
    });

    it("load a second copy of a busy model from the store before prefetching a rare model", () => {
        const models = [createModel("b1", { ratePerSecond: 6 }), createModel("r1")];
        const plan = new DemandEngineModelsPolicy().plan(
            createInput([createEngine("e0", { loaded: ["b1"] }), ...engines], models, {
                maxStoreLoadCount: 1,
                allowsPrefetch: true,
            }),
        );
        expect(plan).toMatchObject([{ load: "b1", origin: "store", reason: "scale_out" }]);
    });
});

describe("busy models", () => {
    const models = [
        createModel("b1", { ratePerSecond: 5, runningCount: 14 }),
        createModel("b2", { ratePerSecond: 5 }),
        createModel("r1"),
    ];

    it("get a further copy in place of a copy that is not needed", () => {
        const engines = [
            createEngine("e1", { loaded: ["b1", "b2"] }),
            createEngine("e2", { loaded: ["b2", "r1"], onDisk: ["b1", "b2", "r1"] }),
            createEngine("e3", { loaded: ["b2", "r1"], active: ["b2"], canExecuteOrder: false }),
        ];
        const [order, ...others] = new DemandEngineModelsPolicy().plan(createInput(engines, models));
        const unload = expect.stringMatching(/^(b2|r1)$/) as string;
        expect(order).toMatchObject({ serverId: "e2", load: "b1", unload });
        expect(others).toEqual([]);
    });

    // Guards against unloading a rare model's only copy for a further copy of a busy one, which lowered the score of
    // `overhaul-report` from 0.852 to 0.826.
    it("do not replace another model's last copy", () => {
        const engines = [
            createEngine("e1", { loaded: ["b1"] }),
            createEngine("e2", { loaded: ["b2", "r1"], onDisk: ["b1"] }),
        ];
        const enginesWithOneAcceptingOrders = engines.map(engine => ({
            ...engine,
            canExecuteOrder: engine.serverId === engines[1]!.serverId,
        }));
        expect(new DemandEngineModelsPolicy().plan(createInput(enginesWithOneAcceptingOrders, models))).toEqual([]);
    });

    // Guards against engines that run two busy models while other engines are idle: 30 to 50 % of their streams had a
    // pause that was too long, compared with 10 % on other engines. One request that has to wait for a load counts as
    // much as several requests with a long pause, so a copy in regular use is not replaced.
    const busyEngine = { runningCount: 40, ratePerSecond: 8 };
    const replacedCopies = [
        { name: "a copy without requests", replacedRatePerSecond: 0, isOnDisk: true, isReplaced: true },
        { name: "a copy with few requests", replacedRatePerSecond: 0.3, isOnDisk: true, isReplaced: true },
        { name: "a copy with many requests", replacedRatePerSecond: 0.6, isOnDisk: true, isReplaced: false },
        {
            name: "a copy with few requests (store load)",
            replacedRatePerSecond: 0.1,
            isOnDisk: false,
            isReplaced: true,
        },
    ];
    it.each(replacedCopies)(
        "$name is replaced for a model whose streams have long pauses: $isReplaced",
        ({ replacedRatePerSecond, isOnDisk, isReplaced }) => {
            const engines = [
                createEngine("e1", {
                    loaded: ["b1", "b2"],
                    activeCount: busyEngine.runningCount / 2,
                    canExecuteOrder: false,
                    active: ["b1", "b2"],
                }),
                createEngine("e2", { loaded: ["r1", "r2"], active: ["r2"], onDisk: isOnDisk ? ["b1", "r1"] : ["r1"] }),
            ];
            const plannedModels = [
                createModel("b1", {
                    ratePerSecond: busyEngine.ratePerSecond,
                    runningCount: busyEngine.runningCount / 2,
                }),
                createModel("b2", { ratePerSecond: 0, runningCount: busyEngine.runningCount / 2 }),
                createModel("r1", { ratePerSecond: replacedRatePerSecond }),
                createModel("r2"),
            ];
            const orders = new DemandEngineModelsPolicy().plan(createInput(engines, plannedModels));
            const origin = isOnDisk ? "disk" : "store";
            const expected = { serverId: "e2", load: "b1", unload: "r1", origin, reason: "scale_out" };
            expect(orders).toMatchObject(isReplaced ? [expected] : []);
        },
    );

    it.each([
        { name: "their engine runs few requests", runningCount: 2, ratePerSecond: 8 },
        { name: "they have few requests", runningCount: 40, ratePerSecond: 0.3 },
    ])("do not replace another model's last copy while $name", ({ runningCount, ratePerSecond }) => {
        const engines = [
            createEngine("e1", {
                loaded: ["b1", "b2"],
                activeCount: runningCount / 2,
                canExecuteOrder: false,
                active: ["b1", "b2"],
            }),
            createEngine("e2", { loaded: ["r1", "r2"], active: ["r2"], onDisk: ["b1", "r1"] }),
        ];
        const plannedModels = [
            createModel("b1", { ratePerSecond, runningCount: 1 }),
            createModel("b2"),
            createModel("r1", { ratePerSecond: 0.2 }),
            createModel("r2"),
        ];
        expect(new DemandEngineModelsPolicy().plan(createInput(engines, plannedModels))).toEqual([]);
    });

    it("get their further copy on the engine with the fewest requests", () => {
        const engines = [
            createEngine("e1", { loaded: ["b1", "b2"], activeCount: 20, canExecuteOrder: false, active: ["b1", "b2"] }),
            createEngine("e2", { loaded: ["r1", "r2"], active: ["r2"], activeCount: 15, onDisk: ["b1", "r1"] }),
            createEngine("e3", { loaded: ["r3", "r4"], active: ["r4"], onDisk: ["b1", "r3"] }),
        ];
        const plannedModels = [
            createModel("b1", { ratePerSecond: 8, runningCount: 20 }),
            ...["b2", "r1", "r2", "r3", "r4"].map(id => createModel(id)),
        ];
        expect(new DemandEngineModelsPolicy().plan(createInput(engines, plannedModels))).toMatchObject([{
            serverId: "e3",
            load: "b1",
        }]);
    });
});

describe("models whose engines are temporarily unreachable", () => {
    const unreachable = createEngine("e1", { onDisk: ["m1"], isAvailable: false, canExecuteOrder: false });
    it.each([
        { name: "are not prefetched again", wait: {}, orders: [] },
        {
            name: "are not fetched from the store at once",
            wait: { waitingCount: 1, oldestWaitMs: 500 },
            orders: [],
        },
        {
            name: "are fetched from the store after 2 s",
            wait: { waitingCount: 1, oldestWaitMs: 2_000 },
            orders: [{ serverId: "e2", load: "m1", origin: "store" }],
        },
    ])("$name", ({ wait, orders }) => {
        const plan = new DemandEngineModelsPolicy().plan(
            createInput([unreachable, createEngine("e2")], [createModel("m1", wait)], { allowsPrefetch: true }),
        );
        expect(plan).toMatchObject(orders);
    });
});

describe("prefetches", () => {
    const engines = [createEngine("e1", { loaded: ["m1", "m2"], onDisk: ["m1", "m2"] })];
    const models = [createModel("m1"), createModel("m2"), createModel("m3")];
    it.each([
        { name: "wait until all engines are known", changes: { allowsPrefetch: false }, count: 0 },
        { name: "load a model that no engine has", changes: { allowsPrefetch: true }, count: 1 },
        {
            name: "stay within the weight store's limit",
            changes: { allowsPrefetch: true, storeLoadCount: 4 },
            count: 0,
        },
    ])("$name", ({ changes, count }) => {
        expect(new DemandEngineModelsPolicy().plan(createInput(engines, models, changes))).toHaveLength(count);
    });
});

it("plans no orders with the baseline policy", () => {
    expect(new FixedEngineModelsPolicy().plan()).toEqual([]);
});

// Guards against plans that need more memory than an engine has, more loads from the weight store than allowed, or the
// removal of a copy in use.
it("never exceeds an engine's memory or the weight store's limit, for random engines and demand", () => {
    const names = ["m1", "m2", "m3", "m4", "m5", "m6"];
    const subset = fc.subarray(names);
    const engines = fc.array(
        fc.record({
            loaded: fc.subarray(names, { maxLength: 2 }),
            active: subset,
            onDisk: subset,
            inMemory: subset,
            canExecuteOrder: fc.boolean(),
            isAvailable: fc.boolean(),
        }),
        { minLength: 1, maxLength: 5 },
    );
    const demand = fc.array(
        fc.record({
            waitingCount: fc.nat(5),
            oldestWaitMs: fc.nat(4_000),
            runningCount: fc.nat(30),
            ratePerSecond: fc.double({ min: 0, max: 8, noNaN: true }),
        }),
        { minLength: 6, maxLength: 6 },
    );
    fc.assert(
        fc.property(
            engines,
            demand,
            fc.nat(4),
            fc.boolean(),
            (engineFields, modelDemands, storeLoadCount, allowsPrefetch) => {
                const plannedEngines = engineFields.map((changes, index) => createEngine(`e${index}`, changes));
                const models = names.map((name, index) => createModel(name, modelDemands[index]));
                const orders = new DemandEngineModelsPolicy().plan(
                    createInput(plannedEngines, models, { storeLoadCount, allowsPrefetch }),
                );
                expect(new Set(orders.map(order => order.serverId)).size).toBe(orders.length);
                expect(storeLoadCount + orders.filter(order => order.origin === "store").length).toBeLessThanOrEqual(
                    Math.max(4, storeLoadCount),
                );
                for (const { serverId, load, unload } of orders) {
                    const target = plannedEngines.find(engine => engine.serverId === serverId)!;
                    expect(target.canExecuteOrder && target.isAvailable).toBe(true);
                    const remainingCopies = target.loadedCopies.filter(copy => copy.modelId !== unload);
                    expect(remainingCopies.some(copy => copy.modelId === load)).toBe(false);
                    expect(remainingCopies.reduce((sum, copy) => sum + copy.sizeMb, 5) + 40).toBeLessThanOrEqual(100);
                    expect(target.loadedCopies.find(copy => copy.modelId === unload)?.activeCount ?? 0).toBe(0);
                }
            },
        ),
        seeded<never>(400) as never,
    );
});
