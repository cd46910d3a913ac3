import type { RequestId } from "@skylarkmill/protocol";
import type { WaitingRequest } from "../types/request.ts";

interface Running {
    readonly entry: WaitingRequest;
    readonly startedAtMs: number;
}

/** The requests that run at the backend server. */
export class RunningSet {
    private readonly running = new Map<RequestId, Running>();

    get size(): number {
        return this.running.size;
    }

    has(requestId: RequestId): boolean {
        return this.running.has(requestId);
    }

    start(entry: WaitingRequest, nowMs: number): void {
        this.running.set(entry.requestId, { entry, startedAtMs: nowMs });
    }

    /** Removes a request that has ended; undefined when it was not running. */
    end(requestId: RequestId): WaitingRequest | undefined {
        const entry = this.running.get(requestId)?.entry;
        this.running.delete(requestId);
        return entry;
    }

    count(matches: (entry: WaitingRequest) => boolean): number {
        let count = 0;
        for (const { entry } of this.running.values()) if (matches(entry)) count += 1;
        return count;
    }

    /** Sum of what remains of the expected durations. */
    remainingMs(nowMs: number, matches: (entry: WaitingRequest) => boolean): number {
        let sumMs = 0;
        for (const { entry, startedAtMs } of this.running.values()) {
            if (matches(entry)) sumMs += Math.max(0, entry.expectedMs - (nowMs - startedAtMs));
        }
        return sumMs;
    }
}
