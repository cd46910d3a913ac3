import { Mailbox } from "@skylarkmill/coordination";
import type { EngineError } from "@skylarkmill/platform";
import type { AdmissionPolicy, DurationEstimator } from "@skylarkmill/policy";
import { type AttemptId, type Refusal, type RequestId, toId, UnavailableError } from "@skylarkmill/protocol";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { IndexRead, OrderResult } from "../types/engine-port.ts";
import type { AgentLimits } from "../types/options.ts";
import type { Decision, RequestHead, RunOutcome, WaitingRequest } from "../types/request.ts";
import type { Catalog } from "../utils/catalog.ts";
import { durationGroup, fallbackDurationMs } from "../utils/expectations.ts";
import { REFUSALS } from "../utils/refusals.ts";
import type { OnceMemory } from "./once-memory.ts";
import type { ReplicaSet } from "./replica-set.ts";
import type { WaitingRoom } from "./waiting-room.ts";

const DEFAULT_MAX_IN_FLIGHT = 16;
const SLOWNESS_WEIGHT = 0.2;
const MAX_SLOWNESS = 100;

export type BackendMessage =
    | { readonly kind: "arrive"; readonly head: RequestHead; readonly decide: (decision: Decision) => void; }
    | { readonly kind: "cancel"; readonly attemptId: AttemptId; }
    | { readonly kind: "expire"; readonly requestId: RequestId; }
    | { readonly kind: "finished"; readonly attemptId: AttemptId; readonly outcome: RunOutcome; }
    | { readonly kind: "order"; readonly orderId: number; readonly result: OrderResult; }
    | { readonly kind: "index"; readonly read: IndexRead; }
    | { readonly kind: "records"; }
    | { readonly kind: "allow-orders"; readonly allowed: boolean; }
    | { readonly kind: "read-index"; readonly resolve?: IndexWaiter["resolve"]; }
    | { readonly kind: "drain"; readonly draining: boolean; }
    | { readonly kind: "settle"; readonly resolve: () => void; }
    | { readonly kind: "tick"; };

export interface BackendTaskOptions {
    readonly catalog: Catalog;
    /** Absent for a plain service. */
    readonly replicas: ReplicaSet | undefined;
    readonly createWaitingRoom: (onDeadline: (requestId: RequestId) => void) => WaitingRoom;
    readonly once: OnceMemory;
    readonly admission: AdmissionPolicy;
    readonly durations: DurationEstimator;
    readonly limits: AgentLimits;
    readonly onRefused: (refusal: Refusal) => void;
    /** The process was paused; orders are withheld until `allow-orders`. */
    readonly onPaused: () => void;
}

interface IndexWaiter {
    readonly stamp: number;
    readonly resolve: (result: Result<void, EngineError>) => void;
}

interface Running {
    readonly entry: WaitingRequest;
    readonly startedAtMs: number;
}

/** The task that owns the queue, the running requests and the replicas of one backend server. */
export class BackendTask {
    readonly mailbox = new Mailbox<BackendMessage>();
    private readonly waiting: WaitingRoom;
    private readonly running = new Map<RequestId, Running>();
    private draining = false;
    private handledAtMs = Infinity;
    private slownessValue = 1;
    private indexWaiters: IndexWaiter[] = [];
    private settleWaiters: (() => void)[] = [];

    constructor(private readonly options: BackendTaskOptions) {
        this.waiting = options.createWaitingRoom(requestId => this.mailbox.post({ kind: "expire", requestId }));
    }

    get queuedCount(): number {
        return this.waiting.size;
    }

    get runningCount(): number {
        return this.running.size;
    }

    /** Recent time to the first byte divided by the expected time. */
    get slowness(): number {
        return this.slownessValue;
    }

    get slotCount(): number {
        const { replicas, catalog } = this.options;
        if (replicas !== undefined) return replicas.slotCount;
        const service = catalog.service();
        return service?.kind === "plain" ? service.maxInFlight : DEFAULT_MAX_IN_FLIGHT;
    }

    /** Sum of the expected durations of the queued requests and of what remains of the running ones. */
    backlogMs(nowMs: number): number {
        let sumMs = this.waiting.expectedMs;
        for (const { entry, startedAtMs } of this.running.values()) {
            sumMs += Math.max(0, entry.expectedMs - (nowMs - startedAtMs));
        }
        return sumMs;
    }

    /** Reads the engine's index; resolves once its facts have been taken over. */
    readIndex(): ResultAsync<void, EngineError> {
        return new ResultAsync(
            new Promise(resolve => {
                if (!this.mailbox.post({ kind: "read-index", resolve })) resolve(err(stopped()));
            }),
        );
    }

    /** Resolves once the messages posted so far have been handled and no request runs. */
    whenSettled(): Promise<void> {
        return new Promise(resolve => {
            if (!this.mailbox.post({ kind: "settle", resolve })) resolve();
        });
    }

    /** Handles messages until the mailbox closes. */
    async run(): Promise<void> {
        for await (const message of this.mailbox) this.handle(message, Date.now());
        this.endIndexWaits(Infinity, err(stopped()));
    }

    /** Handles one message and starts what has become possible. */
    handle(message: BackendMessage, nowMs: number): void {
        this.checkPause(nowMs);
        this.apply(message, nowMs);
        // A model that has just been loaded starts its requests before another one may take its memory.
        this.dispatch(nowMs);
        this.options.replicas?.reconcile(this.waiting.demand, nowMs);
        this.refuseBlocked();
        this.dispatch(nowMs);
        if (this.running.size === 0) this.settleWaiters.splice(0).forEach(resolve => resolve());
    }

    /** Ticks arrive regularly, so a long gap means that the process did not run. */
    private checkPause(nowMs: number): void {
        const gapMs = nowMs - this.handledAtMs;
        this.handledAtMs = nowMs;
        const { replicas, limits, onPaused } = this.options;
        if (gapMs < limits.pauseMs || replicas === undefined || !replicas.rules.allowsOrders) return;
        replicas.rules.allowOrders(false);
        onPaused();
    }

    private apply(message: BackendMessage, nowMs: number): void {
        const { replicas } = this.options;
        switch (message.kind) {
            case "arrive":
                return this.arrive(message.head, message.decide, nowMs);
            case "cancel":
                return this.cancel(toId(message.attemptId));
            case "expire":
                return this.expire(message.requestId);
            case "finished":
                return this.finish(toId(message.attemptId), message.outcome, nowMs);
            case "order":
                return replicas?.applyOrderResult(message.orderId, message.result, nowMs);
            case "index":
                replicas?.applyIndex(message.read, nowMs);
                return this.endIndexWaits(message.read.stamp, message.read.result.map(() => undefined));
            case "records":
                return;
            case "read-index":
                return this.beginIndexRead(message.resolve);
            case "allow-orders":
                return replicas?.rules.allowOrders(message.allowed);
            case "drain":
                return this.setDraining(message.draining);
            case "settle":
                this.settleWaiters.push(message.resolve);
                return;
            case "tick":
                replicas?.reviewResidency(this.waiting.demand, nowMs);
                return this.beginIndexRead(undefined);
        }
    }

    private beginIndexRead(resolve: IndexWaiter["resolve"] | undefined): void {
        const stamp = this.options.replicas?.readIndex();
        if (resolve === undefined) return;
        if (stamp === undefined) resolve(ok(undefined));
        else this.indexWaiters.push({ stamp, resolve });
    }

    /** A read that began before a waiter asked says nothing to it. */
    private endIndexWaits(stamp: number, result: Result<void, EngineError>): void {
        for (const waiter of this.indexWaiters) if (waiter.stamp <= stamp) waiter.resolve(result);
        this.indexWaiters = this.indexWaiters.filter(waiter => waiter.stamp > stamp);
    }

    private arrive(head: RequestHead, decide: (decision: Decision) => void, nowMs: number): void {
        const entry = this.createEntry(head, decide, nowMs);
        const refusal = this.checkArrival(entry, nowMs);
        if (refusal !== undefined) {
            this.refuse(entry, refusal);
            return;
        }
        if (head.once && !this.options.once.take(onceNames(head), nowMs)) {
            this.refuse(entry, REFUSALS.alreadyDispatched());
            return;
        }
        if (head.modelId !== undefined) this.options.replicas?.recordArrival(head.modelId, nowMs);
        this.waiting.push(entry, nowMs);
    }

    private createEntry(head: RequestHead, decide: (decision: Decision) => void, nowMs: number): WaitingRequest {
        const { catalog, durations } = this.options;
        const group = durationGroup(head);
        return {
            head,
            decide,
            requestId: toId(head.attemptId),
            priority: catalog.requestClass(head.requestClass).priority,
            enqueuedAtMs: nowMs,
            deadlineAtMs: head.deadlineAtMs,
            expectedMs: durations.expectedMs(group, fallbackDurationMs(catalog, head)),
            group,
        };
    }

    private checkArrival(entry: WaitingRequest, nowMs: number): Refusal | undefined {
        const { replicas, limits } = this.options;
        const { modelId } = entry.head;
        if (this.draining) return REFUSALS.draining();
        if (this.waiting.has(entry.requestId) || this.running.has(entry.requestId)) return REFUSALS.alreadyDispatched();
        if (nowMs >= entry.deadlineAtMs) return REFUSALS.deadline("not_run", "before the request arrived");
        if (replicas !== undefined) {
            if (modelId === undefined) return REFUSALS.badHead("A request to a model service must name its model.");
            const blocked = replicas.blockedBy(modelId);
            if (blocked !== undefined) return blocked;
        }
        if (this.waiting.size >= limits.maxQueuedCount) {
            return REFUSALS.overloaded("queue_full", this.waitMs(entry, nowMs));
        }
        return this.checkAdmission(entry, nowMs);
    }

    private checkAdmission(entry: WaitingRequest, nowMs: number): Refusal | undefined {
        const totalCount = this.waiting.size + this.running.size;
        const decision = this.options.admission.decide({
            serviceId: entry.head.serviceId,
            nowMs,
            deadlineAtMs: entry.deadlineAtMs,
            expectedMs: entry.expectedMs,
            waitMs: this.waitMs(entry, nowMs),
            serviceCount: totalCount,
            totalCount,
            weight: 1,
            totalWeight: 1,
        });
        return decision.admitted ? undefined : REFUSALS.overloaded(decision.code, decision.retryAfterMs);
    }

    /** Expected time until a slot is free for the request and its model is loaded. */
    private waitMs(entry: WaitingRequest, nowMs: number): number {
        const { replicas } = this.options;
        const slotCount = Math.max(1, this.slotCount);
        const busy = this.waiting.size + this.running.size >= slotCount;
        const queueMs = busy ? this.backlogMs(nowMs) / slotCount : 0;
        const loadMs = entry.head.modelId === undefined ? 0 : replicas?.expectedLoadMs(entry.head.modelId, nowMs) ?? 0;
        return Math.max(queueMs, loadMs);
    }

    private cancel(requestId: RequestId): void {
        const entry = this.waiting.remove(requestId);
        if (entry !== undefined) this.forgetOnce(entry);
    }

    private expire(requestId: RequestId): void {
        const entry = this.waiting.remove(requestId);
        if (entry === undefined) return;
        this.forgetOnce(entry);
        const { modelId, adapterId } = entry.head;
        const cause = modelId === undefined ? undefined : this.options.replicas?.waitCause(modelId, adapterId);
        this.refuse(entry, REFUSALS.deadline("not_run", cause ?? "while the request waited for a slot"));
    }

    private finish(requestId: RequestId, outcome: RunOutcome, nowMs: number): void {
        const running = this.running.get(requestId);
        if (running === undefined) return;
        this.running.delete(requestId);
        const { entry } = running;
        if (entry.head.modelId !== undefined) this.options.replicas?.endUse(entry.head.modelId, nowMs);
        if (outcome.result === "not_run") this.forgetOnce(entry);
        if (outcome.result === "answered") this.options.durations.record(entry.group, outcome.durationMs);
        if (outcome.firstByteMs !== undefined) this.recordFirstByte(entry, outcome.firstByteMs);
    }

    private recordFirstByte(entry: WaitingRequest, firstByteMs: number): void {
        const group = `${entry.group}/first-byte`;
        const expectedMs = Math.max(1, this.options.durations.expectedMs(group, firstByteMs));
        const ratio = Math.min(MAX_SLOWNESS, Math.max(1, firstByteMs) / expectedMs);
        this.slownessValue += SLOWNESS_WEIGHT * (ratio - this.slownessValue);
        this.options.durations.record(group, firstByteMs);
    }

    private setDraining(draining: boolean): void {
        this.draining = draining;
        this.options.replicas?.rules.setDraining(draining);
        if (!draining) return;
        for (const entry of this.waiting.removeWhere(() => true)) {
            this.forgetOnce(entry);
            this.refuse(entry, REFUSALS.draining());
        }
    }

    /** Refuses waiting requests whose model can't become ready here any more, so that the router moves them. */
    private refuseBlocked(): void {
        const { replicas } = this.options;
        if (replicas === undefined) return;
        for (const modelId of [...this.waiting.demand.keys()]) {
            const refusal = replicas.blockedBy(modelId);
            if (refusal === undefined) continue;
            for (const entry of this.waiting.removeWhere(candidate => candidate.head.modelId === modelId)) {
                this.forgetOnce(entry);
                this.refuse(entry, refusal);
            }
        }
    }

    private dispatch(nowMs: number): void {
        const { replicas } = this.options;
        const ready = ({ head }: WaitingRequest): boolean =>
            replicas === undefined || (head.modelId !== undefined && replicas.isReady(head.modelId, head.adapterId));
        while (this.waiting.size > 0 && this.running.size < this.slotCount) {
            const entry = this.waiting.next(nowMs, this.runningWork(), ready);
            if (entry === undefined) return;
            this.running.set(entry.requestId, { entry, startedAtMs: nowMs });
            if (entry.head.modelId !== undefined) replicas?.beginUse(entry.head.modelId);
            entry.decide({ kind: "start" });
        }
    }

    private runningWork() {
        let runningLongCount = 0;
        for (const { entry } of this.running.values()) {
            if (this.waiting.isLong(entry.expectedMs)) runningLongCount += 1;
        }
        return { slotCount: this.slotCount, runningCount: this.running.size, runningLongCount };
    }

    private forgetOnce({ head }: WaitingRequest): void {
        if (head.once) this.options.once.release(onceNames(head));
    }

    private refuse(entry: WaitingRequest, refusal: Refusal): void {
        this.options.onRefused(refusal);
        entry.decide({ kind: "refuse", refusal });
    }
}

function stopped(): UnavailableError {
    return new UnavailableError("The agent has stopped.", { step: "engine.index", peer: "local" });
}

function onceNames(head: RequestHead): string[] {
    const names = [`request:${head.requestId}`];
    if (head.idempotencyKey !== undefined) names.push(`key:${head.idempotencyKey}`);
    return names;
}
