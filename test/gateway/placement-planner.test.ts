import { silentLogger } from "@skylarkmill/coordination";
import {
    type DemandMessage,
    type EngineState,
    type GatewayConfiguration,
    type ModelSpec,
    PlacementPlanner,
    ServerDirectory,
    type ServerRecord,
} from "@skylarkmill/gateway";
import { FixedEngineModelsPolicy } from "@skylarkmill/policy";
import { type DataCentre, type ModelId, type ServerId, type ServiceId, toId } from "@skylarkmill/protocol";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";

const SERVICE = toId<ServiceId>("assistant");
const WANTED = toId<ModelId>("wanted");
const OTHER = toId<ModelId>("other");
/** Time that the planner adds to an engine's own load time. */
const OVERHEAD_MS = 250;
/** Time from a demand message to the planning run that it triggers. */
const PLAN_DELAY_MS = 1;

const model = (modelId: ModelId): ModelSpec => ({
    modelId,
    sizeMb: 40,
    adapterSizeMb: 0,
    adapterIds: [],
    storeLoadMs: 6_000,
    diskLoadMs: 600,
    memoryLoadMs: 400,
});

const configuration: GatewayConfiguration = {
    version: 1,
    routes: [],
    services: new Map([[SERVICE, {
        serviceId: SERVICE,
        maxConnections: 10,
        engine: {
            slotCount: 8,
            memoryMb: 50,
            maxAdapters: 0,
            storeLoadsPerSecond: 1,
            models: new Map([WANTED, OTHER].map(modelId => [modelId, model(modelId)])),
        },
    }]]),
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    workspaces: undefined,
};

const record: ServerRecord = {
    serverId: toId<ServerId>("e1"),
    serviceId: SERVICE,
    address: { host: "127.0.0.1", port: 1 },
    dataCentre: toId<DataCentre>("dc-1"),
    draining: false,
    bornAtMs: 1,
    slotCount: 8,
    sequence: 0,
    models: [],
    onDisk: [],
    inMemory: [],
};

// Guards against a missing estimate for a model whose only local copy is on a busy engine: its requests waited until
// their callers disconnected.
describe("estimated time until a requested model is ready", () => {
    beforeEach(() => void vi.useFakeTimers());
    afterEach(() => void vi.useRealTimers());

    const storeLoad = { load: OTHER, unload: undefined, origin: "store", expectedMs: 6_000 } as const;
    it.each([
        { name: "a copy on the disk of an idle engine", onDisk: [WANTED], inMemory: [], job: undefined, etaMs: 600 },
        { name: "a copy in memory", onDisk: [WANTED], inMemory: [WANTED], job: undefined, etaMs: 400 },
        {
            name: "a copy on an engine that is loading another model",
            onDisk: [WANTED],
            inMemory: [],
            job: storeLoad,
            etaMs: 6_600,
        },
        {
            name: "a load from the weight store without a local copy",
            onDisk: [],
            inMemory: [],
            job: undefined,
            etaMs: 6_000,
        },
    ])("uses $name", async ({ onDisk, inMemory, job, etaMs }) => {
        const directory = new ServerDirectory(silentLogger);
        directory.upsert({ ...record, onDisk, inMemory });
        const state: EngineState = {
            serverId: record.serverId,
            bornAtMs: 1,
            idle: job === undefined,
            models: [],
            onDisk,
            inMemory,
            job,
            coming: [],
        };
        const demand: DemandMessage = {
            gateway: "g1",
            address: "127.0.0.1:1",
            waiting: [{ modelId: WANTED, adapterId: undefined, count: 1, oldestWaitMs: 10 }],
            running: [],
            arrivals: [],
            engines: [state],
            crashEvidence: [],
            leaving: [],
            rates: [],
        };
        const planner = new PlacementPlanner({
            directory,
            policy: new FixedEngineModelsPolicy(),
            logger: silentLogger,
            getServerRate: () => undefined,
            maxStoreLoadCount: 4,
            getConfiguration: () => configuration,
            getTerm: () => 1,
            createOwnDemand: () => demand,
            sendCommand: () => undefined,
        });
        planner.receiveDemand(demand);
        await vi.advanceTimersByTimeAsync(PLAN_DELAY_MS);
        const eta = planner.getState().etas.find(entry => entry.modelId === WANTED);
        const elapsedMs = job === undefined ? 0 : PLAN_DELAY_MS;
        expect(eta?.readyInMs).toBe(etaMs + OVERHEAD_MS - elapsedMs);
        planner.stop();
    });
});

const busyState: EngineState = {
    serverId: record.serverId,
    bornAtMs: record.bornAtMs,
    idle: false,
    models: [],
    onDisk: [],
    inMemory: [],
    job: undefined,
    coming: [],
};

// Guards against a new planner that orders loads from the weight store beside those that it doesn't know of.
describe("loads from the weight store that a planner counts", () => {
    beforeEach(() => void vi.useFakeTimers());
    afterEach(() => void vi.useRealTimers());

    it.each(
        [
            {
                name: "one that its holder sent",
                changes: { job: { load: OTHER, unload: undefined, origin: "store", expectedMs: 6_000 } },
                expected: 1,
            },
            {
                name: "a load from disk",
                changes: { job: { load: OTHER, unload: undefined, origin: "disk", expectedMs: 600 } },
                expected: 0,
            },
            { name: "an order that its holder didn't send", changes: { hasOtherOrder: true }, expected: 1 },
            { name: "an engine whose state isn't known", changes: { hasOtherOrder: false }, expected: 0 },
        ] as const,
    )("$name", async ({ changes, expected }) => {
        const directory = new ServerDirectory(silentLogger);
        directory.upsert(record);
        const counts: number[] = [];
        const demand: DemandMessage = {
            gateway: "g1",
            address: "127.0.0.1:1",
            waiting: [{ modelId: WANTED, adapterId: undefined, count: 1, oldestWaitMs: 10 }],
            running: [],
            arrivals: [],
            engines: [{ ...busyState, ...changes }],
            crashEvidence: [],
            leaving: [],
            rates: [],
        };
        const planner = new PlacementPlanner({
            directory,
            policy: {
                plan: ({ storeLoadCount }) => {
                    counts.push(storeLoadCount);
                    return [];
                },
            },
            logger: silentLogger,
            getServerRate: () => undefined,
            maxStoreLoadCount: 4,
            getConfiguration: () => configuration,
            getTerm: () => 1,
            createOwnDemand: () => demand,
            sendCommand: () => undefined,
        });
        planner.receiveDemand(demand);
        await vi.advanceTimersByTimeAsync(PLAN_DELAY_MS);
        expect(counts).toEqual([expected]);
        planner.stop();
    });
});
