import { nowMs } from "@skylarkmill/coordination";
import type { Refusal, RequestId, ServiceId } from "@skylarkmill/protocol";
import chart from "../charts/request.json" with { type: "json" };
import type { Route } from "../types/configuration.ts";
import type { GatewayContext } from "../types/context.ts";
import type { CallerRequest, ResponseHead } from "../types/engine.ts";
import type { ResponseWriter } from "../types/response-writer.ts";
import { refusals } from "../utils/refusals.ts";
import { buildTransitionTable } from "../utils/transition-table.ts";
import { Attempt, type AttemptListener, guardListener } from "./attempt.ts";
import { MAX_SMALL_BODY_BYTES } from "./byte-budget.ts";
import type { StreamEvent } from "./event-splitter.ts";
import type { WaitingRequest } from "./local-demand-tracker.ts";
import { RequestLog } from "./request-log.ts";
import {
    computeRequestTiming,
    DEADLINE_GRACE_MS,
    MIN_ATTEMPT_MS,
    MIN_FIRST_EVENT_MS,
    type RequestTiming,
    WAIT_CHECK_MS,
} from "./request-timing.ts";
import type { ServerState } from "./server-state.ts";
import { Admission } from "./stages/admission.ts";
import { PlaceWait } from "./stages/place-wait.ts";
import { ReservationWait } from "./stages/reservation-wait.ts";
import { ServerChoice } from "./stages/server-choice.ts";
import { type EventVerdict, StreamContinuity } from "./stages/stream-continuity.ts";
import { decideWait } from "./stages/wait-decision.ts";

type State = "waiting" | "sent" | "relaying" | "resuming" | "resent" | "done";
type Event = "SEND" | "RETRY" | "ANSWER" | "END" | "BREAK" | "REFUSE" | "LEAVE";

const TRANSITIONS = buildTransitionTable<State, Event>(chart);
/** A request is refused after more rejections and failed connections than this. */
const MAX_REJECTION_COUNT = 6;
const MAX_PRIORITY = 9;
/** Largest retry delay of a refused caller, as a share of its remaining time; callers honour up to a third. */
const RETRY_AFTER_SHARE = 0.3;
const MIN_RETRY_AFTER_MS = 100;
/** Interval at which another server is searched for while the current one sends nothing. */
const SILENCE_CHECK_MS = 200;

/** How a request ended, for the metrics. */
export type RequestEnd = "answered" | "refused" | "broken" | "caller_gone";

/**
 * Walks one request through its stages, from its arrival to the end of its response: waiting, choice of a server, attempts,
 * retries, relay and resumption.
 */
export class RequestTask implements AttemptListener, WaitingRequest {
    readonly arrivedAtMs: number;
    private state: State = "waiting";
    private readonly timing: RequestTiming;
    private readonly isRetryable: boolean;
    private attempt: Attempt | undefined;
    private rejectedCount = 0;
    private sendCount = 0;
    private isWaiting = false;
    /** Whether the request's body was given up for its response, so that it can't be sent again. */
    private isBodyDiscarded = false;
    private waitTimer: NodeJS.Timeout | undefined;
    private readonly admission: Admission;
    private readonly choice: ServerChoice;
    private readonly reservationWait: ReservationWait;
    private readonly placeWait: PlaceWait;
    private readonly continuity: StreamContinuity;
    private readonly log: RequestLog;
    private readonly deadlineTimer: NodeJS.Timeout;

    constructor(
        private readonly context: GatewayContext,
        private readonly route: Route,
        private readonly serviceId: ServiceId,
        private readonly request: CallerRequest,
        private readonly writer: ResponseWriter,
        startedAtMs: number,
        private readonly onEnded: (task: RequestTask, end: RequestEnd) => void,
    ) {
        this.timing = computeRequestTiming(route, request, startedAtMs);
        this.arrivedAtMs = startedAtMs;
        this.isRetryable = route.kind === "idempotent" || route.kind === "streaming" && route.isResumable;
        this.admission = new Admission(context, request);
        this.choice = new ServerChoice(context, serviceId, request);
        this.reservationWait = new ReservationWait(context, this.choice, request);
        this.placeWait = new PlaceWait(context, {
            serviceId,
            request,
            arrivedAtMs: startedAtMs,
            priority: this.priority,
            search: () => this.retryDispatch(),
        });
        this.continuity = new StreamContinuity(request.lastEventId);
        this.log = new RequestLog(context, route, request, this.timing, () => ({
            sendCount: this.sendCount,
            rejectedCount: this.rejectedCount,
            lastEventId: this.continuity.lastEventId,
            attempt: this.attempt,
        }));
        const deadlineDelayMs = this.remainingMs() + DEADLINE_GRACE_MS;
        this.deadlineTimer = setTimeout(() => this.runGuarded(() => this.onDeadline()), deadlineDelayMs);
        writer.onCallerDisconnect(() => this.runGuarded(() => this.onCallerDisconnect()));
    }

    get requestId(): RequestId {
        return this.request.requestId;
    }

    start(): void {
        this.context.getRetryBudget(this.serviceId).recordRequest(nowMs());
        this.runGuarded(() => this.dispatch());
    }

    /** Searches for a server again; called when the directory changed. */
    retryDispatch(): void {
        if (this.isWaiting || this.admission.isWaiting) this.runGuarded(() => this.dispatch());
    }

    /** Refuses a request that waits for a server, since this process ends before it can be served. */
    refuseIfWaiting(): void {
        if ((this.isWaiting || this.admission.isWaiting) && !this.isResuming) this.abandon("stopping");
    }

    /**
     * Refuses the request, or aborts its response if that has started, since this process ends now. Returns which of the
     * two; undefined if the request has ended.
     */
    endNow(): "refused" | "aborted" | undefined {
        if (this.state === "done") return undefined;
        this.attempt?.cancel();
        this.abandon("stopping");
        return !this.hasStarted ? "refused" : "aborted";
    }

    onEvents(attempt: Attempt, events: readonly StreamEvent[]): void {
        // Each write takes some hundred bytes besides its own until the caller has read it.
        const relayed: Buffer[] = [];
        let fault: string | undefined;
        for (const event of events) {
            const verdict = this.checkEvent(attempt, event);
            if (verdict === "relay") relayed.push(event.raw);
            else if (verdict !== "skip") {
                ({ fault } = verdict);
                break;
            }
        }
        if (relayed.length > 0) this.relayEvents(attempt, Buffer.concat(relayed));
        if (fault === undefined) return;
        attempt.cancel();
        this.onFailed(attempt, fault, true);
    }

    /** Checks an event, which the caller is sent next if it is to be relayed. */
    private checkEvent(attempt: Attempt, event: StreamEvent): EventVerdict {
        const { continuity } = this;
        const head = attempt.head!;
        const isResumed = this.isRetryable && attempt.call.lastEventId !== undefined;
        const verdict = continuity.check(head, event, this.state === "resent", isResumed);
        if (verdict !== "relay") return verdict;
        if (this.state !== "relaying") this.applyEvent("ANSWER");
        if (continuity.firstHead === undefined) {
            continuity.firstHead = head;
            this.log.recordFirstByte();
            this.writer.start(head.status, head.headers);
        }
        if (event.id !== undefined) continuity.lastEventId = event.id;
        return verdict;
    }

    private relayEvents(attempt: Attempt, bytes: Buffer): void {
        this.log.recordPause();
        if (!this.canRetry) this.request.body?.discard();
        if (this.canRetry) attempt.restartSilenceTimer(this.timing.pauseTimeoutMs);
        if (this.writer.write(bytes)) return;
        attempt.pause();
        this.writer.onDrain(() => attempt.resume());
    }

    onStreamEnd(attempt: Attempt): void {
        if (this.state !== "relaying") return this.onFailed(attempt, "the stream ended without a new event", true);
        this.applyEvent("END");
        if (attempt.head?.isFramed === false) this.log.recordUnverifiedEnd(attempt);
        this.writer.end();
        this.finish("answered");
    }

    onResponse(attempt: Attempt, head: ResponseHead, body: readonly Buffer[]): void {
        if (head.status >= 500 && this.tryRetry(attempt, `status ${head.status}`)) return;
        if (this.state === "resent") return this.abortResponse(`resumed with status ${head.status}`);
        this.applyEvent("ANSWER");
        this.log.recordFirstByte();
        this.writeResponse(head, body);
        this.applyEvent("END");
        this.finish("answered");
    }

    private writeResponse(head: ResponseHead, body: readonly Buffer[]): void {
        if (head.isFramed) return this.writer.sendComplete(head.status, head.headers, body);
        this.writer.sendUnverified(head.status, head.headers, body);
    }

    onNotRun(attempt: Attempt, head: ResponseHead): void {
        const { modelId, adapterId } = this.request;
        const now = nowMs();
        this.choice.removePossibleRun(attempt.server.record.serverId);
        this.context.metrics.failures.inc({ cause: `not_run_${head.status}` });
        if (head.status === 421 && modelId !== undefined) attempt.server.recordMissingModel(modelId, adapterId, now);
        else attempt.server.recordAtCapacity(now, head.load);
        this.retryElsewhere(attempt, `request not run, status ${head.status}`);
    }

    onUnmarkedRefusal(attempt: Attempt): void {
        this.context.metrics.failures.inc({ cause: "unmarked_refusal" });
        this.log.writeFailure(
            "request.unmarked_refusal",
            attempt,
            "refusal without the mark of a request that has not run",
        );
        this.refuse(refusals.refusalUnconfirmed());
    }

    onFailed(attempt: Attempt, cause: string, wasSent: boolean): void {
        this.context.metrics.failures.inc({ cause: wasSent ? "lost" : "unreachable" });
        if (!wasSent) {
            this.choice.removePossibleRun(attempt.server.record.serverId);
            return this.retryElsewhere(attempt, cause);
        }
        if (this.tryRetry(attempt, cause)) return;
        if (this.hasStarted) return this.abortResponse(cause);
        this.log.writeFailure("request.lost", attempt, cause);
        this.refuse(refusals.backendLost());
    }

    onRoomWait(): void {
        // Large bodies that are kept for another attempt take the memory that responses wait for.
        const { body } = this.request;
        if (body === undefined || body.byteCount <= MAX_SMALL_BODY_BYTES) return;
        this.isBodyDiscarded = true;
        body.discard();
    }

    /** A server that sends nothing may only be slow, so its attempt is abandoned only if another server can be used. */
    onSilence(attempt: Attempt): void {
        const { context, serviceId } = this;
        const canMove = this.canRetry && this.remainingMs() >= MIN_ATTEMPT_MS
            && context.getRetryBudget(serviceId).canRetry(nowMs(), context.getGatewayCount())
            && this.choice.chooseUnused() !== undefined;
        if (canMove) attempt.abandon();
        else attempt.restartSilenceTimer(SILENCE_CHECK_MS);
    }

    private remainingMs(): number {
        return this.timing.deadlineAtMs - nowMs();
    }

    /** Whether another attempt is allowed after one that may have run the request. */
    private get canRetry(): boolean {
        return this.isRetryable && !this.isBodyDiscarded && !this.continuity.hasUnnumberedData
            && this.choice.possibleRunCount < this.route.maxAttempts;
    }

    /** Priority of the request: its workspace's, or else its route's. */
    private get priority(): number {
        const { workspaceId } = this.request;
        const workspace = workspaceId === undefined ? undefined : this.context.workspaces.get(workspaceId);
        return workspace?.priority ?? this.route.priority;
    }

    /** Whether the caller has received a part of the response. */
    private get hasStarted(): boolean {
        return this.continuity.firstHead !== undefined;
    }

    private get isResuming(): boolean {
        return this.state === "resuming";
    }

    private dispatch(): void {
        if (!this.isKeyAccepted) return this.refuse(refusals.unknownKey());
        if (this.remainingMs() < MIN_ATTEMPT_MS) return this.abandon("deadline_unreachable");
        if (!this.admission.isAdmitted && !this.tryAdmit()) return;
        // The parts of a prompt with which an answer began don't end engines.
        const decision = !this.hasStarted
            ? this.context.crashSuspects.decide(this.request.sharedPromptParts)
            : undefined;
        if (decision?.kind === "refuse") return this.refuseSuspect(decision.retryAfterMs);
        const mustWait = decision?.kind === "wait";
        const isFirst = !this.choice.mayHaveRun && !this.hasStarted;
        const server = mustWait || isFirst && this.placeWait.mustQueue()
            ? undefined
            : this.choice.choose(this.placeWait.countExtraPlaces());
        if (server === undefined) {
            if (isFirst && !mustWait) this.placeWait.enter();
            return this.waitForServer(mustWait);
        }
        this.stopWaiting();
        this.send(server);
    }

    /** Admits the request within its workspace's quota; returns false if it waits for that or has been refused. */
    private tryAdmit(): boolean {
        const decision = this.admission.decide();
        if (decision.kind === "refuse") this.refuse(decision.refusal);
        if (decision.kind === "wait") {
            clearTimeout(this.waitTimer);
            this.waitTimer = setTimeout(() => this.runGuarded(() => this.dispatch()), WAIT_CHECK_MS);
        }
        if (decision.kind !== "admitted") return false;
        const { modelId, adapterId } = this.request;
        // What is beyond a quota must not draw models away from what is within one.
        if (modelId !== undefined) this.context.localDemand.recordArrival(modelId, adapterId);
        return true;
    }

    /** A configuration may take the key away while the request waits; a request that may have run goes on. */
    private get isKeyAccepted(): boolean {
        if (this.choice.mayHaveRun || this.hasStarted) return true;
        return this.context.workspaces.identify(this.route, this.request.keyDigest).kind !== "unknown";
    }

    /** Time until which a reservation is of use; the caller of a stream gives up after a pause. */
    private computeReservationWaitMs(now: number, usefulWaitMs: number): number {
        if (!this.isResuming) return usefulWaitMs - this.timing.reservedRunMs;
        const pauseLeftMs = this.log.lastByteAtMs + (this.route.callerSilenceTimeoutMs ?? Infinity) - now;
        return Math.min(usefulWaitMs, pauseLeftMs - MIN_FIRST_EVENT_MS);
    }

    private send(server: ServerState): void {
        const { context, route, request } = this;
        const now = nowMs();
        const isRetry = this.sendCount > 0;
        if (isRetry && !context.getRetryBudget(this.serviceId).tryConsumeRetry(now, context.getGatewayCount())) {
            return this.abandon("retry_budget_exhausted");
        }
        this.reservationWait.use(server);
        if (!isRetry) this.placeWait.recordSend();
        this.sendCount += 1;
        context.metrics.attempts.inc({ reason: this.isResuming ? "resume" : isRetry ? "retry" : "first" });
        const call = {
            request,
            server: server.record,
            deadlineMs: Math.max(1, Math.floor(this.timing.deadlineAtMs - now)),
            priority: request.modelId === undefined ? undefined : Math.min(MAX_PRIORITY, this.priority),
            lastEventId: this.continuity.lastEventId,
            weightVersion: this.isResuming ? this.continuity.firstHead?.weightVersion : undefined,
        };
        this.applyEvent("SEND");
        this.choice.recordPossibleRun(server.record.serverId);
        const attempt = new Attempt(
            server,
            call,
            { isStream: route.kind === "streaming", isRetryable: this.isRetryable },
            context.byteBudget,
            context.crashSuspects,
            guardListener(this, error => this.failUnexpectedly(error)),
        );
        this.attempt = attempt;
        attempt.start(context.engineClient);
        // A silence timeout is useful only if another attempt is allowed.
        if (this.canRetry && this.attempt === attempt) attempt.restartSilenceTimer(this.timing.firstSilenceTimeoutMs);
    }

    /**
     * Waits for a server with the request's model, or refuses the request once no server can be ready in time.
     *
     * @param isSuspect Whether the request waits for the end of another one, and takes no place meanwhile.
     */
    private waitForServer(isSuspect: boolean): void {
        const { modelId, adapterId } = this.request;
        const now = nowMs();
        if (!this.isWaiting) {
            this.isWaiting = true;
            if (modelId !== undefined) this.context.localDemand.addWaiter(modelId, adapterId, this);
        }
        this.choice.forgetRejections();
        const heldServer = this.choice.findFirstHeldServer(now);
        if (heldServer !== undefined) this.log.recordHeld(heldServer, now);
        const timeLeftMs = this.isResuming ? this.remainingMs() : this.timing.firstByteDeadlineAtMs - now;
        const usefulWaitMs = timeLeftMs - (modelId === undefined ? MIN_ATTEMPT_MS : MIN_FIRST_EVENT_MS);
        const decision = decideWait({
            holdMs: heldServer?.holdMs(now),
            reservation: isSuspect
                ? this.reservationWait.leave()
                : this.reservationWait.update(now, this.computeReservationWaitMs(now, usefulWaitMs)),
            modelEtaMs: modelId === undefined ? undefined : this.context.directory.etaMs(modelId),
            usefulWaitMs,
            remainingMs: this.remainingMs(),
            placeEtaMs: this.placeWait.etaMs(),
            placeWaitMs: this.timing.waitDeadlineAtMs - now,
            isWaitOver: now >= this.timing.waitDeadlineAtMs && !this.isResuming,
            holderReturnMs: this.context.serverRates.holderReturnMs,
        });
        if (decision.kind === "refuse") return this.abandon(decision.code, decision.retryAfterMs);
        clearTimeout(this.waitTimer);
        this.waitTimer = setTimeout(() => this.runGuarded(() => this.dispatch()), decision.checkInMs);
    }

    private stopWaiting(): void {
        clearTimeout(this.waitTimer);
        this.placeWait.leave();
        if (!this.isWaiting) return;
        this.isWaiting = false;
        const { modelId, adapterId } = this.request;
        if (modelId !== undefined) this.context.localDemand.removeWaiter(modelId, adapterId, this);
        this.context.metrics.waitSeconds.observe((nowMs() - this.timing.startedAtMs) / 1000);
    }

    /** Tries another server after one that certainly did not run the request. */
    private retryElsewhere(attempt: Attempt, cause: string): void {
        this.rejectedCount += 1;
        this.choice.recordRejection(attempt.server.record.serverId);
        this.log.writeFailure("request.rejected", attempt, cause);
        if (this.rejectedCount > MAX_REJECTION_COUNT) return this.abandon("servers_refuse");
        this.applyEvent("RETRY");
        this.dispatch();
    }

    /** Retries after an attempt that may have run the request, if the route allows it. */
    private tryRetry(attempt: Attempt, cause: string): boolean {
        if (!this.canRetry) return false;
        if (this.remainingMs() < MIN_ATTEMPT_MS) return false;
        this.log.writeFailure(!this.hasStarted ? "request.repeat" : "request.resume", attempt, cause);
        this.applyEvent("RETRY");
        this.dispatch();
        return true;
    }

    /** Refuses a request that would probably end an engine. */
    private refuseSuspect(retryAfterMs: number): void {
        this.refuse(this.choice.mayHaveRun ? refusals.backendLost() : refusals.suspectPrompt(retryAfterMs));
    }

    /** Gives the request up; `retryAfterMs` is the time after which it can be served, if that is known. */
    private abandon(code: string, retryAfterMs = this.retryAfterMs()): void {
        if (this.hasStarted) return this.abortResponse(code);
        if (this.choice.mayHaveRun) return this.refuse(refusals.backendLost());
        const refusal = refusals.unavailable(code, retryAfterMs);
        const { modelId, adapterId } = this.request;
        // The model must be ready when the caller returns, so the request counts as demand until then.
        if (this.isWaiting && modelId !== undefined && code !== "stopping") {
            this.context.localDemand.addReturning(modelId, adapterId, this.arrivedAtMs, refusal.retryAfterMs ?? 0);
        }
        this.refuse(refusal);
    }

    private retryAfterMs(): number {
        const { modelId } = this.request;
        const etaMs = modelId === undefined ? undefined : this.context.directory.etaMs(modelId);
        const longestMs = RETRY_AFTER_SHARE * Math.max(0, this.remainingMs());
        return Math.max(MIN_RETRY_AFTER_MS, Math.min(longestMs, etaMs ?? longestMs));
    }

    private refuse(refusal: Refusal): void {
        this.applyEvent("REFUSE");
        this.log.writeRefusal(refusal);
        this.writer.refuse(refusal);
        this.finish("refused");
    }

    private abortResponse(cause: string): void {
        this.applyEvent("BREAK");
        this.attempt?.cancel();
        this.log.writeBroken(cause);
        this.writer.abort();
        this.finish("broken");
    }

    private onDeadline(): void {
        if (this.state === "done") return;
        this.attempt?.cancel();
        if (this.hasStarted) return this.abortResponse("deadline");
        this.refuse(
            this.choice.mayHaveRun
                ? refusals.deadlineExceeded()
                : refusals.unavailable("deadline", this.retryAfterMs()),
        );
    }

    private onCallerDisconnect(): void {
        if (this.state === "done") return;
        this.applyEvent("LEAVE");
        this.attempt?.cancel();
        this.finish("caller_gone");
    }

    private finish(end: RequestEnd): void {
        clearTimeout(this.deadlineTimer);
        this.reservationWait.cancel("refused");
        this.stopWaiting();
        this.context.fairOrder.schedulePass();
        this.request.body?.discard();
        this.admission.end(this.choice.mayHaveRun || end === "answered");
        this.context.metrics.requests.inc({ kind: this.route.kind, end });
        const { workspaceId } = this.request;
        if (workspaceId !== undefined) this.context.metrics.countWorkspaceRequest(workspaceId, end);
        if (end === "answered") this.log.writeAnswered();
        this.onEnded(this, end);
    }

    private runGuarded(run: () => void): void {
        try {
            run();
        }
        catch (error) {
            this.failUnexpectedly(error);
        }
    }

    /** Ends this request after an unexpected error, so that it costs no other request, timer or place. */
    private failUnexpectedly(error: unknown): void {
        this.context.logger.error(
            { step: "request", requestId: this.request.requestId, err: error },
            "request failed unexpectedly",
        );
        if (this.state === "done") return;
        const { hasStarted } = this;
        this.state = "done";
        this.attempt?.cancel();
        if (hasStarted) this.writer.abort();
        else {
            this.writer.refuse(
                this.choice.mayHaveRun
                    ? refusals.backendLost()
                    : refusals.unavailable("internal", this.retryAfterMs()),
            );
        }
        this.finish("broken");
    }

    private applyEvent(event: Event): void {
        const next = TRANSITIONS[this.state][event];
        if (next === undefined) throw new Error(`request in state ${this.state} has no transition for event ${event}`);
        this.state = next;
    }
}
