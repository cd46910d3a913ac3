import { type ChoiceRequest, createServerChooser, expectedWaitMs, type ServerView } from "@skylarkmill/policy";
import { type DataCentre, type RequestId, type ServerId, type ServiceId, toId } from "@skylarkmill/protocol";
import fc from "fast-check";
import { describe, expect, it } from "vitest";

const SEED = 20_264;

function view(id: string, fields: Partial<ServerView> = {}): ServerView {
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

function request(fields: Partial<ChoiceRequest> = {}): ChoiceRequest {
    return {
        requestId: toId<RequestId>("r"),
        serviceId: toId<ServiceId>("assistant"),
        modelId: undefined,
        dataCentre: toId<DataCentre>("dc0"),
        expectedMs: 500,
        remainingMs: 10_000,
        tried: new Set(),
        ...fields,
    };
}

const cold = (id: string, grantPosition: number, fields: Partial<ServerView> = {}) =>
    view(id, { loaded: false, grantPosition, ...fields });
const busy = { reportedCount: 80, backlogMs: 80 * 500 };

// Guards against needless loads, routers that disagree on the server of a cold model, and work for stragglers.
describe("expected completion chooser", () => {
    const cases: { name: string; servers: ServerView[]; expected: string | undefined; hedge?: boolean; }[] = [
        { name: "loaded before cold", servers: [cold("a", 0), view("b")], expected: "b" },
        { name: "first grant when all are cold", servers: [cold("a", 1), cold("b", 0)], expected: "b" },
        { name: "loading before first grant", servers: [cold("a", 0), cold("b", 1, { loading: true })], expected: "b" },
        { name: "cold when the loaded one is crowded", servers: [cold("a", 1), view("b", busy)], expected: "a" },
        { name: "idle before crowded", servers: [view("a", busy), view("b")], expected: "b" },
        { name: "own data centre", servers: [view("a", { dataCentre: toId("dc1") }), view("b")], expected: "b" },
        { name: "cached prompt", servers: [view("a"), view("b", { prefixMatch: 1 })], expected: "b" },
        { name: "normal before slow", servers: [view("a", { slowness: 10 }), view("b")], expected: "b" },
        {
            name: "no hedge at a straggler",
            servers: [view("a", { slowness: 10 })],
            expected: undefined,
            hedge: true,
        },
        { name: "nothing without a grant", servers: [cold("a", 0, { grantPosition: undefined })], expected: undefined },
    ];
    it.each(cases)("$name", ({ servers, expected, hedge }) => {
        const chooser = createServerChooser({ seed: SEED, probeShare: 0 });
        expect(chooser.choose(request({ hedge: hedge ?? false }), servers)?.serverId).toBe(expected);
    });

    // Guards against a straggler that recovers and is never tried again.
    it("probes stragglers with a small share of the requests", () => {
        console.log(`seed ${SEED}`);
        const chooser = createServerChooser({ seed: SEED, probeShare: 0.01 });
        const servers = [view("a", { slowness: 10 }), view("b"), view("c")];
        const chosen = Array.from({ length: 10_000 }, () => chooser.choose(request(), servers)?.serverId);
        const probes = chosen.filter(serverId => serverId === "a").length;
        expect(probes).toBeGreaterThan(50);
        expect(probes).toBeLessThan(150);
    });
});

// Guards against a request that is sent twice to one server or to one without the model and without a grant.
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
            const servers = list.map((item, index) => ({ ...view(`s${index}`, item), tried: item.tried }));
            const tried = new Set(servers.filter(server => server.tried).map(server => server.serverId));
            const eligible = servers.filter(server =>
                !server.tried && (server.loaded || server.loading || server.grantPosition !== undefined)
            );
            const chosen = createServerChooser({ name, seed: SEED }).choose(request({ tried }), servers);
            if (eligible.length === 0) expect(chosen).toBeUndefined();
            else expect(eligible).toContain(chosen);
        }),
        { seed: SEED },
    );
});

// Guards against a sum of the backlog being taken for a waiting time.
describe("expected wait", () => {
    const cases = [
        { fields: { reportedCount: 7, backlogMs: 3_500 }, waitMs: 0 },
        { fields: { reportedCount: 15, backlogMs: 7_500 }, waitMs: 500 },
        { fields: { reportedCount: 15, backlogMs: 7_500, reportAgeMs: Infinity }, waitMs: 0 },
        { fields: { reportedCount: 15, backlogMs: 150_000 }, waitMs: 1_000 },
    ];
    it.each(cases)("is $waitMs ms for $fields", ({ fields, waitMs }) => {
        expect(expectedWaitMs(view("a", fields), 500, 500)).toBeCloseTo(waitMs);
    });
});
