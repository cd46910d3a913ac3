import type { EngineError } from "@skylarkmill/adapters";
import { Mailbox } from "@skylarkmill/coordination";
import type { AdmissionPolicy, DurationEstimator } from "@skylarkmill/policy";
import { type AttemptId, type Refusal, type RequestId, toId } from "@skylarkmill/protocol";
import { err, ok, ResultAsync } from "neverthrow";
import type { IndexRead, OrderResult } from "../types/engine-port.ts";
import type { AgentLimits } from "../types/options.ts";
import type { AttemptOutcome, DispatchDecision, RequestHead, ScheduledRequest } from "../types/request.ts";
import type { Catalog } from "../utils/catalog.ts";
import { durationGroup, fallbackDurationMs } from "../utils/expectations.ts";
import { REFUSALS } from "../utils/refusals.ts";
import { ArrivalCheck } from "./arrival-check.ts";
import { createAgentStoppedError, IndexReadWaiters, type ResolveIndexRead } from "./index-read-waiters.ts";
import type { ReplicaSet } from "./replica-set.ts";
import type { RequestDeduplicator } from "./request-deduplicator.ts";
import type { RequestQueue } from "./request-queue.ts";
import { RunningRequests } from "./running-requests.ts";

/** Number of slots of a plain service while its configuration is unknown. */
const DEFAULT_MAX_IN_FLIGHT = 16;
/** Weight of the newest ratio in the moving average `slowness`. */
const SLOWNESS_SMOOTHING_FACTOR = 0.2;
/** Maximum of one ratio of the measured to the expected time to the first byte, so that an outlier doesn't dominate. */
const MAX_SLOWNESS_RATIO = 100;
/**
 * The demand for a model is kept for this multiple of its expected load time, plus `MIN_KEPT_DEMAND_MS`, after a
 * request was refused because the model could not be loaded in time.
 */
const KEPT_DEMAND_LOAD_TIMES = 2;
const MIN_KEPT_DEMAND_MS = 5000;

export type BackendMessage =
    | {
        readonly kind: "arrive";
        readonly head: RequestHead;
        readonly onDecision: (decision: DispatchDecision) => void;
    }
    | { readonly kind: "cancel"; readonly attemptId: AttemptId; }
    | { readonly kind: "expire"; readonly entryId: RequestId; }
    | { readonly kind: "finished"; readonly attemptId: AttemptId; readonly outcome: AttemptOutcome; }
    | { readonly kind: "order-result"; readonly orderId: number; readonly result: OrderResult; }
    | { readonly kind: "order-sent"; readonly orderId: number; }
    | { readonly kind: "index-result"; readonly read: IndexRead; }
    /** Records have changed or a retry is due. */
    | { readonly kind: "wake"; }
    | { readonly kind: "allow-orders"; readonly allowed: boolean; }
    | { readonly kind: "read-index"; readonly resolve?: ResolveIndexRead; }
    | { readonly kind: "drain"; readonly draining: boolean; }
    | { readonly kind: "await-idle"; readonly resolve: () => void; }
    | { readonly kind: "tick"; };

export interface BackendTaskOptions {
    readonly catalog: Catalog;
    /** Absent for a plain service. */
    readonly replicas: ReplicaSet | undefined;
    readonly createRequestQueue: (onDeadline: (entryId: RequestId) => void) => RequestQueue;
    readonly deduplicator: RequestDeduplicator;
    readonly admission: AdmissionPolicy;
    readonly durations: DurationEstimator;
    readonly limits: AgentLimits;
    readonly onRefused: (refusal: Refusal) => void;
    /** Called after a pause of the process. No orders are sent until the message `allow-orders`. */
    readonly onPaused: () => void;
}

/** Manages the queue, the running requests and the replicas of one backend server, one message at a time. */
export class BackendTask {
    readonly mailbox = new Mailbox<BackendMessage>();
    private readonly queue: RequestQueue;
    private readonly running = new RunningRequests();
    private readonly arrivals: ArrivalCheck;
    private readonly indexReadWaiters = new IndexReadWaiters();
    private isDraining = false;
    /** Time until which the backend server wants no requests. */
    private holdUntilMs = -Infinity;
    private holdTimer: NodeJS.Timeout | undefined;
    private lastMessageAtMs = Infinity;
    private slownessValue = 1;
    private idleWaiters: (() => void)[] = [];

    constructor(private readonly options: BackendTaskOptions) {
        this.queue = options.createRequestQueue(entryId => this.mailbox.post({ kind: "expire", entryId }));
        this.arrivals = new ArrivalCheck({
            ...options,
            queue: this.queue,
            running: this.running,
            maxQueuedCount: options.limits.maxQueuedCount,
            slotCount: () => this.slotCount,
        });
    }

    get queuedCount(): number {
        return this.queue.size;
    }

    get runningCount(): number {
        return this.running.size;
    }

    /** Moving average of the time to the first byte divided by the expected time. */
    get slowness(): number {
        return this.slownessValue;
    }

    get slotCount(): number {
        const { replicas, catalog } = this.options;
        if (replicas !== undefined) return replicas.slotCount;
        const service = catalog.service();
        return service?.kind === "plain" ? service.maxInFlight : DEFAULT_MAX_IN_FLIGHT;
    }

    /** Sum of the expected durations of queued requests and the expected remaining durations of running ones. */
    backlogMs(nowMs: number): number {
        return this.arrivals.backlogMs(nowMs);
    }

    /** Reads the engine's index; resolves once the result has been applied to the replicas. */
    readIndex(): ResultAsync<void, EngineError> {
        return new ResultAsync(
            new Promise(resolve => {
                if (!this.mailbox.post({ kind: "read-index", resolve })) resolve(err(createAgentStoppedError()));
            }),
        );
    }

    /** Resolves once the messages posted so far have been handled and no request is running. */
    whenIdle(): Promise<void> {
        return new Promise(resolve => {
            if (!this.mailbox.post({ kind: "await-idle", resolve })) resolve();
        });
    }

    /** Handles messages until the mailbox closes. */
    async run(): Promise<void> {
        for await (const message of this.mailbox) this.handle(message, Date.now());
        clearTimeout(this.holdTimer);
        this.indexReadWaiters.stop();
    }

    /** Handles one message, then starts the requests, loads and unloads that it has made possible. */
    handle(message: BackendMessage, nowMs: number): void {
        this.detectPause(nowMs);
        this.applyMessage(message, nowMs);
        // Requests for a model that has just been loaded start before `reconcile` may evict the model.
        this.dispatchReadyRequests(nowMs);
        this.options.replicas?.reconcile(this.queue.demand, nowMs);
        this.refuseBlockedRequests();
        this.dispatchReadyRequests(nowMs);
        if (this.running.size === 0) this.idleWaiters.splice(0).forEach(resolve => resolve());
    }

    /** Detects a pause of the process: ticks arrive regularly, so a long gap means that the process did not run. */
    private detectPause(nowMs: number): void {
        const gapMs = nowMs - this.lastMessageAtMs;
        this.lastMessageAtMs = nowMs;
        const { replicas, limits, onPaused } = this.options;
        if (gapMs < limits.pauseThresholdMs || replicas === undefined || !replicas.rules.allowsOrders) return;
        replicas.rules.allowOrders(false);
        onPaused();
    }

    private applyMessage(message: BackendMessage, nowMs: number): void {
        const { replicas } = this.options;
        switch (message.kind) {
            case "arrive":
                return this.handleArrival(message.head, message.onDecision, nowMs);
            case "cancel":
                return this.cancelQueuedRequest(toId(message.attemptId));
            case "expire":
                return this.expireQueuedRequest(message.entryId);
            case "finished":
                return this.finishRunningRequest(toId(message.attemptId), message.outcome, nowMs);
            case "order-result":
                return replicas?.applyOrderResult(message.orderId, message.result, nowMs);
            case "order-sent":
                return replicas?.recordOrderSent(message.orderId, nowMs);
            case "index-result":
                replicas?.applyIndex(message.read, nowMs);
                return this.indexReadWaiters.resolveUpTo(
                    message.read.sequence,
                    message.read.result.map(() => undefined),
                );
            case "wake":
                return;
            case "read-index":
                return this.startIndexRead(message.resolve);
            case "allow-orders":
                return replicas?.rules.allowOrders(message.allowed);
            case "drain":
                return this.setDraining(message.draining);
            case "await-idle":
                this.idleWaiters.push(message.resolve);
                return;
            case "tick":
                replicas?.reviewResidency(this.queue.demand, nowMs);
                return this.startIndexRead(undefined);
        }
    }

    private startIndexRead(resolve: ResolveIndexRead | undefined): void {
        const sequence = this.options.replicas?.readIndex();
        if (sequence === undefined) resolve?.(ok(undefined));
        else if (resolve !== undefined) this.indexReadWaiters.add(sequence, resolve);
    }

    private handleArrival(head: RequestHead, onDecision: (decision: DispatchDecision) => void, nowMs: number): void {
        const entry = this.createEntry(head, onDecision, nowMs);
        const refusal = this.isDraining
            ? REFUSALS.draining()
            : this.arrivals.findRefusal(entry, nowMs) ?? this.findHoldRefusal(entry, nowMs);
        if (refusal !== undefined) {
            if (refusal.code === "deadline_unreachable") this.keepDemand(head, nowMs);
            this.refuse(entry, refusal);
            return;
        }
        if (head.isNonIdempotent && !this.options.deduplicator.tryAdd(deduplicationKeys(head), nowMs)) {
            this.refuse(entry, REFUSALS.alreadyDispatched());
            return;
        }
        if (head.modelId !== undefined) this.options.replicas?.recordArrival(head.modelId, nowMs);
        this.queue.push(entry, nowMs);
    }

    /** Returns the refusal for a request that the backend server wants no sooner than at its deadline, or undefined. */
    private findHoldRefusal({ deadlineAtMs }: ScheduledRequest, nowMs: number): Refusal | undefined {
        if (this.holdUntilMs <= nowMs || deadlineAtMs > this.holdUntilMs) return undefined;
        return REFUSALS.overloaded("engine_overloaded", this.holdUntilMs - nowMs);
    }

    /** Sends nothing for a time, and refuses the queued requests that can't be served after it. */
    private startHold(holdMs: number, nowMs: number): void {
        if (nowMs + holdMs <= this.holdUntilMs) return;
        this.holdUntilMs = nowMs + holdMs;
        clearTimeout(this.holdTimer);
        this.holdTimer = setTimeout(() => this.mailbox.post({ kind: "wake" }), Math.ceil(holdMs) + 1);
        for (const entry of this.queue.removeWhere(({ deadlineAtMs }) => deadlineAtMs <= this.holdUntilMs)) {
            this.releaseDeduplicationKeys(entry);
            this.refuse(entry, REFUSALS.overloaded("engine_overloaded", holdMs));
        }
    }

    /** Keeps the demand for a model, so that it is loaded for later requests, after a refusal for its load time. */
    private keepDemand({ modelId }: RequestHead, nowMs: number): void {
        const { replicas } = this.options;
        if (modelId === undefined || replicas === undefined || replicas.isReady(modelId, undefined)) return;
        replicas.recordArrival(modelId, nowMs);
        this.queue.keepDemand(
            modelId,
            nowMs,
            KEPT_DEMAND_LOAD_TIMES * replicas.expectedLoadMs(modelId, nowMs) + MIN_KEPT_DEMAND_MS,
        );
    }

    private createEntry(
        head: RequestHead,
        onDecision: (decision: DispatchDecision) => void,
        nowMs: number,
    ): ScheduledRequest {
        const { catalog, durations } = this.options;
        const group = durationGroup(head);
        return {
            head,
            onDecision,
            entryId: toId(head.attemptId),
            priority: catalog.requestClass(head.requestClass).priority,
            enqueuedAtMs: nowMs,
            deadlineAtMs: head.deadlineAtMs,
            expectedMs: durations.expectedMs(group, fallbackDurationMs(catalog, head, nowMs)),
            group,
        };
    }

    private cancelQueuedRequest(entryId: RequestId): void {
        const entry = this.queue.remove(entryId);
        if (entry !== undefined) this.releaseDeduplicationKeys(entry);
    }

    private expireQueuedRequest(entryId: RequestId): void {
        const entry = this.queue.remove(entryId);
        if (entry !== undefined) this.refuseExpiredRequest(entry);
    }

    private refuseExpiredRequest(entry: ScheduledRequest): void {
        this.releaseDeduplicationKeys(entry);
        const { modelId, adapterId } = entry.head;
        const cause = modelId === undefined ? undefined : this.options.replicas?.waitCause(modelId, adapterId);
        this.refuse(entry, REFUSALS.deadlineExceeded("not_run", cause ?? "while the request waited for a slot"));
    }

    private finishRunningRequest(entryId: RequestId, outcome: AttemptOutcome, nowMs: number): void {
        const entry = this.running.remove(entryId);
        if (entry === undefined) return;
        if (entry.head.modelId !== undefined) this.options.replicas?.endUse(entry.head.modelId, nowMs);
        if (outcome.result === "not_run") this.releaseDeduplicationKeys(entry);
        if (outcome.result === "answered") this.options.durations.record(entry.group, outcome.durationMs);
        if (outcome.firstByteMs !== undefined) this.recordFirstByte(entry, outcome.firstByteMs);
        if (outcome.holdMs !== undefined) this.startHold(outcome.holdMs, nowMs);
    }

    private recordFirstByte(entry: ScheduledRequest, firstByteMs: number): void {
        const group = `${entry.group}/first-byte`;
        const expectedMs = Math.max(1, this.options.durations.expectedMs(group, firstByteMs));
        const ratio = Math.min(MAX_SLOWNESS_RATIO, Math.max(1, firstByteMs) / expectedMs);
        this.slownessValue += SLOWNESS_SMOOTHING_FACTOR * (ratio - this.slownessValue);
        this.options.durations.record(group, firstByteMs);
    }

    private setDraining(draining: boolean): void {
        this.isDraining = draining;
        this.options.replicas?.rules.setDraining(draining);
        if (!draining) return;
        for (const entry of this.queue.removeWhere(() => true)) {
            this.releaseDeduplicationKeys(entry);
            this.refuse(entry, REFUSALS.draining());
        }
    }

    /** Refuses queued requests whose model can no longer become ready here, so that the router moves them. */
    private refuseBlockedRequests(): void {
        const { replicas } = this.options;
        if (replicas === undefined) return;
        for (const modelId of [...this.queue.demand.keys()]) {
            const refusal = replicas.findRefusal(modelId);
            if (refusal === undefined) continue;
            this.queue.endKeptDemand(modelId);
            for (const entry of this.queue.removeWhere(candidate => candidate.head.modelId === modelId)) {
                this.releaseDeduplicationKeys(entry);
                this.refuse(entry, refusal);
            }
        }
    }

    private dispatchReadyRequests(nowMs: number): void {
        const { replicas } = this.options;
        if (nowMs < this.holdUntilMs) return;
        const isReady = ({ head }: ScheduledRequest): boolean =>
            replicas === undefined || (head.modelId !== undefined && replicas.isReady(head.modelId, head.adapterId));
        while (this.queue.size > 0 && this.running.size < this.slotCount) {
            const entry = this.queue.dequeue(nowMs, this.getSlotUsage(), isReady);
            if (entry === undefined) return;
            // After a pause of the process, a request may be dequeued before the message of its deadline timer arrives.
            if (nowMs >= entry.deadlineAtMs) {
                this.refuseExpiredRequest(entry);
                continue;
            }
            this.running.add(entry, nowMs);
            if (entry.head.modelId !== undefined) replicas?.beginUse(entry.head.modelId);
            entry.onDecision({ kind: "start" });
        }
    }

    private getSlotUsage() {
        const runningLongCount = this.running.count(entry => this.queue.isLong(entry.expectedMs));
        return { slotCount: this.slotCount, runningCount: this.running.size, runningLongCount };
    }

    private releaseDeduplicationKeys({ head }: ScheduledRequest): void {
        if (head.isNonIdempotent) this.options.deduplicator.release(deduplicationKeys(head));
    }

    private refuse(entry: ScheduledRequest, refusal: Refusal): void {
        this.options.onRefused(refusal);
        entry.onDecision({ kind: "refuse", refusal });
    }
}

function deduplicationKeys(head: RequestHead): string[] {
    const keys = [`request:${head.requestId}`];
    if (head.idempotencyKey !== undefined) keys.push(`key:${head.idempotencyKey}`);
    return keys;
}
