import { FairOrder, type OrderedRequest, PlaceLimit } from "@skylarkmill/gateway";
import { createRandom } from "@skylarkmill/policy";
import { type ServiceId, toId, type WorkspaceId } from "@skylarkmill/protocol";
import { describe, expect, it, vi } from "vitest";
import { type PlaceLoad, replayPlaces } from "./support/place-replay.ts";

const SEED = 20_261_207;
const FLOOD_FROM_MS = 5_000;
const MEASURED_FROM_MS = 6_000;
/** Least share of what the others got before that they still get beside a workspace that sends seven times its usual. */
const KEPT_SHARE = 0.95;

/** Two servers that run 60 requests/s together; the usual 40/s come from two workspaces. */
function createLoad(gatewayCount: number, floodedGatewayCount: number, changes: Partial<PlaceLoad> = {}): PlaceLoad {
    const random = createRandom(SEED);
    return {
        gatewayCount,
        serverCount: 2,
        slotCount: 6,
        queueLength: 12,
        runMs: 200,
        durationMs: 36_000,
        traffic: [
            { name: "steady", perSecond: 20, fromMs: 0, gatewayCount },
            { name: "flood", perSecond: 140, fromMs: FLOOD_FROM_MS, gatewayCount: floodedGatewayCount },
        ],
        random: () => random.fraction(),
        ...changes,
    };
}

// Guards against a workspace that floods servers and takes the places of all others.
describe("a workspace beside one that sends seven times its usual", () => {
    it.each([
        { gateways: 1, flooded: 1 },
        { gateways: 5, flooded: 5 },
        { gateways: 5, flooded: 2 },
        { gateways: 22, flooded: 2 },
        { gateways: 22, flooded: 22 },
        { gateways: 60, flooded: 60 },
    ])("keeps what it had: $gateways gateways, $flooded of them flooded", ({ gateways, flooded }) => {
        const before = replayPlaces(createLoad(gateways, flooded), false, MEASURED_FROM_MS);
        const after = replayPlaces(createLoad(gateways, flooded), true, MEASURED_FROM_MS);
        expect(before.inTime.steady).toBeLessThan(KEPT_SHARE);
        expect(after.inTime.steady).toBeGreaterThanOrEqual(KEPT_SHARE);
        // The places that it leaves are used.
        expect(after.usedShare).toBeGreaterThan(0.98 * before.usedShare);
        expect(after.rejectionsPerRequest).toBeLessThan(0.1 * before.rejectionsPerRequest);
    });

    it("gets places at the servers that are left when one of them ends", () => {
        const loss = { server: 0, atMs: 15_000 };
        const traffic = [
            { name: "steady", perSecond: 10, fromMs: 0, gatewayCount: 5 },
            { name: "flood", perSecond: 140, fromMs: FLOOD_FROM_MS, gatewayCount: 5 },
        ];
        const result = replayPlaces(createLoad(5, 5, { loss, traffic }), true, 17_000);
        expect(result.inTime.steady).toBeGreaterThanOrEqual(KEPT_SHARE);
    });
});

it("costs nothing while there is room", () => {
    const traffic = [{ name: "steady", perSecond: 30, fromMs: 0, gatewayCount: 5 }];
    for (const isFair of [false, true]) {
        expect(replayPlaces(createLoad(5, 5, { traffic }), isFair, 1_000).inTime.steady).toBe(1);
    }
});

const SERVICE = toId<ServiceId>("desk");

interface WaitingFields {
    readonly workspace: string;
    readonly cost?: number;
    readonly priority?: number;
    readonly arrivedAtMs?: number;
}

describe("the order of requests that wait", () => {
    it.each<{ name: string; weights?: Record<string, number>; waiting: WaitingFields[]; expected: string; }>([
        {
            name: "alternates between workspaces",
            waiting: [..."aaab"].map(workspace => ({ workspace })),
            expected: "abaa",
        },
        {
            name: "counts work, not requests",
            waiting: [{ workspace: "a", cost: 3 }, { workspace: "a", cost: 3 }, ..."bbbb"].map(entry =>
                typeof entry === "string" ? { workspace: entry } : entry
            ),
            expected: "abbbab",
        },
        {
            name: "gives a workspace with twice the weight twice as much",
            weights: { a: 2 },
            waiting: [..."aaaabb"].map(workspace => ({ workspace })),
            expected: "abaaba",
        },
        {
            name: "takes the urgent requests of a workspace first, then the oldest",
            waiting: [
                { workspace: "a", priority: 5, arrivedAtMs: 2 },
                { workspace: "b", priority: 5, arrivedAtMs: 1 },
                { workspace: "c", priority: 1, arrivedAtMs: 3 },
            ].map(entry => ({ ...entry, workspace: "a" })),
            expected: "312",
        },
    ])("$name", ({ weights = {}, waiting, expected }) => {
        const order = new FairOrder(workspaceId => weights[workspaceId ?? ""] ?? 1);
        const searched: string[] = [];
        const isByTime = /\d/.test(expected);
        for (const { workspace, cost = 1, priority = 5, arrivedAtMs = 0 } of waiting) {
            const request: OrderedRequest = {
                serviceId: SERVICE,
                modelId: undefined,
                workspaceId: toId<WorkspaceId>(workspace),
                priority,
                arrivedAtMs,
                cost,
                search: () => void searched.push(isByTime ? String(arrivedAtMs) : workspace),
            };
            order.enter(request, 0);
        }
        order.passThrough();
        expect(searched.join("")).toBe(expected);
    });
});

// Guards against a flood that takes the processor, since each arrival lets all requests that wait search for places.
it("lets requests search at most once in 10 ms, whatever arrives", async () => {
    vi.useFakeTimers();
    const order = new FairOrder(() => 1);
    let searchCount = 0;
    const request: OrderedRequest = {
        serviceId: SERVICE,
        modelId: undefined,
        workspaceId: toId<WorkspaceId>("a"),
        priority: 5,
        arrivedAtMs: 0,
        cost: 1,
        search: () => void (searchCount += 1),
    };
    order.enter(request, 0);
    for (let passedMs = 0; passedMs < 100; passedMs += 1) {
        order.schedulePass();
        await vi.advanceTimersByTimeAsync(1);
    }
    expect(searchCount).toBeGreaterThanOrEqual(9);
    expect(searchCount).toBeLessThanOrEqual(11);
    vi.useRealTimers();
});

describe("the limit of requests at a server whose room is short", () => {
    const load = (waitingCount: number) => ({ runningCount: 6, waitingCount, slotCount: 6 });

    it("is none until the server says so", () => {
        const limit = new PlaceLimit();
        limit.recordResponse(load(0), 40, 0);
        expect(limit.hasRoom(40, 0)).toBe(true);
    });

    it("is what the server took before it refused", () => {
        const limit = new PlaceLimit();
        limit.recordRefusal(undefined, 3, 0);
        expect([limit.hasRoom(2, 0), limit.hasRoom(3, 0), limit.hasRoom(3, 0, 1)]).toEqual([true, false, true]);
    });

    it.each([
        { name: "all slots are taken", runningCount: 6, expected: false },
        { name: "a slot is free", runningCount: 5, expected: true },
    ])("follows a refusal by the load beside it: $name", ({ runningCount, expected }) => {
        const limit = new PlaceLimit();
        limit.recordRefusal({ runningCount, waitingCount: 0, slotCount: 6 }, 3, 0);
        expect(limit.hasRoom(3, 0)).toBe(expected);
    });

    it("falls once for all responses of a moment that tell of a long queue", () => {
        const limit = new PlaceLimit();
        limit.recordResponse(load(5), 10, 1_000);
        limit.recordResponse(load(5), 10, 1_050);
        expect(limit.value).toBeCloseTo(8.5);
        limit.recordResponse(load(5), 8, 1_100);
        expect(limit.value).toBeCloseTo(6.8);
    });

    it.each([
        { name: "many responses", times: [50, 100, 150, 200, 250], expected: 4.5 },
        { name: "few responses", times: [250], expected: 4.5 },
        { name: "a response after a long time", times: [1_900], expected: 5 },
    ])("grows with time: $name", ({ times, expected }) => {
        const limit = new PlaceLimit();
        limit.recordRefusal(undefined, 4, 0);
        for (const atMs of times) limit.recordResponse(load(0), 4, atMs);
        expect(limit.value).toBeCloseTo(expected);
    });

    it("stands for pauses below one request", () => {
        const limit = new PlaceLimit();
        limit.recordEnd(100, 0);
        limit.recordRefusal(undefined, 0, 0);
        expect(limit.value).toBe(0.5);
        expect([limit.hasRoom(0, 50), limit.hasRoom(0, 100)]).toEqual([false, true]);
    });

    it("is lifted when it has not been reached for a while", () => {
        const limit = new PlaceLimit();
        limit.recordRefusal(undefined, 4, 0);
        limit.recordResponse(load(0), 2, 2_000);
        expect(limit.value).toBe(Infinity);
    });
});
