import type { QueueOrder, RunningWork } from "@skylarkmill/policy";
import type { AdapterId, ModelId, RequestId } from "@skylarkmill/protocol";
import type { Demand, ModelDemand } from "../types/demand.ts";
import type { WaitingRequest } from "../types/request.ts";

/**
 * The requests that wait at one backend server, with a timer per deadline and a count per model.
 *
 * @example
 * const room = new WaitingRoom(order, requestId => mailbox.post({ kind: "expire", requestId }));
 */
export class WaitingRoom {
    private readonly timers = new Map<RequestId, NodeJS.Timeout>();
    private readonly models = new Map<ModelId, ModelDemand>();
    private readonly wishes = new Map<ModelId, NodeJS.Timeout>();
    private readonly expectedSumMs = { short: 0, long: 0 };

    constructor(
        private readonly order: QueueOrder<WaitingRequest>,
        private readonly onDeadline: (requestId: RequestId) => void,
    ) {}

    get size(): number {
        return this.order.size;
    }

    /** Sum of the expected durations. */
    get expectedMs(): number {
        return this.expectedSumMs.short + this.expectedSumMs.long;
    }

    /** Sum of the expected durations of the requests that are not long. */
    get expectedShortMs(): number {
        return this.expectedSumMs.short;
    }

    get demand(): Demand {
        return this.models;
    }

    isLong(expectedMs: number): boolean {
        return this.order.isLong(expectedMs);
    }

    has(requestId: RequestId): boolean {
        return this.timers.has(requestId);
    }

    push(entry: WaitingRequest, nowMs: number): void {
        this.order.push(entry);
        this.expectedSumMs[this.lengthOf(entry)] += entry.expectedMs;
        const delayMs = Math.max(0, entry.deadlineAtMs - nowMs);
        this.timers.set(entry.requestId, setTimeout(() => this.onDeadline(entry.requestId), delayMs));
        this.count(entry, 1);
    }

    next(
        nowMs: number,
        running: RunningWork,
        ready: (entry: WaitingRequest) => boolean,
    ): WaitingRequest | undefined {
        const entry = this.order.next(nowMs, running, ready);
        if (entry !== undefined) this.forget(entry);
        return entry;
    }

    remove(requestId: RequestId): WaitingRequest | undefined {
        const entry = this.order.remove(requestId);
        if (entry !== undefined) this.forget(entry);
        return entry;
    }

    /** Removes and returns all entries that match. */
    removeWhere(matches: (entry: WaitingRequest) => boolean): WaitingRequest[] {
        return this.order.entries().filter(matches).flatMap(entry => this.remove(entry.requestId) ?? []);
    }

    /** Counts a model as asked for although no request waits for it, until the time is over. */
    wish(modelId: ModelId, nowMs: number, durationMs: number): void {
        this.dropWish(modelId);
        this.wishes.set(modelId, setTimeout(() => this.dropWish(modelId), durationMs).unref());
        if (!this.models.has(modelId)) this.models.set(modelId, newDemand(nowMs));
    }

    dropWish(modelId: ModelId): void {
        clearTimeout(this.wishes.get(modelId));
        this.wishes.delete(modelId);
        this.dropUnwanted(modelId);
    }

    private lengthOf(entry: WaitingRequest): "short" | "long" {
        return this.order.isLong(entry.expectedMs) ? "long" : "short";
    }

    private dropUnwanted(modelId: ModelId): void {
        if (this.models.get(modelId)?.count === 0 && !this.wishes.has(modelId)) this.models.delete(modelId);
    }

    private forget(entry: WaitingRequest): void {
        clearTimeout(this.timers.get(entry.requestId));
        this.timers.delete(entry.requestId);
        this.expectedSumMs[this.lengthOf(entry)] -= entry.expectedMs;
        this.count(entry, -1);
    }

    private count(entry: WaitingRequest, step: 1 | -1): void {
        const { modelId, adapterId } = entry.head;
        if (modelId === undefined) return;
        const demand = this.models.get(modelId) ?? newDemand(entry.enqueuedAtMs);
        demand.count += step;
        this.models.set(modelId, demand);
        if (adapterId !== undefined) {
            const count = (demand.adapters.get(adapterId) ?? 0) + step;
            if (count > 0) demand.adapters.set(adapterId, count);
            else demand.adapters.delete(adapterId);
        }
        this.dropUnwanted(modelId);
    }
}

function newDemand(sinceMs: number): ModelDemand {
    return { count: 0, sinceMs, adapters: new Map<AdapterId, number>() };
}
