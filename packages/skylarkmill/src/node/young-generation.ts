import { PerformanceObserver } from "node:perf_hooks";
import { getHeapSpaceStatistics, setFlagsFromString } from "node:v8";

// V8 lets the young generation grow to 32 MB, which put routers at 136 MB resident; their limit is 128 MB.
const MAX_YOUNG_GENERATION_BYTES = 4 * 1024 * 1024;

function hasReachedLimit(): boolean {
    const space = getHeapSpaceStatistics().find(statistics => statistics.space_name === "new_space");
    return space !== undefined && space.space_size >= MAX_YOUNG_GENERATION_BYTES;
}

/** Stops the growth of V8's young generation; the size can't be set once the process runs, the growth can. */
export function limitYoungGeneration(): void {
    const observer = new PerformanceObserver(() => {
        if (!hasReachedLimit()) return;
        setFlagsFromString("--semi-space-growth-factor=1");
        observer.disconnect();
    });
    observer.observe({ entryTypes: ["gc"] });
}
