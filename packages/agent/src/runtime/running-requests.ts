import type { RequestId } from "@skylarkmill/protocol";
import type { ScheduledRequest } from "../types/request.ts";

interface RunningRequest {
    readonly entry: ScheduledRequest;
    readonly startedAtMs: number;
}

/** Tracks the requests that are running at the backend server. */
export class RunningRequests {
    private readonly running = new Map<RequestId, RunningRequest>();

    get size(): number {
        return this.running.size;
    }

    has(entryId: RequestId): boolean {
        return this.running.has(entryId);
    }

    add(entry: ScheduledRequest, nowMs: number): void {
        this.running.set(entry.entryId, { entry, startedAtMs: nowMs });
    }

    /** Removes and returns a request that has ended; undefined when it was not running. */
    remove(entryId: RequestId): ScheduledRequest | undefined {
        const entry = this.running.get(entryId)?.entry;
        this.running.delete(entryId);
        return entry;
    }

    count(matches: (entry: ScheduledRequest) => boolean): number {
        let count = 0;
        for (const { entry } of this.running.values()) if (matches(entry)) count += 1;
        return count;
    }

    /** Sum of the expected durations of the running requests. */
    get totalExpectedMs(): number {
        let sumMs = 0;
        for (const { entry } of this.running.values()) sumMs += entry.expectedMs;
        return sumMs;
    }

    /** Sum of the expected remaining durations of the running requests. */
    remainingMs(nowMs: number): number {
        let sumMs = 0;
        for (const { entry, startedAtMs } of this.running.values()) {
            sumMs += Math.max(0, entry.expectedMs - (nowMs - startedAtMs));
        }
        return sumMs;
    }
}
