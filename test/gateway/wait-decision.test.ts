import { describe, expect, it } from "vitest";
import { decideWait, type WaitSituation } from "../../packages/gateway/src/runtime/stages/wait-decision.ts";

const situation: WaitSituation = {
    holdMs: undefined,
    reservation: { kind: "none", etaMs: Infinity },
    modelEtaMs: undefined,
    placeEtaMs: undefined,
    placeWaitMs: 500,
    usefulWaitMs: 2_000,
    remainingMs: 3_000,
    isWaitOver: false,
    holderReturnMs: 3_000,
};

// Guards against requests that wait to their end for a place that they can't get in time.
describe("a request that waits for its turn", () => {
    it.each<{ name: string; changes: Partial<WaitSituation>; expected: object; }>([
        { name: "waits while its turn isn't known", changes: {}, expected: { kind: "wait" } },
        { name: "waits for a turn in time", changes: { placeEtaMs: 400 }, expected: { kind: "wait" } },
        {
            name: "is refused at once for a turn that comes too late, with its time",
            changes: { placeEtaMs: 900 },
            expected: { kind: "refuse", code: "servers_full", retryAfterMs: 900 },
        },
        {
            name: "waits for a copy of its model that is ready sooner",
            changes: { placeEtaMs: 900, modelEtaMs: 300 },
            expected: { kind: "wait" },
        },
        {
            name: "is refused for its model if neither comes in time",
            changes: { placeEtaMs: 900, modelEtaMs: 4_000 },
            expected: { kind: "refuse", code: "model_not_in_time" },
        },
    ])("$name", ({ changes, expected }) => {
        expect(decideWait({ ...situation, ...changes })).toMatchObject(expected);
    });
});
