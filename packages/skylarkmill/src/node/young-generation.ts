import { PerformanceObserver } from "node:perf_hooks";
import { getHeapSpaceStatistics, setFlagsFromString } from "node:v8";

// By default V8 lets the young generation grow to 32 MB, with which routers used 136 MB of resident memory; their limit
// is 128 MB.
const MAX_YOUNG_GENERATION_BYTES = 4 * 1024 * 1024;

function hasReachedLimit(): boolean {
    const space = getHeapSpaceStatistics().find(statistics => statistics.space_name === "new_space");
    return space !== undefined && space.space_size >= MAX_YOUNG_GENERATION_BYTES;
}

/**
 * Stops the growth of V8's young generation when it reaches its limit. The maximum size can't be set while the process
 * runs, but the growth factor can.
 */
export function limitYoungGeneration(): void {
    const observer = new PerformanceObserver(() => {
        if (!hasReachedLimit()) return;
        setFlagsFromString("--semi-space-growth-factor=1");
        observer.disconnect();
    });
    observer.observe({ entryTypes: ["gc"] });
}
