import { createWeightStoreStandIn } from "@skylarkmill/stand-ins";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

async function measureDurationsMs(loads: readonly Promise<void>[]): Promise<number[]> {
    const startMs = performance.now();
    const durationsMs = Promise.all(
        loads.map(load => load.then(() => Math.round((performance.now() - startMs) / 10) * 10)),
    );
    await vi.advanceTimersByTimeAsync(120_000);
    return durationsMs;
}

// Guards against a weight store without limits, with which cold starts would be too fast.
describe("loads", () => {
    const cases = [
        { name: "one load", durationMs: 1000, loadsPerSecond: 100, loadCount: 1, slowFactor: 1, expectedMs: [1000] },
        {
            name: "4 concurrent loads at full speed",
            durationMs: 1000,
            loadsPerSecond: 1000,
            loadCount: 4,
            slowFactor: 1,
            expectedMs: [1000, 1000, 1000, 1000],
        },
        {
            name: "8 concurrent loads at half speed",
            durationMs: 1000,
            loadsPerSecond: 1e6,
            loadCount: 8,
            slowFactor: 1,
            expectedMs: Array<number>(8).fill(2000),
        },
        {
            name: "a burst of 4 loads, then 2 starts per second",
            durationMs: 400,
            loadsPerSecond: 2,
            loadCount: 6,
            slowFactor: 1,
            expectedMs: [400, 400, 400, 400, 900, 1400],
        },
        {
            name: "one load with a slow factor of 10",
            durationMs: 1000,
            loadsPerSecond: 100,
            loadCount: 1,
            slowFactor: 10,
            expectedMs: [10_000],
        },
    ];
    it.each(cases)(
        "simulates the duration of concurrent loads: $name",
        async ({ durationMs, loadsPerSecond, loadCount, slowFactor, expectedMs }) => {
            const store = createWeightStoreStandIn({ loadsPerSecond });
            store.setSlowFactor(slowFactor);
            const actualMs = await measureDurationsMs(
                Array.from({ length: loadCount }, () => store.load(durationMs)),
            );
            for (const [index, elapsedMs] of actualMs.entries()) expect(elapsedMs).toBeCloseTo(expectedMs[index]!, -2);
        },
    );
});

// Guards against adapter loads whose duration does not depend on the number of concurrent loads.
it("takes proportionally longer with more than 32 concurrent adapter loads", async () => {
    const store = createWeightStoreStandIn({ adapterLoadMsRange: [10, 10] });
    const durationsMs = await measureDurationsMs(Array.from({ length: 64 }, () => store.loadAdapter()));
    expect(durationsMs[0]).toBe(10);
    expect(durationsMs[63]).toBe(20);
});
