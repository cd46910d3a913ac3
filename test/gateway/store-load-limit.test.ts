import { type StoreLoad, StoreLoadLimit } from "@skylarkmill/gateway";
import { type ServerId, toId } from "@skylarkmill/protocol";
import { describe, expect, it } from "vitest";

const FULL_SPEED_MS = 10_000;
const STEP_MS = 100;

/** Replays a store at which a load takes longer in proportion when it begins beyond `atOnce` others. */
function replay(atOnce: number, wantedCount: number, configuredLimit: number): number {
    const limit = new StoreLoadLimit(configuredLimit);
    let active: (StoreLoad & { readonly endsAtMs: number; })[] = [];
    let startedCount = 0;
    for (let now = 0; startedCount < wantedCount || active.length > 0; now += STEP_MS) {
        active = active.filter(({ endsAtMs }) => endsAtMs > now);
        limit.update(active, now);
        while (startedCount < wantedCount && active.length < limit.value) {
            startedCount += 1;
            const factor = Math.max(1, (active.length + 1) / atOnce);
            active.push({
                serverId: toId<ServerId>(`e${startedCount}`),
                fullSpeedMs: FULL_SPEED_MS,
                endsAtMs: now + factor * FULL_SPEED_MS,
            });
        }
    }
    return limit.value;
}

// Guards against loads that take several times their time, since the weight store delivers few at once.
describe("the number of loads from the weight store at once", () => {
    it.each([
        { atOnce: 1, loads: 6, expected: 1 },
        { atOnce: 2, loads: 8, expected: 2 },
        { atOnce: 3, loads: 12, expected: 3 },
        { atOnce: 4, loads: 12, expected: 4 },
        { atOnce: 8, loads: 12, expected: 4 },
    ])("is learned from their durations: $atOnce at full speed", ({ atOnce, loads, expected }) => {
        expect(replay(atOnce, loads, 4)).toBe(expected);
    });

    it("falls while a load is overdue, before it has ended", () => {
        const limit = new StoreLoadLimit(4);
        const loads = ["a", "b"].map(id => ({ serverId: toId<ServerId>(id), fullSpeedMs: FULL_SPEED_MS }));
        limit.update(loads, 0);
        limit.update(loads.slice(1), 10_000);
        limit.update(loads.slice(1), 20_000);
        expect(limit.value).toBe(1);
    });

    it.each(["a", "b"])("isn't raised by the first one to end of two that began together: %s", first => {
        const limit = new StoreLoadLimit(4);
        const loads = ["a", "b"].map(id => ({ serverId: toId<ServerId>(id), fullSpeedMs: FULL_SPEED_MS }));
        limit.update(loads, 0);
        limit.update(loads.filter(({ serverId }) => serverId !== first), 10_000);
        expect(limit.value).toBe(2);
        limit.update([], 20_000);
        expect(limit.value).toBe(1);
    });

    it("falls less beside orders that may be loads too", () => {
        const limit = new StoreLoadLimit(4);
        const loads = ["a", "b"].map(id => ({ serverId: toId<ServerId>(id), fullSpeedMs: FULL_SPEED_MS }));
        limit.update(loads, 0, 2);
        limit.update([], 20_000);
        expect(limit.value).toBe(2);
    });

    it("isn't changed by a load that was broken off", () => {
        const limit = new StoreLoadLimit(4);
        limit.update([{ serverId: toId<ServerId>("a"), fullSpeedMs: FULL_SPEED_MS }], 0);
        limit.update([], 3_000);
        expect(limit.value).toBe(2);
    });

    it("is raised again after a while, one by one", () => {
        const limit = new StoreLoadLimit(4);
        const load = (id: string) => ({ serverId: toId<ServerId>(id), fullSpeedMs: FULL_SPEED_MS });
        limit.update([load("a"), load("b")], 0);
        limit.update([load("b")], 20_000);
        limit.update([], 20_100);
        expect(limit.value).toBe(1);
        limit.update([load("c")], 90_000);
        limit.update([], 100_000);
        expect(limit.value).toBe(2);
    });

    it("tells when a load beyond it ends", () => {
        const limit = new StoreLoadLimit(2);
        limit.update(["a", "b", "c"].map(id => ({ serverId: toId<ServerId>(id), fullSpeedMs: FULL_SPEED_MS })), 0);
        expect(["b", "c", "d"].map(id => limit.remainingMs(toId<ServerId>(id), 1_000))).toEqual([
            9_000,
            14_000,
            undefined,
        ]);
    });
});
