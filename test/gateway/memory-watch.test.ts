import type { Logger } from "@skylarkmill/coordination";
import { decideMemoryLevel, type MemoryLevel, MemoryWatch, registerProcessMetrics } from "@skylarkmill/gateway";
import { Registry } from "prom-client";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";

const MB = 1_000_000;
const LIMIT_MB = 350;
const CHECK_MS = 2_000;
const usage = { rss: 290 * MB, heapTotal: 200 * MB, heapUsed: 180 * MB, external: 30 * MB, arrayBuffers: 25 * MB };

interface Line {
    readonly level: "info" | "warn";
    readonly fields: Record<string, unknown>;
}

function createRecordingLogger(lines: Line[]): Logger {
    const record = (level: Line["level"]) => (fields: object): void =>
        void lines.push({ level, fields: fields as Line["fields"] });
    return { debug: () => undefined, info: record("info"), warn: record("warn"), error: record("warn") };
}

describe("the level of a process's memory", () => {
    it.each<{ name: string; residentMb: readonly number[]; levels: readonly MemoryLevel[]; }>([
        {
            name: "stays normal below the first bound",
            residentMb: [100, 279, 100],
            levels: ["normal", "normal", "normal"],
        },
        { name: "is high from the first bound on", residentMb: [279, 280, 349], levels: ["normal", "high", "high"] },
        { name: "stays high between the bounds", residentMb: [280, 246, 279], levels: ["high", "high", "high"] },
        {
            name: "is normal again below the second bound",
            residentMb: [280, 244, 279],
            levels: ["high", "normal", "normal"],
        },
        { name: "is high beyond the limit", residentMb: [500], levels: ["high"] },
    ])("$name", ({ residentMb, levels }) => {
        let level: MemoryLevel = "normal";
        expect(residentMb.map(mb => level = decideMemoryLevel(level, mb / LIMIT_MB))).toEqual(levels);
    });
});

describe("the watch on a process's memory", () => {
    beforeEach(() => void vi.useFakeTimers());
    afterEach(() => void vi.useRealTimers());

    // Guards against processes that are ended at their limit without a word of what took the memory.
    it("writes one line when memory becomes high and one when it is normal again", () => {
        const lines: Line[] = [];
        let residentMb = 100;
        const watch = new MemoryWatch({
            limitBytes: LIMIT_MB * MB,
            logger: createRecordingLogger(lines),
            readResidentBytes: () => residentMb * MB,
            readUsage: () => ({ ...usage, rss: residentMb * MB }),
        });
        watch.start();
        for (const mb of [290, 300, 260, 290, 200, 200]) {
            residentMb = mb;
            vi.advanceTimersByTime(CHECK_MS);
        }
        watch.stop();
        residentMb = 340;
        vi.advanceTimersByTime(CHECK_MS);
        const parts = { heapTotalMb: 200, heapUsedMb: 180, externalMb: 30, arrayBuffersMb: 25 };
        expect(lines).toEqual([
            { level: "warn", fields: { step: "memory", limitMb: LIMIT_MB, residentMb: 290, ...parts } },
            { level: "info", fields: { step: "memory", limitMb: LIMIT_MB, residentMb: 200, ...parts } },
        ]);
    });

    it("says once that memory can't be read", () => {
        const lines: Line[] = [];
        const error = new Error("EACCES");
        const watch = new MemoryWatch({
            limitBytes: LIMIT_MB * MB,
            logger: createRecordingLogger(lines),
            readResidentBytes: () => {
                throw error;
            },
            readUsage: () => usage,
        });
        watch.start();
        vi.advanceTimersByTime(3 * CHECK_MS);
        watch.stop();
        expect(lines).toEqual([{ level: "warn", fields: { step: "memory", err: error } }]);
    });
});

describe("the metrics of a gateway's process", () => {
    it.each([
        { name: "with descriptors", descriptorCount: 42, descriptorLine: "skylarkmill_gateway_open_descriptors 42" },
        { name: "without descriptors", descriptorCount: undefined, descriptorLine: undefined },
    ])("tell heap, buffers and the rest apart, $name", async ({ descriptorCount, descriptorLine }) => {
        const registry = new Registry();
        registerProcessMetrics({
            registry,
            limitBytes: LIMIT_MB * MB,
            readUsage: () => usage,
            countDescriptors: () => descriptorCount,
        });
        const lines = (await registry.metrics()).split("\n").filter(line => line !== "" && !line.startsWith("#"));
        expect(lines).toEqual([
            `skylarkmill_gateway_memory_bytes{part="resident"} ${usage.rss}`,
            `skylarkmill_gateway_memory_bytes{part="heap_total"} ${usage.heapTotal}`,
            `skylarkmill_gateway_memory_bytes{part="heap_used"} ${usage.heapUsed}`,
            `skylarkmill_gateway_memory_bytes{part="external"} ${usage.external}`,
            `skylarkmill_gateway_memory_bytes{part="array_buffers"} ${usage.arrayBuffers}`,
            `skylarkmill_gateway_memory_limit_bytes ${LIMIT_MB * MB}`,
            ...(descriptorLine === undefined ? [] : [descriptorLine]),
        ]);
    });
});
