import { type ChoiceRequest, createServerChooser, expectedWaitMs, type ServerView } from "@skylarkmill/policy";
import { type DataCentre, type RequestId, type ServerId, type ServiceId, toId } from "@skylarkmill/protocol";
import fc from "fast-check";
import { describe, expect, it } from "vitest";

const SEED = 20_264;

function createView(id: string, fields: Partial<ServerView> = {}): ServerView {
    return {
        serverId: toId<ServerId>(id),
        dataCentre: toId<DataCentre>("dc0"),
        loaded: true,
        loading: false,
        adapterLoaded: true,
        grantPosition: 0,
        outstandingCount: 0,
        reportedCount: 0,
        backlogMs: 0,
        slotCount: 8,
        reportAgeMs: 0,
        slowness: 1,
        prefixMatch: 0,
        expectedLoadMs: 2_000,
        ...fields,
    };
}

function createRequest(fields: Partial<ChoiceRequest> = {}): ChoiceRequest {
    return {
        requestId: toId<RequestId>("r"),
        serviceId: toId<ServiceId>("assistant"),
        modelId: undefined,
        dataCentre: toId<DataCentre>("dc0"),
        expectedMs: 500,
        remainingMs: 10_000,
        triedServerIds: new Set(),
        ...fields,
    };
}

const createColdView = (id: string, grantPosition: number, fields: Partial<ServerView> = {}) =>
    createView(id, { loaded: false, grantPosition, ...fields });
const longQueue = { reportedCount: 80, backlogMs: 80 * 500 };

// Guards against needless loads, routers that choose different servers for a cold model, and requests to stragglers.
describe("expected completion chooser", () => {
    const cases: { name: string; servers: ServerView[]; expected: string | undefined; isHedge?: boolean; }[] = [
        {
            name: "prefers a loaded server to a cold one",
            servers: [createColdView("a", 0), createView("b")],
            expected: "b",
        },
        {
            name: "uses the first grant if all are cold",
            servers: [createColdView("a", 1), createColdView("b", 0)],
            expected: "b",
        },
        {
            name: "prefers a loading server to a cold one",
            servers: [createColdView("a", 0), createColdView("b", 1, { loading: true })],
            expected: "b",
        },
        {
            name: "uses a cold server if others are busy",
            servers: [createColdView("a", 1), createView("b", longQueue)],
            expected: "a",
        },
        {
            name: "prefers an idle server to a busy one",
            servers: [createView("a", longQueue), createView("b")],
            expected: "b",
        },
        {
            name: "prefers its own data centre",
            servers: [createView("a", { dataCentre: toId("dc1") }), createView("b")],
            expected: "b",
        },
        {
            name: "prefers a server with a cached prompt",
            servers: [createView("a"), createView("b", { prefixMatch: 1 })],
            expected: "b",
        },
        {
            name: "prefers a normal server to a straggler",
            servers: [createView("a", { slowness: 10 }), createView("b")],
            expected: "b",
        },
        {
            name: "sends no hedge to a straggler",
            servers: [createView("a", { slowness: 10 })],
            expected: undefined,
            isHedge: true,
        },
        {
            name: "chooses no cold server without a grant",
            servers: [createColdView("a", 0, { grantPosition: undefined })],
            expected: undefined,
        },
    ];
    it.each(cases)("$name", ({ servers, expected, isHedge }) => {
        const chooser = createServerChooser({ seed: SEED, probeShare: 0 });
        expect(chooser.choose(createRequest({ isHedge: isHedge ?? false }), servers)?.serverId).toBe(expected);
    });

    // Guards against a straggler that recovers but receives no further requests.
    it("probes stragglers with a small share of the requests", () => {
        console.log(`seed ${SEED}`);
        const chooser = createServerChooser({ seed: SEED, probeShare: 0.01 });
        const servers = [createView("a", { slowness: 10 }), createView("b"), createView("c")];
        const chosen = Array.from({ length: 10_000 }, () => chooser.choose(createRequest(), servers)?.serverId);
        const probes = chosen.filter(serverId => serverId === "a").length;
        expect(probes).toBeGreaterThan(50);
        expect(probes).toBeLessThan(150);
    });
});

// Guards against sending a request to the same server twice, or to a server that has neither the model nor a grant.
it.each(["random", "least-reported", "expected-completion"] as const)("%s chooses an eligible server", name => {
    console.log(`seed ${SEED}`);
    const fields = fc.record({
        loaded: fc.boolean(),
        loading: fc.boolean(),
        grantPosition: fc.option(fc.integer({ min: 0, max: 3 }), { nil: undefined }),
        outstandingCount: fc.integer({ min: 0, max: 50 }),
        reportedCount: fc.integer({ min: 0, max: 50 }),
        slowness: fc.double({ min: 0, max: 20, noNaN: true }),
        reportAgeMs: fc.constantFrom(0, 300, Infinity),
        tried: fc.boolean(),
    });
    fc.assert(
        fc.property(fc.array(fields, { maxLength: 12 }), list => {
            const servers = list.map((item, index) => ({ ...createView(`s${index}`, item), tried: item.tried }));
            const tried = new Set(servers.filter(server => server.tried).map(server => server.serverId));
            const eligible = servers.filter(server =>
                !server.tried && (server.loaded || server.loading || server.grantPosition !== undefined)
            );
            const chosen = createServerChooser({ name, seed: SEED }).choose(
                createRequest({ triedServerIds: tried }),
                servers,
            );
            if (eligible.length === 0) expect(chosen).toBeUndefined();
            else expect(eligible).toContain(chosen);
        }),
        { seed: SEED },
    );
});

// Guards against using the sum of the backlog as the waiting time, although several slots work on it.
describe("expected wait", () => {
    const cases = [
        { fields: { reportedCount: 7, backlogMs: 3_500 }, waitMs: 0 },
        { fields: { reportedCount: 15, backlogMs: 7_500 }, waitMs: 500 },
        { fields: { reportedCount: 15, backlogMs: 7_500, reportAgeMs: Infinity }, waitMs: 0 },
        { fields: { reportedCount: 15, backlogMs: 150_000 }, waitMs: 1_000 },
    ];
    it.each(cases)("is $waitMs ms for $fields", ({ fields, waitMs }) => {
        expect(expectedWaitMs(createView("a", fields), 500, 500)).toBeCloseTo(waitMs);
    });
});
