import type { QueueOrder, SlotUsage } from "@skylarkmill/policy";
import type { AdapterId, ModelId, RequestId } from "@skylarkmill/protocol";
import type { DemandByModel, ModelDemand } from "../types/demand.ts";
import type { ScheduledRequest } from "../types/request.ts";

/**
 * Queues the requests of one backend server. Runs a timer for each deadline and tracks the demand per model.
 *
 * @example
 * const queue = new RequestQueue(order, entryId => mailbox.post({ kind: "expire", entryId }));
 */
export class RequestQueue {
    private readonly deadlineTimers = new Map<RequestId, NodeJS.Timeout>();
    private readonly demands = new Map<ModelId, ModelDemand>();
    private readonly keptDemandTimers = new Map<ModelId, NodeJS.Timeout>();
    private expectedSumMs = 0;

    constructor(
        private readonly queueOrder: QueueOrder<ScheduledRequest>,
        private readonly onDeadline: (entryId: RequestId) => void,
    ) {}

    get size(): number {
        return this.queueOrder.size;
    }

    /** Sum of the expected durations of the queued requests. */
    get totalExpectedMs(): number {
        return this.expectedSumMs;
    }

    get demand(): DemandByModel {
        return this.demands;
    }

    isLong(expectedMs: number): boolean {
        return this.queueOrder.isLong(expectedMs);
    }

    /**
     * Expected time before the entry starts; undefined when the queue order does not support an estimate.
     *
     * @param runningMs sum of the expected durations of the running requests
     */
    expectedWaitMs(entry: ScheduledRequest, slotUsage: SlotUsage, runningMs: number): number | undefined {
        return this.queueOrder.waitMs?.(entry, slotUsage, runningMs);
    }

    has(entryId: RequestId): boolean {
        return this.deadlineTimers.has(entryId);
    }

    push(entry: ScheduledRequest, nowMs: number): void {
        this.queueOrder.push(entry);
        this.expectedSumMs += entry.expectedMs;
        const delayMs = Math.max(0, entry.deadlineAtMs - nowMs);
        this.deadlineTimers.set(entry.entryId, setTimeout(() => this.onDeadline(entry.entryId), delayMs));
        this.updateDemand(entry, 1);
    }

    /** Removes and returns the entry to start next, or undefined when none may start now. */
    dequeue(
        nowMs: number,
        slotUsage: SlotUsage,
        isReady: (entry: ScheduledRequest) => boolean,
    ): ScheduledRequest | undefined {
        const entry = this.queueOrder.dequeue(nowMs, slotUsage, isReady);
        if (entry !== undefined) this.untrack(entry);
        return entry;
    }

    remove(entryId: RequestId): ScheduledRequest | undefined {
        const entry = this.queueOrder.remove(entryId);
        if (entry !== undefined) this.untrack(entry);
        return entry;
    }

    /** Removes and returns all entries that match. */
    removeWhere(matches: (entry: ScheduledRequest) => boolean): ScheduledRequest[] {
        return this.queueOrder.entries().filter(matches).flatMap(entry => this.remove(entry.entryId) ?? []);
    }

    /** Keeps a demand for the model for the given time even if no request waits for it. */
    keepDemand(modelId: ModelId, nowMs: number, durationMs: number): void {
        this.endKeptDemand(modelId);
        this.keptDemandTimers.set(modelId, setTimeout(() => this.endKeptDemand(modelId), durationMs).unref());
        if (!this.demands.has(modelId)) this.demands.set(modelId, createDemand(nowMs));
    }

    endKeptDemand(modelId: ModelId): void {
        clearTimeout(this.keptDemandTimers.get(modelId));
        this.keptDemandTimers.delete(modelId);
        this.removeEmptyDemand(modelId);
    }

    private removeEmptyDemand(id: ModelId): void {
        if (this.demands.get(id)?.requestCount === 0 && !this.keptDemandTimers.has(id)) this.demands.delete(id);
    }

    private untrack(entry: ScheduledRequest): void {
        clearTimeout(this.deadlineTimers.get(entry.entryId));
        this.deadlineTimers.delete(entry.entryId);
        this.expectedSumMs -= entry.expectedMs;
        this.updateDemand(entry, -1);
    }

    private updateDemand(entry: ScheduledRequest, step: 1 | -1): void {
        const { modelId, adapterId } = entry.head;
        if (modelId === undefined) return;
        const demand = this.demands.get(modelId) ?? createDemand(entry.enqueuedAtMs);
        demand.requestCount += step;
        this.demands.set(modelId, demand);
        if (adapterId !== undefined) {
            const count = (demand.requestCountByAdapter.get(adapterId) ?? 0) + step;
            if (count > 0) demand.requestCountByAdapter.set(adapterId, count);
            else demand.requestCountByAdapter.delete(adapterId);
        }
        this.removeEmptyDemand(modelId);
    }
}

function createDemand(startedAtMs: number): ModelDemand {
    return { requestCount: 0, startedAtMs, requestCountByAdapter: new Map<AdapterId, number>() };
}
