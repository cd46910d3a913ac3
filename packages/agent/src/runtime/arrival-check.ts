import type { AdmissionPolicy, DurationEstimator } from "@skylarkmill/policy";
import type { Refusal } from "@skylarkmill/protocol";
import type { WaitingRequest } from "../types/request.ts";
import { REFUSALS } from "../utils/refusals.ts";
import type { ReplicaSet } from "./replica-set.ts";
import type { RunningSet } from "./running-set.ts";
import type { WaitingRoom } from "./waiting-room.ts";

export interface ArrivalCheckOptions {
    readonly waiting: WaitingRoom;
    readonly running: RunningSet;
    readonly replicas: ReplicaSet | undefined;
    readonly admission: AdmissionPolicy;
    readonly durations: DurationEstimator;
    readonly maxQueuedCount: number;
    readonly slotCount: () => number;
}

/** Decides whether an arriving request may wait for its turn. */
export class ArrivalCheck {
    constructor(private readonly options: ArrivalCheckOptions) {}

    /** Why the request is refused at once, or undefined. */
    refusal(entry: WaitingRequest, nowMs: number): Refusal | undefined {
        const { waiting, running, maxQueuedCount } = this.options;
        if (waiting.has(entry.requestId) || running.has(entry.requestId)) return REFUSALS.alreadyDispatched();
        if (nowMs >= entry.deadlineAtMs) return REFUSALS.deadline("not_run", "before the request arrived");
        const blocked = this.modelRefusal(entry);
        if (blocked !== undefined) return blocked;
        if (waiting.size >= maxQueuedCount) return REFUSALS.overloaded("queue_full", this.waitMs(entry, nowMs));
        return this.admissionRefusal(entry, nowMs);
    }

    /** Sum of the expected durations of the queued requests and of what remains of the running ones. */
    backlogMs(nowMs: number): number {
        return this.options.waiting.expectedMs + this.options.running.remainingMs(nowMs, () => true);
    }

    private modelRefusal({ head }: WaitingRequest): Refusal | undefined {
        const { replicas } = this.options;
        if (replicas === undefined) return undefined;
        if (head.modelId === undefined) return REFUSALS.badHead("A request to a model service must name its model.");
        return replicas.blockedBy(head.modelId);
    }

    private admissionRefusal(entry: WaitingRequest, nowMs: number): Refusal | undefined {
        const totalCount = this.options.waiting.size + this.options.running.size;
        const decision = this.options.admission.decide({
            serviceId: entry.head.serviceId,
            nowMs,
            deadlineAtMs: entry.deadlineAtMs,
            // An assumed duration refuses nothing: without an answer the real one would never be learned.
            expectedMs: this.options.durations.expectedMs(entry.group, 0),
            waitMs: this.waitMs(entry, nowMs),
            serviceCount: totalCount,
            totalCount,
            // An agent serves one service.
            weight: 1,
            totalWeight: 1,
        });
        return decision.admitted ? undefined : REFUSALS.overloaded(decision.code, decision.retryAfterMs);
    }

    /** Expected time until a slot is free for the request and its model is loaded. */
    private waitMs(entry: WaitingRequest, nowMs: number): number {
        const { waiting, running, replicas, slotCount } = this.options;
        const { modelId } = entry.head;
        const queueMs = waiting.size + running.size >= slotCount() ? this.queueMs(entry, nowMs) : 0;
        const loadMs = modelId === undefined ? 0 : replicas?.expectedLoadMs(modelId, nowMs) ?? 0;
        return Math.max(queueMs, loadMs);
    }

    /** The queue order keeps slots free of long requests, so a short one does not wait for them. */
    private queueMs(entry: WaitingRequest, nowMs: number): number {
        const { waiting, running } = this.options;
        const slotCount = this.options.slotCount();
        const isLong = ({ expectedMs }: WaitingRequest): boolean => waiting.isLong(expectedMs);
        if (isLong(entry)) return this.backlogMs(nowMs) / Math.max(1, slotCount);
        const shortMs = waiting.expectedShortMs + running.remainingMs(nowMs, other => !isLong(other));
        return shortMs / Math.max(1, slotCount - running.count(isLong));
    }
}
