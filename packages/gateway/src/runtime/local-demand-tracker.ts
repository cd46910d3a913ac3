import { nowMs } from "@skylarkmill/coordination";
import type { AdapterId, ModelId } from "@skylarkmill/protocol";
import type { ArrivalDemand, RunningDemand, WaitingDemand } from "../types/placement.ts";
import type { ServerDirectory } from "./server-directory.ts";
import { formatTargetKey, parseTargetKey } from "./server-state.ts";

/** Time that a caller may need beyond the retry delay until its next request arrives. */
const RETURN_SLACK_MS = 300;

/** A request that waits for its model or adapter. */
export interface WaitingRequest {
    readonly arrivedAtMs: number;
}

/** Tracks the models and adapters that this gateway's requests wait for, and the arrivals of requests. */
export class LocalDemandTracker {
    private readonly waitersByTarget = new Map<string, Set<WaitingRequest>>();
    private arrivalCounts = new Map<string, number>();

    /** @param onNewTarget Called when a request starts to wait for a model or adapter that no other one waits for. */
    constructor(private readonly onNewTarget: () => void) {}

    recordArrival(modelId: ModelId, adapterId: AdapterId | undefined): void {
        const key = formatTargetKey(modelId, adapterId);
        this.arrivalCounts.set(key, (this.arrivalCounts.get(key) ?? 0) + 1);
    }

    addWaiter(modelId: ModelId, adapterId: AdapterId | undefined, waiter: WaitingRequest): void {
        const key = formatTargetKey(modelId, adapterId);
        const waiters = this.waitersByTarget.get(key);
        if (waiters !== undefined) {
            waiters.add(waiter);
            return;
        }
        this.waitersByTarget.set(key, new Set([waiter]));
        this.onNewTarget();
    }

    removeWaiter(modelId: ModelId, adapterId: AdapterId | undefined, waiter: WaitingRequest): void {
        const key = formatTargetKey(modelId, adapterId);
        const waiters = this.waitersByTarget.get(key);
        waiters?.delete(waiter);
        if (waiters?.size === 0) this.waitersByTarget.delete(key);
    }

    /** Counts a refused request as waiting until its caller has returned. */
    addReturning(modelId: ModelId, adapterId: AdapterId | undefined, arrivedAtMs: number, retryAfterMs: number): void {
        const waiter = { arrivedAtMs };
        this.addWaiter(modelId, adapterId, waiter);
        setTimeout(() => this.removeWaiter(modelId, adapterId, waiter), retryAfterMs + RETURN_SLACK_MS).unref();
    }

    listWaiting(): WaitingDemand[] {
        const now = nowMs();
        return [...this.waitersByTarget].map(([key, waiters]) => {
            const oldestMs = Math.min(...[...waiters].map(waiter => waiter.arrivedAtMs));
            return { ...parseTargetKey(key), count: waiters.size, oldestWaitMs: Math.round(now - oldestMs) };
        });
    }

    /** Returns and resets the arrivals since the last call. */
    flushArrivals(): ArrivalDemand[] {
        const counts = this.arrivalCounts;
        this.arrivalCounts = new Map();
        return [...counts].map(([key, count]) => ({ ...parseTargetKey(key), count }));
    }
}

/** Counts this gateway's requests in progress by engine, model and adapter. */
export function countRunningRequests(directory: ServerDirectory): RunningDemand[] {
    const running: RunningDemand[] = [];
    for (const server of directory.values()) {
        for (const [key, count] of server.runningByTarget) {
            running.push({ serverId: server.record.serverId, ...parseTargetKey(key), count });
        }
    }
    return running;
}
