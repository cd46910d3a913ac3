import { silentLogger } from "@skylarkmill/coordination";
import {
    CrashSuspects,
    createPeerApp,
    type DemandMessage,
    type EngineState,
    GatewayMetrics,
    PlacementPlanner,
    ServerDirectory,
} from "@skylarkmill/gateway";
import { FixedEngineModelsPolicy } from "@skylarkmill/policy";
import { type ModelId, type ServerId, toId } from "@skylarkmill/protocol";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";

const WANTED = toId<ModelId>("wanted");
const OTHER = toId<ModelId>("other");
const CHANGE_INTERVAL_MS = 50;
const MEASURED_MS = 3_000;
/** Responses per second that the planner may send for changes that no request waits for, whatever the fleet's size. */
const MAX_RESPONSES_PER_SECOND = 400;
const MAX_DELAY_MS = 50;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function engineState(models: readonly ModelId[], load?: ModelId): EngineState {
    return {
        serverId: toId<ServerId>("e1"),
        bornAtMs: 1,
        idle: true,
        models: models.map(modelId => ({ modelId, adapterIds: [], leaving: false })),
        onDisk: [],
        inMemory: [],
        job: load === undefined ? undefined : { load, unload: undefined, origin: "disk", expectedMs: 600 },
        coming: [],
    };
}

function demand(gateway: string, waiting: readonly ModelId[], engines?: readonly EngineState[]): DemandMessage {
    return {
        gateway,
        address: `${gateway}:1`,
        waiting: waiting.map(modelId => ({ modelId, adapterId: undefined, count: 1, oldestWaitMs: 10 })),
        running: [],
        arrivals: [],
        engines,
        crashEvidence: [],
        leaving: [],
        rates: [],
    };
}

function setup() {
    const planner = new PlacementPlanner({
        directory: new ServerDirectory(silentLogger),
        policy: new FixedEngineModelsPolicy(),
        logger: silentLogger,
        getServerRate: () => undefined,
        maxStoreLoadCount: 4,
        getConfiguration: () => undefined,
        getTerm: () => 7,
        createOwnDemand: () => demand("g0", []),
        sendCommand: () => undefined,
    });
    const app = createPeerApp({
        directory: { recordLeaving: () => false, listLeaving: () => [] },
        planner,
        commandRunner: undefined as never,
        view: undefined as never,
        crashSuspects: new CrashSuspects({ logger: silentLogger, onChange: () => undefined }),
        serverRates: { mergeStatements: () => undefined, listStatements: () => [] },
        quotas: { answer: () => undefined, recordContact: () => undefined },
        grantReservations: () => undefined,
        metrics: new GatewayMetrics(),
        listNotReadyReasons: () => [],
        getStatus: () => ({}),
        bodyMemory: undefined as never,
    });
    return { planner, app };
}

async function readVersion(response: Response): Promise<number> {
    return (await response.json() as { version: number; }).version;
}

describe("responses to gateways that follow the placement", () => {
    // Guards against work of the planner that grows with the square of the fleet: each change of one of 84 engines was
    // sent to each of 68 gateways within 8 ms.
    it.each([{ gatewayCount: 5 }, { gatewayCount: 28 }, { gatewayCount: 68 }])(
        "are bounded for $gatewayCount gateways",
        async ({ gatewayCount }) => {
            const { planner, app } = setup();
            const models = [WANTED, OTHER];
            let isEnded = false;
            let responseCount = 0;
            planner.receiveDemand(demand("g0", [], [engineState([])]));
            const follow = async (gateway: string): Promise<void> => {
                let version = 0;
                while (!isEnded) {
                    version = await readVersion(
                        await app.request(`/v1/placement?gateway=${gateway}&term=7&version=${version}`),
                    );
                    responseCount += 1;
                }
            };
            const followers = Array.from({ length: gatewayCount }, (_, index) => {
                planner.receiveDemand(demand(`g${index + 1}`, []));
                return follow(`g${index + 1}`);
            });
            for (let elapsedMs = 0; elapsedMs < MEASURED_MS; elapsedMs += CHANGE_INTERVAL_MS) {
                planner.receiveDemand(
                    demand("g0", [], [engineState(models.slice(0, elapsedMs / CHANGE_INTERVAL_MS % 2))]),
                );
                await vi.advanceTimersByTimeAsync(CHANGE_INTERVAL_MS);
            }
            expect(responseCount / (MEASURED_MS / 1_000)).toBeLessThanOrEqual(MAX_RESPONSES_PER_SECOND);
            expect(responseCount).toBeGreaterThan(gatewayCount);
            isEnded = true;
            await vi.advanceTimersByTimeAsync(2_000);
            await Promise.all(followers);
            planner.stop();
        },
    );

    it.each([
        { name: "is loaded", changed: engineState([WANTED]) },
        { name: "starts to load", changed: engineState([], WANTED) },
    ])("arrive at once if a model that requests wait for $name", async ({ changed }) => {
        const { planner, app } = setup();
        planner.receiveDemand(demand("g0", [], [engineState([OTHER])]));
        for (let index = 1; index <= 68; index += 1) {
            planner.receiveDemand(demand(`g${index}`, index === 1 ? [WANTED] : []));
        }
        const { version } = planner.getState();
        let respondedAtMs: number | undefined;
        const startedAtMs = Date.now();
        const response = Promise.resolve(app.request(`/v1/placement?gateway=g1&term=7&version=${version}`)).then(() => {
            respondedAtMs = Date.now();
        });
        await vi.advanceTimersByTimeAsync(1);
        planner.receiveDemand(demand("g0", [], [changed]));
        await vi.advanceTimersByTimeAsync(2_000);
        await response;
        expect(respondedAtMs! - startedAtMs).toBeLessThanOrEqual(MAX_DELAY_MS);
        planner.stop();
    });
});
