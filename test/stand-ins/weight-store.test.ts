import { createWeightStoreStandIn } from "@skylarkmill/stand-ins";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

async function measureDurationsMs(loads: readonly Promise<void>[]): Promise<number[]> {
    const startMs = performance.now();
    const times = Promise.all(loads.map(load => load.then(() => Math.round((performance.now() - startMs) / 10) * 10)));
    await vi.advanceTimersByTimeAsync(120_000);
    return times;
}

// Guards against a weight store without limits, with which cold starts would be too fast.
describe("loads", () => {
    const cases = [
        { name: "one alone", ms: 1000, rate: 100, count: 1, slow: 1, expected: [1000] },
        { name: "4 at full speed", ms: 1000, rate: 1000, count: 4, slow: 1, expected: [1000, 1000, 1000, 1000] },
        { name: "8 at half speed", ms: 1000, rate: 1e6, count: 8, slow: 1, expected: Array<number>(8).fill(2000) },
        {
            name: "starts at 2 a second after a burst of 4",
            ms: 400,
            rate: 2,
            count: 6,
            slow: 1,
            expected: [400, 400, 400, 400, 900, 1400],
        },
        { name: "10 times as long while slow", ms: 1000, rate: 100, count: 1, slow: 10, expected: [10_000] },
    ];
    it.each(cases)("takes the expected time: $name", async ({ ms, rate, count, slow, expected }) => {
        const store = createWeightStoreStandIn({ loadsPerSecond: rate });
        store.setSlowFactor(slow);
        const times = await measureDurationsMs(Array.from({ length: count }, () => store.load(ms)));
        for (const [index, time] of times.entries()) expect(time).toBeCloseTo(expected[index]!, -2);
    });
});

// Guards against adapter loads whose duration does not depend on the number of concurrent loads.
it("takes proportionally longer with more than 32 concurrent adapter loads", async () => {
    const store = createWeightStoreStandIn({ adapterMs: [10, 10] });
    const times = await measureDurationsMs(Array.from({ length: 64 }, () => store.loadAdapter()));
    expect(times[0]).toBe(10);
    expect(times[63]).toBe(20);
});
