import {
    type AdmissionPolicy,
    type ChoiceRequest,
    type DurationEstimator,
    expectedWaitMs,
    type HedgePolicy,
    type RetryBudget,
    type ServerChooser,
    type ServerView,
    type StragglerDetector,
} from "@skylarkmill/policy";
import { type DataCentre, type ModelId, type ServerId, type ServiceId, toId } from "@skylarkmill/protocol";
import type { Attempt, AttemptEnd, BackendServer, ServerReport } from "./backend-server.ts";
import type { EventQueue, ScheduledEvent } from "./event-queue.ts";
import type { BenchRequest } from "./workload.ts";

export interface Outcome {
    readonly request: BenchRequest;
    readonly kind: "response" | "refusal";
    readonly endedAtMs: number;
    readonly startedAtMs: number | undefined;
    readonly hasWaitedForLoad: boolean;
    /** Number of attempts that were sent while another was in progress. */
    readonly hedgeCount: number;
}

export interface RouterSettings {
    readonly dataCentre: DataCentre;
    readonly crossDataCentreDelayMs: number;
    readonly chooser: ServerChooser;
    readonly estimator: DurationEstimator;
    readonly detector: StragglerDetector;
    readonly hedge: HedgePolicy;
    readonly retries: RetryBudget;
    readonly admission: AdmissionPolicy;
    readonly servers: readonly BackendServer[];
    readonly grants: ReadonlyMap<ModelId, readonly ServerId[]>;
    readonly loadMs: (serverId: ServerId, modelId: ModelId) => number;
    readonly onOutcome: (outcome: Outcome) => void;
}

interface SentAttempt {
    readonly pending: PendingRequest;
    readonly server: BackendServer;
    readonly attempt: Attempt;
    readonly sentAtMs: number;
    /** Expected time until the first token. */
    readonly expectedFirstMs: number;
    hasFirstToken: boolean;
}

interface PendingRequest {
    readonly request: BenchRequest;
    readonly tried: Set<ServerId>;
    readonly sent: Set<SentAttempt>;
    deadlineTimer: ScheduledEvent | undefined;
    hedgeCount: number;
    isEnded: boolean;
}

const SERVICE = toId<ServiceId>("assistant");
/**
 * A request without a response this long before its deadline is refused, so that the refusal reaches the caller
 * before the deadline.
 */
const DEADLINE_MARGIN_MS = 20;
/** Age at which the weight of a server's report has fallen to about a third. */
const STALE_REPORT_MS = 500;

/** Simulates a router with the latest server reports and its own requests; the product's policies decide. */
export class BenchRouter {
    private readonly reports = new Map<ServerId, ServerReport>();
    private readonly outstanding = new Map<ServerId, Set<SentAttempt>>();

    constructor(private readonly events: EventQueue, private readonly settings: RouterSettings) {
        for (const server of settings.servers) this.outstanding.set(server.serverId, new Set());
    }

    receiveReport(serverId: ServerId, report: ServerReport): void {
        const known = this.reports.get(serverId);
        if (known === undefined || report.atMs >= known.atMs) this.reports.set(serverId, report);
    }

    submit(request: BenchRequest): void {
        this.settings.hedge.recordRequest(this.events.nowMs);
        this.settings.retries.recordRequest(this.events.nowMs);
        const pending: PendingRequest = {
            request,
            tried: new Set(),
            sent: new Set(),
            deadlineTimer: undefined,
            hedgeCount: 0,
            isEnded: false,
        };
        const remainingMs = request.deadlineAtMs - this.events.nowMs;
        pending.deadlineTimer = this.events.schedule(
            remainingMs - DEADLINE_MARGIN_MS,
            () => this.refuseRequest(pending),
        );
        if (!this.sendAttempt(pending)) this.refuseRequest(pending);
    }

    /** Reports attempts that wait for their first token to the straggler detector, and hedges the late ones. */
    checkWaitingAttempts(): void {
        const { detector } = this.settings;
        const nowMs = this.events.nowMs;
        for (const [serverId, outstanding] of this.outstanding) {
            const waiting = [...outstanding].filter(sent => !sent.hasFirstToken && !sent.attempt.hasWaitedForLoad);
            for (const { sentAtMs, expectedFirstMs } of waiting) {
                detector.recordWaiting(serverId, nowMs - sentAtMs, expectedFirstMs, nowMs);
            }
            const slowness = detector.slowness(serverId, nowMs);
            for (const sent of waiting) this.hedgeIfLate(sent, slowness);
        }
    }

    private hedgeIfLate(sent: SentAttempt, slowness: number): void {
        const { hedge, estimator } = this.settings;
        const { pending, expectedFirstMs, sentAtMs } = sent;
        if (pending.hedgeCount > 0 || !pending.sent.has(sent)) return;
        const highMs = estimator.highPercentileMs(`${pending.request.requestClass.name}/high`, expectedFirstMs);
        const afterMs = hedge.hedgeDelayMs(expectedFirstMs, highMs, slowness);
        if (afterMs === undefined || this.events.nowMs - sentAtMs < afterMs) return;
        if (this.sendAttempt(pending, true)) pending.hedgeCount += 1;
    }

    private sendAttempt(pending: PendingRequest, isHedge = false): boolean {
        const { request } = pending;
        const nowMs = this.events.nowMs;
        const expectedMs = this.expectedMs(request);
        const views = this.settings.servers.map(server => this.createView(server, request.modelId));
        const choice: ChoiceRequest = {
            requestId: request.requestId,
            serviceId: SERVICE,
            modelId: request.modelId,
            dataCentre: this.settings.dataCentre,
            expectedMs,
            remainingMs: request.deadlineAtMs - nowMs,
            triedServerIds: pending.tried,
            isHedge,
        };
        const view = this.settings.chooser.choose(choice, views);
        const server = this.settings.servers.find(other => other.serverId === view?.serverId);
        if (view === undefined || server === undefined || !this.admits(request, view, expectedMs)) return false;
        // The budget is checked last, so that a hedge for which no server is found uses none of it.
        if (isHedge && !this.settings.hedge.tryConsume(nowMs)) return false;
        pending.tried.add(server.serverId);
        this.dispatch(pending, server, view, expectedMs);
        return true;
    }

    private admits(request: BenchRequest, view: ServerView, expectedMs: number): boolean {
        const waitMs = expectedWaitMs(view, expectedMs, STALE_REPORT_MS);
        return this.settings.admission.decide({
            serviceId: SERVICE,
            nowMs: this.events.nowMs,
            deadlineAtMs: request.deadlineAtMs,
            expectedMs,
            waitMs: (waitMs + (view.loaded ? 0 : view.expectedLoadMs)) * Math.max(1, view.slowness),
            serviceRequestCount: this.outstandingAttemptCount,
            totalRequestCount: this.outstandingAttemptCount,
            weight: 1,
            totalWeight: 1,
        }).admitted;
    }

    private get outstandingAttemptCount(): number {
        let count = 0;
        for (const sent of this.outstanding.values()) count += sent.size;
        return count;
    }

    private dispatch(pending: PendingRequest, server: BackendServer, view: ServerView, expectedMs: number): void {
        const { request } = pending;
        const attempt: Attempt = {
            entryId: request.requestId,
            modelId: request.modelId,
            serviceId: SERVICE,
            priority: request.requestClass.priority,
            enqueuedAtMs: this.events.nowMs,
            deadlineAtMs: request.deadlineAtMs,
            expectedMs,
            group: request.modelId,
            workMs: request.workMs,
            startedAtMs: undefined,
            hasWaitedForLoad: !view.loaded,
            onFirstToken: () => this.events.schedule(this.networkDelayMs(server), () => this.handleFirstToken(sent)),
            onEnd: result =>
                this.events.schedule(this.networkDelayMs(server), () => this.handleEnd(pending, sent, result)),
        };
        // Until a first token has been observed, it is expected after a quarter of the duration.
        const first = this.settings.estimator.expectedMs(`${request.requestClass.name}/first`, expectedMs / 4);
        const expectedFirstMs = first + expectedWaitMs(view, expectedMs, STALE_REPORT_MS)
            + 2 * this.networkDelayMs(server);
        const sent: SentAttempt = {
            pending,
            server,
            attempt,
            sentAtMs: this.events.nowMs,
            expectedFirstMs,
            hasFirstToken: false,
        };
        pending.sent.add(sent);
        this.outstanding.get(server.serverId)?.add(sent);
        this.events.schedule(this.networkDelayMs(server), () => {
            if (pending.sent.has(sent)) server.submit(attempt);
        });
    }

    /** Handles the first token of an attempt, which cancels the other attempts of the request. */
    private handleFirstToken(sent: SentAttempt): void {
        const { pending, server, attempt } = sent;
        if (!pending.sent.has(sent)) return;
        sent.hasFirstToken = true;
        for (const other of [...pending.sent]) if (other !== sent) this.cancelAttempt(other);
        if (attempt.hasWaitedForLoad) return;
        const nowMs = this.events.nowMs;
        const observedMs = nowMs - sent.sentAtMs;
        this.settings.detector.record(server.serverId, observedMs, sent.expectedFirstMs, nowMs);
        if (this.settings.detector.isStraggler(server.serverId, nowMs)) return;
        const group = pending.request.requestClass.name;
        this.settings.estimator.record(`${group}/first`, nowMs - (attempt.startedAtMs ?? nowMs));
        this.settings.estimator.record(`${group}/high`, observedMs);
    }

    private handleEnd(pending: PendingRequest, sent: SentAttempt, result: AttemptEnd): void {
        if (!pending.sent.has(sent)) return;
        const nowMs = this.events.nowMs;
        const { attempt, server } = sent;
        this.removeAttempt(sent);
        this.receiveReport(server.serverId, server.report());
        if (result === "response") {
            this.recordDuration(pending.request.requestClass.name, attempt, server.serverId);
            return this.finishRequest(pending, "response", attempt);
        }
        if (pending.sent.size > 0) return;
        if (this.settings.retries.tryConsume(nowMs) && this.sendAttempt(pending)) return;
        this.finishRequest(pending, "refusal", attempt);
    }

    /** Records the duration of an attempt, except at stragglers, whose durations don't apply to other servers. */
    private recordDuration(group: string, attempt: Attempt, serverId: ServerId): void {
        const nowMs = this.events.nowMs;
        if (this.settings.detector.isStraggler(serverId, nowMs)) return;
        this.settings.estimator.record(group, nowMs - (attempt.startedAtMs ?? nowMs));
    }

    private refuseRequest(pending: PendingRequest): void {
        const [first] = pending.sent;
        this.finishRequest(pending, "refusal", first?.attempt);
    }

    private finishRequest(pending: PendingRequest, kind: Outcome["kind"], attempt: Attempt | undefined): void {
        if (pending.isEnded) return;
        pending.isEnded = true;
        if (pending.deadlineTimer !== undefined) this.events.cancel(pending.deadlineTimer);
        for (const sent of [...pending.sent]) this.cancelAttempt(sent);
        this.settings.onOutcome({
            request: pending.request,
            kind,
            endedAtMs: this.events.nowMs,
            startedAtMs: attempt?.startedAtMs,
            hasWaitedForLoad: attempt?.hasWaitedForLoad ?? false,
            hedgeCount: pending.hedgeCount,
        });
    }

    private cancelAttempt(sent: SentAttempt): void {
        this.removeAttempt(sent);
        this.events.schedule(this.networkDelayMs(sent.server), () => sent.server.cancel(sent.attempt));
    }

    private removeAttempt(sent: SentAttempt): void {
        sent.pending.sent.delete(sent);
        this.outstanding.get(sent.server.serverId)?.delete(sent);
    }

    private expectedMs(request: BenchRequest): number {
        return this.settings.estimator.expectedMs(request.requestClass.name, request.requestClass.medianMs);
    }

    /** One-way network delay between the router and a server; 0.1 ms within a data centre. */
    private networkDelayMs(server: BackendServer): number {
        return server.dataCentre === this.settings.dataCentre ? 0.1 : this.settings.crossDataCentreDelayMs;
    }

    private createView(server: BackendServer, modelId: ModelId): ServerView {
        const { serverId, dataCentre, slotCount } = server;
        const report = this.reports.get(serverId);
        const position = this.settings.grants.get(modelId)?.indexOf(serverId) ?? -1;
        return {
            serverId,
            dataCentre,
            loaded: report?.loaded.has(modelId) ?? false,
            loading: report?.loading.has(modelId) ?? false,
            adapterLoaded: true,
            grantPosition: position < 0 ? undefined : position,
            outstandingCount: this.outstanding.get(serverId)?.size ?? 0,
            reportedCount: report?.reportedCount ?? 0,
            backlogMs: report?.backlogMs ?? 0,
            slotCount,
            reportAgeMs: report === undefined ? Infinity : this.events.nowMs - report.atMs,
            slowness: this.settings.detector.slowness(serverId, this.events.nowMs),
            prefixMatch: 0,
            expectedLoadMs: this.settings.loadMs(serverId, modelId),
        };
    }
}
