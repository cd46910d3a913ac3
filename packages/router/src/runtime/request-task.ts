import type { ConfigView } from "@skylarkmill/config";
import type { AdmissionDecision, ServerView } from "@skylarkmill/policy";
import { type Execution, HEADERS, type Refusal, type ServerId } from "@skylarkmill/protocol";
import type { RouterContext } from "../types/context.ts";
import type { AnswerHead, RequestSpec } from "../types/request.ts";
import type { ServerState } from "../types/server.ts";
import { executionOf, readAgentRefusal } from "../utils/agent-refusal.ts";
import { nowMs } from "../utils/clock.ts";
import { refusals } from "../utils/refusals.ts";
import { parseLoadHeader } from "../utils/server-report.ts";
import { AnswerRelay } from "./answer-relay.ts";
import type { AnswerWriter } from "./answer-writer.ts";
import { type AttemptEvent, type AttemptState, INITIAL_STATE, nextAttemptState } from "./attempt-chart.ts";
import { Attempt, type AttemptOwner } from "./attempt.ts";
import { ServerWait } from "./server-wait.ts";

/** Time after the deadline in which an agent's own refusal may still arrive; part of the 100 ms that are allowed. */
const DEADLINE_GRACE_MS = 40;
/** Refusals and failed connections after which a request is not sent to yet another server. */
const MAX_MOVES = 8;
/** Less remaining time than this is not worth another attempt. */
const MIN_ATTEMPT_MS = 5;

/** How a request ended. */
export type RequestEnd =
    | { readonly kind: "answered"; readonly head: AnswerHead; readonly body: Buffer | undefined; }
    | { readonly kind: "refused"; readonly execution: Execution; }
    /** The answer broke off after it had begun. */
    | { readonly kind: "broken"; }
    | { readonly kind: "disconnected"; readonly execution: Execution; };

/** One request from choice to answer. It alone writes the answer, and only from the attempt that owns the request. */
export class RequestTask implements AttemptOwner {
    private readonly context: RouterContext;
    private readonly spec: RequestSpec;
    private readonly writer: AnswerWriter;
    private readonly onEnded: (end: RequestEnd) => void;
    private readonly attempts = new Set<Attempt>();
    private readonly tried = new Set<ServerId>();
    private readonly refusalBodies = new Map<Attempt, Buffer[]>();
    private state: AttemptState = INITIAL_STATE;
    private owner: Attempt | undefined;
    private relay: AnswerRelay | undefined;
    private lastRefusal: Refusal | undefined;
    private mayHaveRun = false;
    private moveCount = 0;
    private deadlineTimer: NodeJS.Timeout | undefined;
    private hedgeTimer: NodeJS.Timeout | undefined;
    private wait: ServerWait | undefined;

    constructor(
        context: RouterContext,
        spec: RequestSpec,
        writer: AnswerWriter,
        onEnded: (end: RequestEnd) => void,
    ) {
        this.context = context;
        this.spec = spec;
        this.writer = writer;
        this.onEnded = onEnded;
    }

    start(): void {
        this.deadlineTimer = setTimeout(() => this.onDeadline(), this.remainingMs());
        this.writer.onClose(() => this.onCallerClosed());
        const { policies } = this.context;
        const now = nowMs();
        policies.retries.recordRequest(now);
        policies.hedges.recordRequest(now);
        this.choose();
    }

    private choose(): void {
        const now = nowMs();
        const views = this.context.views.forRequest(this.spec, now);
        const view = this.chooseView(views);
        if (view === undefined) return this.onNoServer();
        const server = this.context.directory.get(view.serverId)!;
        const decision = this.admit(view, now);
        if (!decision.admitted) {
            return this.refuse(this.lastRefusal ?? refusals.overloaded(decision.code, decision.retryAfterMs));
        }
        this.send(server, view, "SEND");
    }

    private chooseView(views: readonly ServerView[]): ServerView | undefined {
        const { spec } = this;
        const preferred = spec.preferredServerId;
        if (preferred !== undefined && !this.tried.has(preferred)) {
            const view = views.find(candidate => candidate.serverId === preferred);
            if (view !== undefined) return view;
        }
        return this.context.policies.chooser.choose({
            requestId: spec.requestId,
            serviceId: spec.target.serviceId,
            modelId: spec.target.modelId,
            dataCentre: this.context.options.dataCentre,
            expectedMs: spec.expectedMs,
            remainingMs: this.remainingMs(),
            tried: this.tried,
        }, views);
    }

    private admit(view: ServerView, now: number): AdmissionDecision {
        const { policies, counts, config } = this.context;
        const { serviceId, service } = this.spec.target;
        return policies.admission.decide({
            serviceId,
            nowMs: now,
            deadlineAtMs: this.spec.deadlineAtMs,
            expectedMs: this.spec.expectedMs,
            waitMs: waitOf(view),
            serviceCount: counts.of(serviceId),
            totalCount: counts.total,
            weight: service.weight,
            totalWeight: totalWeight(config),
        });
    }

    private send(server: ServerState, view: ServerView, event: "SEND" | "HEDGE"): void {
        const { context, spec } = this;
        const now = nowMs();
        const attempt = new Attempt(context.newAttemptId(), server, event === "HEDGE", now, this);
        this.attempts.add(attempt);
        this.tried.add(server.serverId);
        this.step(event);
        const reason = event === "HEDGE" ? "hedge" : this.moveCount > 0 ? "moved" : "first";
        context.metrics.attempts.inc({ reason });
        attempt.start(context.pools.poolOf(server.host), spec, spec.deadlineAtMs - now);
        if (event === "SEND" && spec.idempotent) this.armHedge(attempt, view);
    }

    private armHedge(attempt: Attempt, view: ServerView): void {
        const extraMs = waitOf(view);
        const { expectedMs, highMs } = this.spec;
        const afterMs = this.context.policies.hedges.hedgeAfterMs(
            expectedMs + extraMs,
            highMs + extraMs,
            view.slowness,
        );
        if (afterMs === undefined || afterMs >= this.remainingMs()) return;
        clearTimeout(this.hedgeTimer);
        this.hedgeTimer = setTimeout(() => this.hedge(attempt, expectedMs + extraMs), afterMs);
    }

    private hedge(first: Attempt, expectedMs: number): void {
        if (this.state !== "sent" || !this.attempts.has(first)) return;
        const now = nowMs();
        const { policies, views, directory } = this.context;
        policies.stragglers.recordWaiting(first.server.serverId, now - first.sentAtMs, expectedMs, now);
        // A server that would have to load the model first can't overtake the first attempt.
        const loaded = views.forRequest(this.spec, now).filter(view => view.loaded && !this.tried.has(view.serverId));
        const view = this.chooseView(loaded);
        if (view === undefined || !policies.hedges.tryTake(now)) return;
        this.send(directory.get(view.serverId)!, view, "HEDGE");
    }

    onHead(attempt: Attempt, head: AnswerHead): void {
        this.noteReport(attempt, head);
        if (executionOf(head) !== undefined) {
            this.refusalBodies.set(attempt, []);
            return;
        }
        if (this.owner !== undefined) return attempt.cancel();
        this.owner = attempt;
        clearTimeout(this.hedgeTimer);
        for (const other of this.attempts) if (other !== attempt) this.cancel(other);
        this.step("HEAD");
        this.recordFirstByte(attempt);
        this.relay = new AnswerRelay({
            writer: this.writer,
            spec: this.spec,
            head,
            source: attempt,
            maxBufferedBytes: this.context.options.limits.maxBufferedBytes,
        });
    }

    onData(attempt: Attempt, chunk: Buffer): void {
        if (attempt === this.owner) this.relay?.push(chunk);
        else {
            const parts = this.refusalBodies.get(attempt);
            if (parts === undefined) this.onLateChunk();
            else if (parts.length < 16) parts.push(chunk);
        }
    }

    onEnd(attempt: Attempt): void {
        this.attempts.delete(attempt);
        if (attempt === this.owner) return this.onAnswerEnd(attempt);
        const parts = this.refusalBodies.get(attempt);
        const execution = attempt.head === undefined ? undefined : executionOf(attempt.head);
        if (attempt.head === undefined || parts === undefined || execution === undefined) return;
        this.onRefused(attempt, readAgentRefusal(attempt.head, execution, Buffer.concat(parts)));
    }

    onLost(attempt: Attempt, error: Error): void {
        this.attempts.delete(attempt);
        const { logger, directory } = this.context;
        logger.warn({
            requestId: this.spec.requestId,
            step: attempt.wasSent ? "agent.answer" : "agent.connect",
            peer: attempt.server.serverId,
            err: error,
        }, "attempt failed");
        if (attempt === this.owner && this.relay?.isHeld === false) return this.breakOff(refusals.streamBroken());
        if (attempt === this.owner) this.owner = undefined;
        if (attempt.wasSent) {
            this.mayHaveRun = true;
            return this.moveOrFail(refusals.backendLost("unknown"), this.spec.idempotent && this.takeRetry());
        }
        directory.markUnreachable(attempt.server, nowMs());
        this.tried.delete(attempt.server.serverId);
        this.moveOrFail(refusals.noServer(1000), true);
    }

    onLateChunk(): void {
        this.context.metrics.lateChunks.inc();
    }

    private onAnswerEnd(attempt: Attempt): void {
        const complete = this.relay!.end();
        const head = attempt.head!;
        this.step(complete ? "END" : "FAIL");
        if (complete) this.finish({ kind: "answered", head, body: this.relay!.keptBody() });
        else this.finish({ kind: "broken" });
    }

    private onRefused(attempt: Attempt, refusal: Refusal): void {
        const { directory } = this.context;
        if (refusal.code === "draining") directory.markDraining(attempt.server);
        if (refusal.execution === "unknown") {
            this.mayHaveRun = true;
            return this.moveOrFail(refusal, this.spec.idempotent && isMovable(refusal) && this.takeRetry());
        }
        this.lastRefusal = refusal;
        this.moveOrFail(refusal, isMovable(refusal));
    }

    private moveOrFail(refusal: Refusal, mayMove: boolean): void {
        const worthwhile = this.moveCount < MAX_MOVES && this.remainingMs() > MIN_ATTEMPT_MS;
        if (this.attempts.size > 0) return this.step("LOST");
        if (!mayMove || !worthwhile) return this.refuse(refusal);
        this.moveCount += 1;
        this.step("LOST");
        this.step("CHOOSE");
        this.choose();
    }

    /** Overload is passed on at once, since waiting callers would add to it; anything else may pass within seconds. */
    private onNoServer(): void {
        if (this.lastRefusal?.type === "overloaded_error") return this.refuse(this.lastRefusal);
        this.tried.clear();
        this.wait ??= new ServerWait(
            this.context.directory,
            this.spec.startedAtMs + this.context.options.limits.serverWaitMs,
            () => this.state === "choosing" && this.choose(),
            () => this.state === "choosing" && this.refuse(this.lastRefusal ?? refusals.noServer(1000)),
        );
        this.wait.arm();
    }

    private onDeadline(): void {
        if (this.isOver()) return this.writer.destroy();
        const lateMs = nowMs() - this.spec.deadlineAtMs;
        const mayStillAnswer = this.attempts.size > 0 && !this.writer.hasBegun;
        if (mayStillAnswer && lateMs < DEADLINE_GRACE_MS) {
            this.deadlineTimer = setTimeout(() => this.onDeadline(), DEADLINE_GRACE_MS - lateMs);
            return;
        }
        if (this.writer.hasBegun) this.breakOff(refusals.deadline("unknown"));
        else this.refuse(this.attempts.size === 0 && this.lastRefusal || refusals.deadline("not_run"));
    }

    private onCallerClosed(): void {
        clearTimeout(this.deadlineTimer);
        if (this.isOver()) return;
        // A non-idempotent request goes on, so that its outcome becomes known and can be stored under its key.
        if (!this.spec.idempotent && this.attempts.size > 0) {
            this.owner?.resume();
            this.deadlineTimer = setTimeout(() => this.onDeadline(), Math.max(0, this.remainingMs()));
            return;
        }
        this.cancelAll();
        this.step("FAIL");
        this.finish({ kind: "disconnected", execution: this.execution() });
    }

    private refuse(refusal: Refusal): void {
        this.cancelAll();
        this.step("FAIL");
        const execution = this.mayHaveRun ? "unknown" : refusal.execution;
        this.writer.refuse({ ...refusal, execution });
        this.finish({ kind: "refused", execution });
    }

    private breakOff(refusal: Refusal): void {
        this.cancelAll();
        this.step("FAIL");
        this.writer.breakOff(refusal);
        this.finish({ kind: "broken" });
    }

    private finish(end: RequestEnd): void {
        clearTimeout(this.hedgeTimer);
        this.wait?.stop();
        if (this.writer.isGone) clearTimeout(this.deadlineTimer);
        this.onEnded(end);
    }

    private cancelAll(): void {
        for (const attempt of this.attempts) this.cancel(attempt);
    }

    private cancel(attempt: Attempt): void {
        this.attempts.delete(attempt);
        if (attempt.wasSent && !this.refusalBodies.has(attempt)) this.mayHaveRun = true;
        attempt.cancel();
    }

    private step(event: AttemptEvent): void {
        const next = nextAttemptState(this.state, event);
        if (next === undefined) {
            this.context.metrics.chartFaults.inc();
            this.context.logger.error(
                { requestId: this.spec.requestId, step: "request.transition", peer: "local", state: this.state, event },
                "the attempt chart does not allow this event",
            );
            return;
        }
        this.state = next;
    }

    private isOver(): boolean {
        return this.state === "done" || this.state === "failed";
    }

    private execution(): Execution {
        return this.mayHaveRun ? "unknown" : "not_run";
    }

    private takeRetry(): boolean {
        return this.context.policies.retries.tryTake(nowMs());
    }

    private remainingMs(): number {
        return this.spec.deadlineAtMs - nowMs();
    }

    private noteReport(attempt: Attempt, head: AnswerHead): void {
        const header = head.headers[HEADERS.load];
        const report = typeof header === "string" ? parseLoadHeader(header) : undefined;
        if (report !== undefined) this.context.directory.applyReport(attempt.server, report, nowMs());
    }

    private recordFirstByte(attempt: Attempt): void {
        const { policies } = this.context;
        const now = nowMs();
        const waitedMs = now - attempt.sentAtMs;
        policies.stragglers.record(attempt.server.serverId, waitedMs, this.spec.expectedMs, now);
        policies.estimator.record(this.spec.group, waitedMs);
    }
}

/** Time before the chosen server starts the request: its queue and, for a cold model, the load. */
function waitOf(view: ServerView): number {
    return (view.backlogMs / view.slotCount) + (view.loaded ? 0 : view.expectedLoadMs);
}

function totalWeight(config: ConfigView): number {
    let total = 0;
    for (const service of config.services().values()) total += service.config.weight;
    return total;
}

/** Another server may take what one can't take now; a fault of the request stays one everywhere. */
function isMovable(refusal: Refusal): boolean {
    return refusal.status === 429 || refusal.status >= 500;
}
