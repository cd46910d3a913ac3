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
    readonly kind: "answer" | "refusal";
    readonly endedAtMs: number;
    readonly startedAtMs: number | undefined;
    readonly waitedForLoad: boolean;
    /** Second attempts sent while another was in progress. */
    readonly hedgeCount: number;
}

export interface RouterSettings {
    readonly dataCentre: DataCentre;
    readonly crossDataCentreMs: number;
    readonly chooser: ServerChooser;
    readonly estimator: DurationEstimator;
    readonly detector: StragglerDetector;
    readonly hedge: HedgePolicy;
    readonly retries: RetryBudget;
    readonly admission: AdmissionPolicy;
    readonly servers: readonly BackendServer[];
    readonly grants: ReadonlyMap<ModelId, readonly ServerId[]>;
    readonly loadMs: (serverId: ServerId, modelId: ModelId) => number;
    readonly outcome: (outcome: Outcome) => void;
}

interface Sent {
    readonly pending: Pending;
    readonly server: BackendServer;
    readonly attempt: Attempt;
    readonly sentAtMs: number;
    /** Expected time until the first token. */
    readonly expectedFirstMs: number;
    answering: boolean;
}

interface Pending {
    readonly request: BenchRequest;
    readonly tried: Set<ServerId>;
    readonly sent: Set<Sent>;
    giveUpTimer: ScheduledEvent | undefined;
    hedgeCount: number;
    ended: boolean;
}

const SERVICE = toId<ServiceId>("assistant");
/** A router gives up this long before the deadline, so that the refusal arrives in time. */
const DEADLINE_MARGIN_MS = 20;
const STALE_REPORT_MS = 500;

/** Stand-in for a router: keeps the latest reports and its own requests; the policies decide. */
export class BenchRouter {
    private readonly reports = new Map<ServerId, ServerReport>();
    private readonly outstanding = new Map<ServerId, Set<Sent>>();

    constructor(private readonly events: EventQueue, private readonly settings: RouterSettings) {
        for (const server of settings.servers) this.outstanding.set(server.serverId, new Set());
    }

    receive(serverId: ServerId, report: ServerReport): void {
        const known = this.reports.get(serverId);
        if (known === undefined || report.atMs >= known.atMs) this.reports.set(serverId, report);
    }

    submit(request: BenchRequest): void {
        this.settings.hedge.recordRequest(this.events.nowMs);
        this.settings.retries.recordRequest(this.events.nowMs);
        const pending: Pending = {
            request,
            tried: new Set(),
            sent: new Set(),
            giveUpTimer: undefined,
            hedgeCount: 0,
            ended: false,
        };
        const remainingMs = request.deadlineAtMs - this.events.nowMs;
        pending.giveUpTimer = this.events.schedule(remainingMs - DEADLINE_MARGIN_MS, () => this.giveUp(pending));
        if (!this.send(pending)) this.giveUp(pending);
    }

    /** Shows the detector the attempts that still wait for their first token, and hedges the late ones. */
    watchWaiting(): void {
        const { detector } = this.settings;
        const nowMs = this.events.nowMs;
        for (const [serverId, outstanding] of this.outstanding) {
            const waiting = [...outstanding].filter(sent => !sent.answering && !sent.attempt.waitedForLoad);
            for (const { sentAtMs, expectedFirstMs } of waiting) {
                detector.recordWaiting(serverId, nowMs - sentAtMs, expectedFirstMs, nowMs);
            }
            const slowness = detector.slowness(serverId, nowMs);
            for (const sent of waiting) this.hedgeLate(sent, slowness);
        }
    }

    private hedgeLate(sent: Sent, slowness: number): void {
        const { hedge, estimator } = this.settings;
        const { pending, expectedFirstMs, sentAtMs } = sent;
        if (pending.hedgeCount > 0 || !pending.sent.has(sent)) return;
        const highMs = estimator.highMs(`${pending.request.requestClass.name}/high`, expectedFirstMs);
        const afterMs = hedge.hedgeDelayMs(expectedFirstMs, highMs, slowness);
        if (afterMs === undefined || this.events.nowMs - sentAtMs < afterMs) return;
        if (this.send(pending, true)) pending.hedgeCount += 1;
    }

    private send(pending: Pending, hedge = false): boolean {
        const { request } = pending;
        const nowMs = this.events.nowMs;
        const expectedMs = this.expectedMs(request);
        const views = this.settings.servers.map(server => this.view(server, request.modelId));
        const choice: ChoiceRequest = {
            requestId: request.requestId,
            serviceId: SERVICE,
            modelId: request.modelId,
            dataCentre: this.settings.dataCentre,
            expectedMs,
            remainingMs: request.deadlineAtMs - nowMs,
            triedServerIds: pending.tried,
            isHedge: hedge,
        };
        const view = this.settings.chooser.choose(choice, views);
        const server = this.settings.servers.find(other => other.serverId === view?.serverId);
        if (view === undefined || server === undefined || !this.admits(request, view, expectedMs)) return false;
        // The budget is asked last, so that a hedge without a server to go to costs nothing.
        if (hedge && !this.settings.hedge.tryConsume(nowMs)) return false;
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
            serviceCount: this.pendingCount,
            totalCount: this.pendingCount,
            weight: 1,
            totalWeight: 1,
        }).admitted;
    }

    private get pendingCount(): number {
        let count = 0;
        for (const sent of this.outstanding.values()) count += sent.size;
        return count;
    }

    private dispatch(pending: Pending, server: BackendServer, view: ServerView, expectedMs: number): void {
        const { request } = pending;
        const attempt: Attempt = {
            requestId: request.requestId,
            modelId: request.modelId,
            serviceId: SERVICE,
            priority: request.requestClass.priority,
            enqueuedAtMs: this.events.nowMs,
            deadlineAtMs: request.deadlineAtMs,
            expectedMs,
            group: request.modelId,
            workMs: request.workMs,
            startedAtMs: undefined,
            waitedForLoad: !view.loaded,
            firstToken: () => this.events.schedule(this.delayMs(server), () => this.firstToken(sent)),
            end: result => this.events.schedule(this.delayMs(server), () => this.ended(pending, sent, result)),
        };
        const first = this.settings.estimator.expectedMs(`${request.requestClass.name}/first`, expectedMs / 4);
        const expectedFirstMs = first + expectedWaitMs(view, expectedMs, STALE_REPORT_MS) + 2 * this.delayMs(server);
        const sent: Sent = {
            pending,
            server,
            attempt,
            sentAtMs: this.events.nowMs,
            expectedFirstMs,
            answering: false,
        };
        pending.sent.add(sent);
        this.outstanding.get(server.serverId)?.add(sent);
        this.events.schedule(this.delayMs(server), () => {
            if (pending.sent.has(sent)) server.submit(attempt);
        });
    }

    /** The attempt owns the answer from its first token on. */
    private firstToken(sent: Sent): void {
        const { pending, server, attempt } = sent;
        if (!pending.sent.has(sent)) return;
        sent.answering = true;
        for (const other of [...pending.sent]) if (other !== sent) this.abandon(other);
        if (attempt.waitedForLoad) return;
        const nowMs = this.events.nowMs;
        const observedMs = nowMs - sent.sentAtMs;
        this.settings.detector.record(server.serverId, observedMs, sent.expectedFirstMs, nowMs);
        if (this.settings.detector.isStraggler(server.serverId, nowMs)) return;
        const group = pending.request.requestClass.name;
        this.settings.estimator.record(`${group}/first`, nowMs - (attempt.startedAtMs ?? nowMs));
        this.settings.estimator.record(`${group}/high`, observedMs);
    }

    private ended(pending: Pending, sent: Sent, result: AttemptEnd): void {
        if (!pending.sent.has(sent)) return;
        const nowMs = this.events.nowMs;
        const { attempt, server } = sent;
        this.forget(sent);
        this.receive(server.serverId, server.report());
        if (result === "answer") {
            this.learn(pending.request.requestClass.name, attempt, server.serverId);
            return this.finish(pending, "answer", attempt);
        }
        if (pending.sent.size > 0) return;
        if (this.settings.retries.tryConsume(nowMs) && this.send(pending)) return;
        this.finish(pending, "refusal", attempt);
    }

    /** Durations at stragglers say nothing about the next request elsewhere. */
    private learn(group: string, attempt: Attempt, serverId: ServerId): void {
        const nowMs = this.events.nowMs;
        if (this.settings.detector.isStraggler(serverId, nowMs)) return;
        this.settings.estimator.record(group, nowMs - (attempt.startedAtMs ?? nowMs));
    }

    private giveUp(pending: Pending): void {
        const [first] = pending.sent;
        this.finish(pending, "refusal", first?.attempt);
    }

    private finish(pending: Pending, kind: Outcome["kind"], attempt: Attempt | undefined): void {
        if (pending.ended) return;
        pending.ended = true;
        if (pending.giveUpTimer !== undefined) this.events.cancel(pending.giveUpTimer);
        for (const sent of [...pending.sent]) this.abandon(sent);
        this.settings.outcome({
            request: pending.request,
            kind,
            endedAtMs: this.events.nowMs,
            startedAtMs: attempt?.startedAtMs,
            waitedForLoad: attempt?.waitedForLoad ?? false,
            hedgeCount: pending.hedgeCount,
        });
    }

    private abandon(sent: Sent): void {
        this.forget(sent);
        this.events.schedule(this.delayMs(sent.server), () => sent.server.cancel(sent.attempt));
    }

    private forget(sent: Sent): void {
        sent.pending.sent.delete(sent);
        this.outstanding.get(sent.server.serverId)?.delete(sent);
    }

    private expectedMs(request: BenchRequest): number {
        return this.settings.estimator.expectedMs(request.requestClass.name, request.requestClass.medianMs);
    }

    private delayMs(server: BackendServer): number {
        return server.dataCentre === this.settings.dataCentre ? 0.1 : this.settings.crossDataCentreMs;
    }

    private view(server: BackendServer, modelId: ModelId): ServerView {
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
