import type { RequestId } from "@skylarkmill/protocol";
import type { WaitingRequest } from "../types/request.ts";

interface RunningRequest {
    readonly entry: WaitingRequest;
    readonly startedAtMs: number;
}

/** Tracks the requests that are running at the backend server. */
export class RunningRequests {
    private readonly running = new Map<RequestId, RunningRequest>();

    get size(): number {
        return this.running.size;
    }

    has(requestId: RequestId): boolean {
        return this.running.has(requestId);
    }

    add(entry: WaitingRequest, nowMs: number): void {
        this.running.set(entry.requestId, { entry, startedAtMs: nowMs });
    }

    /** Removes and returns a request that has ended; undefined when it was not running. */
    remove(requestId: RequestId): WaitingRequest | undefined {
        const entry = this.running.get(requestId)?.entry;
        this.running.delete(requestId);
        return entry;
    }

    count(matches: (entry: WaitingRequest) => boolean): number {
        let count = 0;
        for (const { entry } of this.running.values()) if (matches(entry)) count += 1;
        return count;
    }

    /** Sum of the expected durations of the running requests. */
    get expectedMs(): number {
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
