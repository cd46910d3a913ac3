import type { AdmissionPolicy, DurationEstimator } from "@skylarkmill/policy";
import type { Refusal } from "@skylarkmill/protocol";
import type { ScheduledRequest } from "../types/request.ts";
import { REFUSALS } from "../utils/refusals.ts";
import type { ReplicaSet } from "./replica-set.ts";
import type { RequestQueue } from "./request-queue.ts";
import type { RunningRequests } from "./running-requests.ts";

export interface ArrivalCheckOptions {
    readonly queue: RequestQueue;
    readonly running: RunningRequests;
    readonly replicas: ReplicaSet | undefined;
    readonly admission: AdmissionPolicy;
    readonly durations: DurationEstimator;
    readonly maxQueuedCount: number;
    readonly slotCount: () => number;
}

/** Decides whether an arriving request may be queued. */
export class ArrivalCheck {
    constructor(private readonly options: ArrivalCheckOptions) {}

    /** Returns the refusal for a request that must not be queued, or undefined. */
    findRefusal(entry: ScheduledRequest, nowMs: number): Refusal | undefined {
        const { queue, running, maxQueuedCount } = this.options;
        if (queue.has(entry.entryId) || running.has(entry.entryId)) return REFUSALS.alreadyDispatched();
        if (nowMs >= entry.deadlineAtMs) return REFUSALS.deadlineExceeded("not_run", "before the request arrived");
        const modelRefusal = this.findModelRefusal(entry);
        if (modelRefusal !== undefined) return modelRefusal;
        if (queue.size >= maxQueuedCount) return REFUSALS.overloaded("queue_full", this.expectedWaitMs(entry, nowMs));
        return this.findAdmissionRefusal(entry, nowMs);
    }

    /** Sum of the expected durations of queued requests and the expected remaining durations of running ones. */
    backlogMs(nowMs: number): number {
        return this.options.queue.totalExpectedMs + this.options.running.remainingMs(nowMs);
    }

    private findModelRefusal({ head }: ScheduledRequest): Refusal | undefined {
        const { replicas } = this.options;
        if (replicas === undefined) return undefined;
        if (head.modelId === undefined) {
            return REFUSALS.badRequestHead("A request to a model service must name its model.");
        }
        return replicas.findRefusal(head.modelId);
    }

    private findAdmissionRefusal(entry: ScheduledRequest, nowMs: number): Refusal | undefined {
        const totalCount = this.options.queue.size + this.options.running.size;
        const decision = this.options.admission.decide({
            serviceId: entry.head.serviceId,
            nowMs,
            deadlineAtMs: entry.deadlineAtMs,
            // Without observed durations the fallback is 0: a refusal based on an assumed duration would prevent
            // the requests from which the actual duration is learned.
            expectedMs: this.options.durations.expectedMs(entry.group, 0),
            waitMs: this.expectedWaitMs(entry, nowMs),
            serviceRequestCount: totalCount,
            totalRequestCount: totalCount,
            // An agent serves one service.
            weight: 1,
            totalWeight: 1,
        });
        return decision.admitted ? undefined : REFUSALS.overloaded(decision.code, decision.retryAfterMs);
    }

    /** Expected time until a slot is free for the request and its model is loaded. */
    private expectedWaitMs(entry: ScheduledRequest, nowMs: number): number {
        const { queue, running, replicas, slotCount } = this.options;
        const { modelId } = entry.head;
        const queueMs = queue.size + running.size >= slotCount() ? this.expectedQueueMs(entry, nowMs) : 0;
        const loadMs = modelId === undefined ? 0 : replicas?.expectedLoadMs(modelId, nowMs) ?? 0;
        return Math.max(queueMs, loadMs);
    }

    private expectedQueueMs(entry: ScheduledRequest, nowMs: number): number {
        const { queue, running } = this.options;
        const slotUsage = {
            slotCount: this.options.slotCount(),
            runningCount: running.size,
            runningLongCount: running.count(other => queue.isLong(other.expectedMs)),
        };
        return queue.expectedWaitMs(entry, slotUsage, running.totalExpectedMs)
            ?? this.backlogMs(nowMs) / Math.max(1, slotUsage.slotCount);
    }
}
