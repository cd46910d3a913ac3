import type { Refusal, ServerId, ServiceId } from "@skylarkmill/protocol";
import chart from "../charts/request.json" with { type: "json" };
import type { Route } from "../types/catalog.ts";
import type { GatewayContext } from "../types/context.ts";
import type { AnswerHead, CallerRequest } from "../types/engine.ts";
import type { AnswerWriter } from "../types/writer.ts";
import { listTransitions } from "../utils/chart.ts";
import { nowMs } from "../utils/clock.ts";
import { refusals } from "../utils/refusals.ts";
import { Attempt, type AttemptOwner } from "./attempt.ts";
import type { Waiter } from "./demand-book.ts";
import type { StreamEvent } from "./event-splitter.ts";
import { DEADLINE_GRACE_MS, MIN_ATTEMPT_MS, type RequestTiming, timeRequest, WAIT_CHECK_MS } from "./request-timing.ts";
import { rankServers } from "./server-directory.ts";
import type { ServerState } from "./server-state.ts";

type State = "waiting" | "sent" | "relaying" | "resuming" | "resent" | "done";
type Event = "SEND" | "RETRY" | "ANSWER" | "END" | "BREAK" | "REFUSE" | "LEAVE";

const TRANSITIONS = listTransitions<State, Event>(chart);
/** Servers that turned a request away or couldn't be reached, after which it is refused. */
const MAX_REJECTED_COUNT = 6;
const MAX_PRIORITY = 9;
/** Longest part of the remaining time that a refused caller is asked to wait; callers honour a third. */
const RETRY_AFTER_SHARE = 0.3;
const MIN_RETRY_AFTER_MS = 100;
/** Interval at which a request at a silent server looks for another one. */
const SILENCE_CHECK_MS = 200;

export type RequestEnd = "answered" | "refused" | "broken" | "caller_gone";

/** One request, from its arrival to its one answer. */
export class RequestTask implements AttemptOwner, Waiter {
    readonly sinceMs: number;
    private state: State = "waiting";
    private readonly timing: RequestTiming;
    private readonly isRepeatable: boolean;
    private attempt: Attempt | undefined;
    /** Servers where the request may have run, with the number of such attempts. */
    private readonly ranAt = new Map<ServerId, number>();
    private readonly rejectedBy = new Set<ServerId>();
    private rejectedCount = 0;
    private sendCount = 0;
    private firstHead: AnswerHead | undefined;
    private lastEventId: number | undefined;
    private failure: Refusal | undefined;
    private isWaiting = false;
    private waitTimer: NodeJS.Timeout | undefined;
    private firstByteAtMs = 0;
    private lastByteAtMs = 0;
    private longestPauseMs = 0;
    private readonly deadlineTimer: NodeJS.Timeout;

    constructor(
        private readonly context: GatewayContext,
        private readonly route: Route,
        private readonly serviceId: ServiceId,
        private readonly request: CallerRequest,
        private readonly writer: AnswerWriter,
        startedAtMs: number,
        private readonly onEnded: (task: RequestTask, end: RequestEnd) => void,
    ) {
        this.timing = timeRequest(route, request, startedAtMs);
        this.sinceMs = startedAtMs;
        this.isRepeatable = route.kind === "idempotent" || route.kind === "streaming" && route.resumable;
        this.lastEventId = request.lastEventId;
        this.deadlineTimer = setTimeout(() => this.onDeadline(), this.remainingMs() + DEADLINE_GRACE_MS);
        writer.onCallerGone(() => this.onCallerGone());
    }

    start(): void {
        const { modelId, adapterId } = this.request;
        if (modelId !== undefined) this.context.demand.recordArrival(modelId, adapterId);
        this.context.repeatBudget(this.serviceId).recordRequest(nowMs());
        this.place();
    }

    /** Looks for a server again; called when the directory changed. */
    wake(): void {
        if (this.isWaiting) this.place();
    }

    /** Refuses a request that still waits, since this process ends before it could be served. */
    refuseWaiting(): void {
        if (this.isWaiting && !this.isResuming) this.giveUp("stopping");
    }

    /** Answers a request that has no answer yet, since this process ends now. */
    endUnanswered(): void {
        if (this.state === "done" || this.firstHead !== undefined) return;
        this.attempt?.cancel();
        this.giveUp("stopping");
    }

    onEvent(attempt: Attempt, event: StreamEvent): void {
        const head = attempt.head!;
        if (this.state === "resent" && event.id !== undefined && this.lastEventId !== undefined) {
            if (event.id <= this.lastEventId) return;
            if (event.id !== this.lastEventId + 1) {
                attempt.cancel();
                return this.onLost(attempt, `event ${event.id} after ${this.lastEventId}`, true);
            }
        }
        if (this.state !== "relaying") this.step("ANSWER");
        if (this.firstHead === undefined) {
            this.firstHead = head;
            this.noteFirstByte();
            this.writer.begin(head.status, head.headers, head.isFramed);
        }
        this.notePause();
        if (event.id !== undefined) this.lastEventId = event.id;
        if (this.mayRepeat) attempt.watchSilence(this.timing.pauseMs);
        if (this.writer.write(event.raw)) return;
        attempt.pause();
        this.writer.onDrain(() => attempt.resume());
    }

    onStreamEnd(): void {
        this.step("END");
        this.writer.end();
        this.finish("answered");
    }

    onAnswer(attempt: Attempt, head: AnswerHead, body: Buffer): void {
        if (head.status >= 500 && this.tryRepeat(attempt, `status ${head.status}`)) return;
        if (this.state === "resent") return this.breakOff();
        this.step("ANSWER");
        this.noteFirstByte();
        this.writeAnswer(head, body);
        this.step("END");
        this.finish("answered");
    }

    private writeAnswer(head: AnswerHead, body: Buffer): void {
        if (head.isFramed) return this.writer.answer(head.status, head.headers, body);
        this.writer.begin(head.status, head.headers, false);
        this.writer.write(body);
        this.writer.end();
    }

    onNotRun(attempt: Attempt, head: AnswerHead): void {
        const { modelId, adapterId } = this.request;
        const now = nowMs();
        this.forgetRun(attempt);
        this.context.metrics.failures.inc({ cause: `not_run_${head.status}` });
        if (head.status === 421 && modelId !== undefined) attempt.server.recordAbsent(modelId, adapterId, now);
        else attempt.server.recordFull(now);
        this.failure = refusals.unavailable("server_refused", this.retryAfterMs());
        this.reject(attempt, `not run, status ${head.status}`);
    }

    onLost(attempt: Attempt, cause: string, wasSent: boolean): void {
        this.context.metrics.failures.inc({ cause: wasSent ? "lost" : "unreachable" });
        if (!wasSent) {
            this.forgetRun(attempt);
            return this.reject(attempt, cause);
        }
        if (this.tryRepeat(attempt, cause)) return;
        if (this.firstHead !== undefined) return this.breakOff();
        this.logFailure("request.lost", attempt, cause);
        this.refuse(refusals.lost());
    }

    /** A silent server may only be slow, so an attempt there is given up only for another server. */
    onSilent(attempt: Attempt): void {
        const { context, serviceId } = this;
        const mayMove = this.mayRepeat && this.remainingMs() >= MIN_ATTEMPT_MS
            && context.repeatBudget(serviceId).mayTake(nowMs(), context.gatewayCount())
            && this.chooseUnused() !== undefined;
        if (mayMove) attempt.giveUp();
        else attempt.watchSilence(SILENCE_CHECK_MS);
    }

    private noteRun(serverId: ServerId): void {
        this.ranAt.set(serverId, (this.ranAt.get(serverId) ?? 0) + 1);
    }

    private forgetRun({ server: { record: { serverId } } }: Attempt): void {
        const count = (this.ranAt.get(serverId) ?? 0) - 1;
        if (count > 0) this.ranAt.set(serverId, count);
        else this.ranAt.delete(serverId);
    }

    /** Attempts that may have run. */
    private get ranCount(): number {
        return [...this.ranAt.values()].reduce((sum, count) => sum + count, 0);
    }

    private remainingMs(): number {
        return this.timing.deadlineAtMs - nowMs();
    }

    /** Another attempt is allowed after one that may have run. */
    private get mayRepeat(): boolean {
        return this.isRepeatable && this.ranCount < this.route.maxAttempts;
    }

    private get isResuming(): boolean {
        return this.state === "resuming";
    }

    private place(): void {
        if (this.remainingMs() < MIN_ATTEMPT_MS) return this.giveUp("deadline_unreachable");
        const server = this.choose();
        if (server === undefined) return this.wait();
        this.stopWaiting();
        this.send(server);
    }

    /** A server that has not had the request yet, or else one that had, since its failure may not last. */
    private choose(): ServerState | undefined {
        return this.chooseUnused() ?? (this.ranAt.size > 0 ? this.chooseAmong(this.ranAt) : undefined);
    }

    private chooseUnused(): ServerState | undefined {
        return this.chooseAmong(undefined);
    }

    /** The best server that may be asked: one of `allowed`, or one where the request can't have run. */
    private chooseAmong(allowed: ReadonlyMap<ServerId, number> | undefined): ServerState | undefined {
        const { directory, dataCentre } = this.context;
        const { modelId, adapterId } = this.request;
        const now = nowMs();
        const candidates = modelId === undefined
            ? directory.open(this.serviceId)
            : directory.holders(this.serviceId, modelId, adapterId);
        const usable = candidates.filter(({ record: { serverId } }) =>
            !this.rejectedBy.has(serverId) && (allowed?.has(serverId) ?? !this.ranAt.has(serverId))
        );
        const [best] = rankServers(usable, dataCentre, now);
        return best === undefined || best.isSuspect(now) || best.isFull(now) ? undefined : best;
    }

    private send(server: ServerState): void {
        const { context, route, request } = this;
        const now = nowMs();
        const isRepeat = this.sendCount > 0;
        if (isRepeat && !context.repeatBudget(this.serviceId).tryTake(now, context.gatewayCount())) {
            return this.giveUp("retry_budget_exhausted");
        }
        this.sendCount += 1;
        context.metrics.attempts.inc({ reason: this.isResuming ? "resume" : isRepeat ? "retry" : "first" });
        const call = {
            request,
            server: server.record,
            deadlineMs: Math.max(1, Math.floor(this.timing.deadlineAtMs - now)),
            priority: request.modelId === undefined ? undefined : Math.min(MAX_PRIORITY, route.priority),
            lastEventId: this.lastEventId,
            weightVersion: this.isResuming ? this.firstHead?.weightVersion : undefined,
        };
        this.step("SEND");
        this.noteRun(server.record.serverId);
        const attempt = new Attempt(server, call, route.kind === "streaming", this);
        this.attempt = attempt;
        attempt.start(context.engines);
        // Silence is a reason to give an attempt up only where another may follow.
        if (this.mayRepeat && this.attempt === attempt) attempt.watchSilence(this.timing.firstSilenceMs);
    }

    /** Waits until a server holds what the request needs, or refuses it once that can't be in time. */
    private wait(): void {
        const { modelId, adapterId } = this.request;
        const now = nowMs();
        if (!this.isWaiting) {
            this.isWaiting = true;
            if (modelId !== undefined) this.context.demand.addWaiter(modelId, adapterId, this);
        }
        // A server that turned the request away may have room again.
        this.rejectedBy.clear();
        const etaMs = modelId === undefined ? undefined : this.context.directory.etaMs(modelId);
        const patienceLeftMs = this.isResuming ? this.remainingMs() : this.timing.firstByteUntilMs - now;
        const isPromised = etaMs !== undefined && etaMs < patienceLeftMs - MIN_ATTEMPT_MS;
        if (etaMs !== undefined && !isPromised) return this.giveUp("model_not_in_time");
        if (!isPromised && now >= this.timing.waitUntilMs && !this.isResuming) return this.giveUp("no_server");
        clearTimeout(this.waitTimer);
        this.waitTimer = setTimeout(() => this.place(), Math.min(WAIT_CHECK_MS, Math.max(1, this.remainingMs())));
    }

    private stopWaiting(): void {
        clearTimeout(this.waitTimer);
        if (!this.isWaiting) return;
        this.isWaiting = false;
        const { modelId, adapterId } = this.request;
        if (modelId !== undefined) this.context.demand.removeWaiter(modelId, adapterId, this);
        this.context.metrics.waitSeconds.observe((nowMs() - this.timing.startedAtMs) / 1000);
    }

    /** Goes on at another server after one that certainly did not run the request. */
    private reject(attempt: Attempt, cause: string): void {
        this.rejectedCount += 1;
        this.rejectedBy.add(attempt.server.record.serverId);
        this.logFailure("request.rejected", attempt, cause);
        if (this.rejectedCount > MAX_REJECTED_COUNT) return this.giveUp("servers_refuse");
        this.step("RETRY");
        this.place();
    }

    /** Repeats an attempt that may have run, where the route allows it. */
    private tryRepeat(attempt: Attempt, cause: string): boolean {
        if (!this.mayRepeat) return false;
        if (this.remainingMs() < MIN_ATTEMPT_MS) return false;
        this.logFailure(this.firstHead === undefined ? "request.repeat" : "request.resume", attempt, cause);
        this.step("RETRY");
        this.place();
        return true;
    }

    private giveUp(code: string): void {
        if (this.firstHead !== undefined) return this.breakOff();
        if (this.ranAt.size > 0) return this.refuse(refusals.lost());
        const refusal = refusals.unavailable(code, this.retryAfterMs());
        this.refuse(refusal);
    }

    private retryAfterMs(): number {
        const { modelId } = this.request;
        const etaMs = modelId === undefined ? undefined : this.context.directory.etaMs(modelId);
        const longestMs = RETRY_AFTER_SHARE * Math.max(0, this.remainingMs());
        return Math.max(MIN_RETRY_AFTER_MS, Math.min(longestMs, etaMs ?? longestMs));
    }

    private refuse(refusal: Refusal): void {
        this.step("REFUSE");
        this.logRefusal(refusal);
        this.writer.refuse(refusal);
        this.finish("refused");
    }

    private breakOff(): void {
        this.step("BREAK");
        this.attempt?.cancel();
        this.logEnd("request.broken", "the stream broke off and could not be resumed");
        this.writer.breakOff();
        this.finish("broken");
    }

    private onDeadline(): void {
        if (this.state === "done") return;
        this.attempt?.cancel();
        if (this.firstHead !== undefined) return this.breakOff();
        this.refuse(this.ranAt.size > 0 ? refusals.timeout() : refusals.unavailable("deadline", this.retryAfterMs()));
    }

    private onCallerGone(): void {
        if (this.state === "done") return;
        this.step("LEAVE");
        this.attempt?.cancel();
        this.finish("caller_gone");
    }

    private noteFirstByte(): void {
        this.firstByteAtMs = nowMs();
        this.lastByteAtMs = this.firstByteAtMs;
        this.context.metrics.firstByteSeconds.observe((this.firstByteAtMs - this.timing.startedAtMs) / 1000);
    }

    private notePause(): void {
        const now = nowMs();
        this.longestPauseMs = Math.max(this.longestPauseMs, now - this.lastByteAtMs);
        this.lastByteAtMs = now;
    }

    private finish(end: RequestEnd): void {
        clearTimeout(this.deadlineTimer);
        this.stopWaiting();
        this.context.metrics.requests.inc({ kind: this.route.kind, end });
        if (end === "answered") this.logAnswered();
        this.onEnded(this, end);
    }

    private step(event: Event): void {
        const next = TRANSITIONS[this.state][event];
        if (next === undefined) throw new Error(`request in state ${this.state} can't take ${event}`);
        this.state = next;
    }

    private logAnswered(): void {
        const { requestId, modelId, adapterId } = this.request;
        this.context.logger.debug({
            step: "request.answered",
            requestId,
            route: this.route.name,
            model: modelId,
            adapter: adapterId,
            server: this.attempt?.server.record.serverId,
            firstByteMs: Math.round(this.firstByteAtMs - this.timing.startedAtMs),
            longestPauseMs: Math.round(this.longestPauseMs),
            events: this.attempt?.eventCount,
            tookMs: Math.round(nowMs() - this.timing.startedAtMs),
            sends: this.sendCount,
        }, "request answered");
    }

    private logFailure(step: string, attempt: Attempt, cause: string): void {
        const { serverId } = attempt.server.record;
        this.log({ step, server: serverId, cause, events: attempt.eventCount }, "attempt failed");
    }

    private logRefusal({ status, code, execution, retryAfterMs }: Refusal): void {
        const { directory } = this.context;
        const { modelId } = this.request;
        const eta = modelId === undefined ? undefined : directory.etaMs(modelId);
        const inputs = { eta, placement: directory.hasPlacement, rejected: this.rejectedCount, sends: this.sendCount };
        this.log({ step: "request.refused", status, code, execution, retryAfterMs, ...inputs }, "request refused");
    }

    private logEnd(step: string, message: string): void {
        this.log({ step, lastEventId: this.lastEventId, sends: this.sendCount }, message);
    }

    private log(fields: object, message: string): void {
        const skipped = this.context.requestLog.take(nowMs());
        if (skipped === undefined) return this.context.metrics.skippedLogLines.inc();
        const { requestId, modelId, adapterId } = this.request;
        const about = {
            requestId,
            route: this.route.name,
            model: modelId,
            adapter: adapterId,
            waitedMs: Math.round(nowMs() - this.timing.startedAtMs),
            remainingMs: Math.round(this.remainingMs()),
        };
        this.context.logger.info({ ...about, ...fields, ...(skipped > 0 ? { skipped } : {}) }, message);
    }
}
