import { Gauge, type Registry } from "prom-client";
import type { MemoryUsage } from "./memory-watch.ts";

export interface ProcessMetricsOptions {
    readonly registry: Registry;
    /** Memory beyond which the process is ended. */
    readonly limitBytes: number;
    readonly readUsage: () => MemoryUsage;
    /** Number of open descriptors; undefined if the host doesn't say. */
    readonly countDescriptors: () => number | undefined;
}

/** Parts of the memory by their name in the metric. */
const PARTS = {
    resident: "rss",
    heap_total: "heapTotal",
    heap_used: "heapUsed",
    external: "external",
    array_buffers: "arrayBuffers",
} as const satisfies Record<string, keyof MemoryUsage>;

/**
 * Defines the metrics of the process that a gateway runs in. They are read at each scrape and cost nothing between two;
 * the default metrics of prom-client would observe the garbage collector and the event loop all the time.
 */
export function registerProcessMetrics(options: ProcessMetricsOptions): void {
    const { registry, limitBytes, readUsage, countDescriptors } = options;
    new Gauge({
        name: "skylarkmill_gateway_memory_bytes",
        help: "Memory of the process by part: resident holds all others; array_buffers are a part of external.",
        labelNames: ["part"],
        registers: [registry],
        collect() {
            const usage = readUsage();
            for (const [part, field] of Object.entries(PARTS)) this.set({ part }, usage[field]);
        },
    });
    new Gauge({
        name: "skylarkmill_gateway_memory_limit_bytes",
        help: "Memory beyond which the process is ended.",
        registers: [registry],
    }).set(limitBytes);
    new Gauge({
        name: "skylarkmill_gateway_open_descriptors",
        help: "Open files and sockets of the process; not set if the host doesn't say.",
        registers: [registry],
        collect() {
            const count = countDescriptors();
            if (count === undefined) this.remove();
            else this.set(count);
        },
    });
}
