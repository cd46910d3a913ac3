import { ByteCollector, nowMs } from "@skylarkmill/coordination";
import type { ServerView } from "@skylarkmill/policy";
import { type Execution, HEADERS, type Refusal, type ServerId } from "@skylarkmill/protocol";
import type { RouterContext } from "../types/context.ts";
import type { RequestSpec, ResponseHead } from "../types/request.ts";
import type { ServerState } from "../types/server.ts";
import { readAgentRefusal, readExecution } from "../utils/agent-refusal.ts";
import { refusals } from "../utils/refusals.ts";
import { parseLoadHeader } from "../utils/server-report.ts";
import { Attempt, type AttemptListener } from "./attempt.ts";
import { INITIAL_STATE, nextRequestState, type RequestEvent, type RequestState } from "./request-state-chart.ts";
import { ResponseRelay } from "./response-relay.ts";
import type { ResponseWriter } from "./response-writer.ts";
import { chooseServerView, decideAdmission, expectedStartDelayMs } from "./server-choice.ts";
import { ServerWait } from "./server-wait.ts";

/**
 * Time after the deadline for which the router still waits for an agent's more specific refusal. Callers must get a
 * response within 100 ms after the deadline.
 */
const DEADLINE_GRACE_MS = 40;
/** Maximum number of times that a request is moved to another server after a refusal or a failed connection. */
const MAX_MOVES = 8;
/** Maximum number of attempts that may have run without a response; the request itself may end its servers. */
const MAX_LOST_RUNS = 3;
/** Bytes of a refusal's body that are kept, besides the rest of the chunk that reaches the limit; later ones are dropped. */
const MAX_REFUSAL_BYTES = 64 * 1024;
/** Minimum remaining time for another attempt. */
const MIN_ATTEMPT_MS = 5;
/**
 * Interval at which the router checks again whether a hedge is due. With longer intervals, a server that has just
 * become slow is noticed too late.
 */
const HEDGE_CHECK_MS = 25;

/** The result of a request. */
export type RequestResult =
    | { readonly kind: "answered"; readonly head: ResponseHead; readonly body: Buffer | undefined; }
    | { readonly kind: "refused"; readonly execution: Execution; }
    /** The response was aborted after its head had been sent. */
    | { readonly kind: "broken"; }
    | { readonly kind: "disconnected"; readonly execution: Execution; };

/**
 * Processes one request: chooses servers, sends attempts and hedges, and relays the response. Only the first attempt
 * that returns a response other than a refusal is relayed; the others are cancelled.
 */
export class RequestTask implements AttemptListener {
    private readonly context: RouterContext;
    private readonly spec: RequestSpec;
    private readonly writer: ResponseWriter;
    private readonly onEnded: (result: RequestResult) => void;
    private readonly attempts = new Set<Attempt>();
    private readonly triedServerIds = new Set<ServerId>();
    private readonly refusalBodies = new Map<Attempt, ByteCollector>();
    private state: RequestState = INITIAL_STATE;
    /** The attempt whose response is relayed. */
    private sourceAttempt: Attempt | undefined;
    private relay: ResponseRelay | undefined;
    private lastRefusal: Refusal | undefined;
    private mayHaveRun = false;
    private moveCount = 0;
    private lostRunCount = 0;
    private deadlineTimer: NodeJS.Timeout | undefined;
    private hedgeTimer: NodeJS.Timeout | undefined;
    private serverWait: ServerWait | undefined;

    constructor(
        context: RouterContext,
        spec: RequestSpec,
        writer: ResponseWriter,
        onEnded: (result: RequestResult) => void,
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
        this.chooseServer();
    }

    private chooseServer(): void {
        const now = nowMs();
        const views = this.context.serverViews.forRequest(this.spec, now);
        const view = chooseServerView(this.context, this.spec, views, this.triedServerIds, now);
        if (view === undefined) return this.handleNoServer();
        const server = this.context.directory.get(view.serverId)!;
        const decision = decideAdmission(this.context, this.spec, view, now);
        if (!decision.admitted) {
            return this.refuse(this.lastRefusal ?? refusals.overloaded(decision.code, decision.retryAfterMs));
        }
        this.sendAttempt(server, view, "SEND");
    }

    private sendAttempt(server: ServerState, view: ServerView, event: "SEND" | "HEDGE"): void {
        const { context, spec } = this;
        const now = nowMs();
        const attempt = new Attempt({
            attemptId: context.createAttemptId(),
            server,
            sentAtMs: now,
            expectedFirstByteMs: spec.expectedFirstByteMs + expectedStartDelayMs(view, spec.expectedFirstByteMs),
            isWarm: view.loaded,
            isIdempotent: spec.isIdempotent,
            listener: this,
        });
        this.attempts.add(attempt);
        this.triedServerIds.add(server.serverId);
        this.applyEvent(event);
        const reason = event === "HEDGE" ? "hedge" : this.moveCount > 0 ? "moved" : "first";
        context.metrics.attempts.inc({ reason });
        const [peerKey = ""] = context.options.peerKeys();
        attempt.start(context.agentPools.getPool(server.host), spec, spec.deadlineAtMs - now, peerKey);
        if (event === "SEND" && spec.isIdempotent) this.scheduleHedge(attempt, view);
    }

    /** Schedules a hedge, due after the expected time at the earliest. The slower the server, the sooner it is sent. */
    private scheduleHedge(attempt: Attempt, view: ServerView): void {
        const highMs = this.spec.highFirstByteMs + expectedStartDelayMs(view, this.spec.expectedFirstByteMs);
        if (attempt.expectedFirstByteMs >= this.remainingMs()) return;
        clearTimeout(this.hedgeTimer);
        const { hedges, stragglers } = this.context.policies;
        const check = (): void => {
            if (this.state !== "sent" || !this.attempts.has(attempt)) return;
            const now = nowMs();
            this.recordWaitingTime(attempt);
            const slowness = stragglers.slowness(attempt.server.serverId, now);
            const hedgeDelayMs = hedges.hedgeDelayMs(attempt.expectedFirstByteMs, highMs, slowness);
            if (hedgeDelayMs === undefined) return;
            if (now - attempt.sentAtMs >= hedgeDelayMs) this.sendHedge(now);
            else this.hedgeTimer = setTimeout(check, Math.min(HEDGE_CHECK_MS, hedgeDelayMs - (now - attempt.sentAtMs)));
        };
        const initialHedgeDelayMs = hedges.hedgeDelayMs(attempt.expectedFirstByteMs, highMs, view.slowness);
        if (initialHedgeDelayMs !== undefined) {
            this.hedgeTimer = setTimeout(check, Math.min(attempt.expectedFirstByteMs, initialHedgeDelayMs));
        }
    }

    private sendHedge(now: number): void {
        const { policies, serverViews, directory } = this.context;
        // A server that would have to load the model first can't respond before the first attempt.
        const loaded = serverViews.forRequest(this.spec, now).filter(view =>
            view.loaded && !this.triedServerIds.has(view.serverId)
        );
        const view = chooseServerView(this.context, this.spec, loaded, this.triedServerIds, now, true);
        if (view === undefined || !policies.hedges.tryConsume(now)) return;
        this.sendAttempt(directory.get(view.serverId)!, view, "HEDGE");
    }

    onHead(attempt: Attempt, head: ResponseHead): void {
        this.applyLoadHeader(attempt, head);
        if (readExecution(head) !== undefined) {
            this.refusalBodies.set(attempt, new ByteCollector());
            return;
        }
        if (this.sourceAttempt !== undefined) return attempt.cancel();
        this.sourceAttempt = attempt;
        clearTimeout(this.hedgeTimer);
        for (const other of this.attempts) if (other !== attempt) this.cancel(other);
        this.applyEvent("HEAD");
        this.recordFirstByte(attempt);
        if (head.status === 200) this.recordServedModel(attempt);
        this.relay = new ResponseRelay({
            writer: this.writer,
            spec: this.spec,
            head,
            source: attempt,
            maxBufferedBytes: this.context.options.limits.maxBufferedResponseBytes,
        });
    }

    onData(attempt: Attempt, chunk: Buffer): void {
        if (attempt === this.sourceAttempt) this.relay?.push(chunk);
        else {
            const body = this.refusalBodies.get(attempt);
            if (body === undefined) this.onLateChunk();
            else if (body.byteCount < MAX_REFUSAL_BYTES) body.append(chunk);
        }
    }

    onEnd(attempt: Attempt): void {
        this.attempts.delete(attempt);
        if (attempt === this.sourceAttempt) return this.handleResponseEnd(attempt);
        const body = this.refusalBodies.get(attempt);
        const execution = attempt.head === undefined ? undefined : readExecution(attempt.head);
        if (attempt.head === undefined || body === undefined || execution === undefined) return;
        this.handleRefusal(attempt, readAgentRefusal(attempt.head, execution, body.toBuffer()));
    }

    onFailure(attempt: Attempt, error: Error): void {
        this.attempts.delete(attempt);
        this.logFailure(attempt, error);
        if (attempt === this.sourceAttempt && this.relay?.isUnsent === false) {
            return this.abort(refusals.streamBroken());
        }
        if (attempt === this.sourceAttempt) this.sourceAttempt = undefined;
        if (attempt.mayHaveBeenSent) {
            this.recordLostRun();
            this.lastRefusal = refusals.backendLost("unknown");
            return this.moveOrRefuse(this.lastRefusal, this.canRunAgain && this.tryTakeRetry());
        }
        if (isInvalidRequest(error)) return this.refuse(refusals.malformedRequest());
        this.context.directory.markUnreachable(attempt.server, nowMs());
        this.moveOrRefuse(refusals.noServer(), true);
    }

    onLateChunk(): void {
        this.context.metrics.lateChunks.inc();
    }

    private logFailure(attempt: Attempt, error: Error): void {
        const skippedCount = this.context.failureLogLimiter.admitEvent(nowMs());
        if (skippedCount === undefined) return;
        this.context.logger.warn({
            requestId: this.spec.requestId,
            step: attempt.mayHaveBeenSent ? "agent.answer" : "agent.connect",
            peer: attempt.server.serverId,
            skippedCount,
            err: error,
        }, "attempt failed");
    }

    private handleResponseEnd(attempt: Attempt): void {
        const isComplete = this.relay!.end();
        const head = attempt.head!;
        this.applyEvent(isComplete ? "END" : "FAIL");
        const { firstByteGroup, totalGroup } = this.spec;
        if (isComplete && totalGroup !== firstByteGroup && attempt.isWarm) {
            this.context.durationTracker.record(totalGroup, nowMs() - attempt.sentAtMs, nowMs());
        }
        if (isComplete) this.finish({ kind: "answered", head, body: this.relay!.outcomeBody() });
        else this.finish({ kind: "broken" });
    }

    private handleRefusal(attempt: Attempt, refusal: Refusal): void {
        const { directory } = this.context;
        if (refusal.code === "draining") directory.markDraining(attempt.server);
        if (refusal.execution === "unknown") {
            this.recordLostRun();
            return this.moveOrRefuse(refusal, this.canRunAgain && canMoveAfter(refusal) && this.tryTakeRetry());
        }
        this.lastRefusal = refusal;
        this.moveOrRefuse(refusal, canMoveAfter(refusal));
    }

    private moveOrRefuse(refusal: Refusal, isMoveAllowed: boolean): void {
        const canMoveAgain = this.moveCount < MAX_MOVES && this.remainingMs() > MIN_ATTEMPT_MS;
        if (this.attempts.size > 0) return this.applyEvent("LOST");
        if (!isMoveAllowed || !canMoveAgain) return this.refuse(refusal);
        this.moveCount += 1;
        this.applyEvent("LOST");
        this.applyEvent("CHOOSE");
        this.chooseServer();
    }

    /**
     * Handles the lack of a server. An overload refusal is returned at once, since waiting requests would add to the
     * overload; other causes may end within seconds, so the request waits.
     */
    private handleNoServer(): void {
        if (this.lastRefusal?.type === "overloaded_error") return this.refuse(this.lastRefusal);
        this.triedServerIds.clear();
        this.serverWait ??= new ServerWait(
            this.context.directory,
            nowMs() + this.context.options.limits.serverWaitMs,
            () => {
                this.moveCount = 0;
                if (this.state === "choosing") this.chooseServer();
            },
            () => this.state === "choosing" && this.refuse(this.lastRefusal ?? refusals.noServer()),
        );
        this.serverWait.start();
    }

    private onDeadline(): void {
        if (this.hasEnded()) return this.writer.destroy();
        const lateMs = nowMs() - this.spec.deadlineAtMs;
        const mayStillRespond = this.attempts.size > 0 && !this.writer.hasSentHead;
        if (mayStillRespond && lateMs < DEADLINE_GRACE_MS) {
            this.deadlineTimer = setTimeout(() => this.onDeadline(), DEADLINE_GRACE_MS - lateMs);
            return;
        }
        if (this.writer.hasSentHead) this.abort(refusals.deadlineExceeded("unknown"));
        else this.refuse(this.attempts.size === 0 && this.lastRefusal || refusals.deadlineExceeded("not_run"));
    }

    private onCallerClosed(): void {
        clearTimeout(this.deadlineTimer);
        if (this.hasEnded()) return;
        // A non-idempotent request continues, so that its outcome becomes known and can be stored under its key.
        if (!this.spec.isIdempotent && this.attempts.size > 0) {
            this.sourceAttempt?.resume();
            this.deadlineTimer = setTimeout(() => this.onDeadline(), Math.max(0, this.remainingMs()));
            return;
        }
        this.cancelAttempts();
        this.applyEvent("FAIL");
        this.finish({ kind: "disconnected", execution: this.currentExecution() });
    }

    private refuse(refusal: Refusal): void {
        this.cancelAttempts();
        this.applyEvent("FAIL");
        const execution = this.mayHaveRun ? "unknown" : refusal.execution;
        this.writer.refuse({ ...refusal, execution });
        this.finish({ kind: "refused", execution });
    }

    private abort(refusal: Refusal): void {
        this.cancelAttempts();
        this.applyEvent("FAIL");
        this.writer.endWithError(refusal);
        this.finish({ kind: "broken" });
    }

    private finish(result: RequestResult): void {
        clearTimeout(this.hedgeTimer);
        this.serverWait?.stop();
        if (this.writer.isClosed) clearTimeout(this.deadlineTimer);
        this.onEnded(result);
    }

    private cancelAttempts(): void {
        for (const attempt of this.attempts) this.cancel(attempt);
    }

    private cancel(attempt: Attempt): void {
        this.attempts.delete(attempt);
        const wasNotRun = attempt.head !== undefined && readExecution(attempt.head) === "not_run";
        if (attempt.mayHaveBeenSent && !wasNotRun) this.mayHaveRun = true;
        this.recordWaitingTime(attempt);
        attempt.cancel();
    }

    /** Records the time without a response, which is a lower bound of the server's slowness. */
    private recordWaitingTime(attempt: Attempt): void {
        if (!attempt.isWarm || attempt.head !== undefined) return;
        const now = nowMs();
        const { serverId } = attempt.server;
        this.context.policies.stragglers.recordWaiting(
            serverId,
            now - attempt.sentAtMs,
            attempt.expectedFirstByteMs,
            now,
        );
    }

    private applyEvent(event: RequestEvent): void {
        const next = nextRequestState(this.state, event);
        if (next === undefined) {
            this.context.metrics.chartFaults.inc();
            this.context.logger.error(
                { requestId: this.spec.requestId, step: "request.transition", peer: "local", state: this.state, event },
                "event is not allowed in the current state of the request state chart",
            );
            return;
        }
        this.state = next;
    }

    private hasEnded(): boolean {
        return this.state === "done" || this.state === "failed";
    }

    private currentExecution(): Execution {
        return this.mayHaveRun ? "unknown" : "not_run";
    }

    private recordLostRun(): void {
        this.mayHaveRun = true;
        this.lostRunCount += 1;
    }

    private get canRunAgain(): boolean {
        return this.spec.isIdempotent && this.lostRunCount < MAX_LOST_RUNS;
    }

    private tryTakeRetry(): boolean {
        return this.context.policies.retries.tryConsume(nowMs());
    }

    private remainingMs(): number {
        return this.spec.deadlineAtMs - nowMs();
    }

    private applyLoadHeader(attempt: Attempt, head: ResponseHead): void {
        const header = head.headers[HEADERS.load];
        const now = nowMs();
        const report = typeof header === "string" ? parseLoadHeader(header, now) : undefined;
        if (report !== undefined) this.context.directory.applyReport(attempt.server, report, now);
    }

    private recordFirstByte(attempt: Attempt): void {
        if (!attempt.isWarm) return;
        const { policies, durationTracker } = this.context;
        const now = nowMs();
        const waitedMs = now - attempt.sentAtMs;
        policies.stragglers.record(attempt.server.serverId, waitedMs, attempt.expectedFirstByteMs, now);
        durationTracker.record(this.spec.firstByteGroup, waitedMs, now);
    }

    private recordServedModel(attempt: Attempt): void {
        const { modelId, adapterId } = this.spec.target;
        if (modelId === undefined) return;
        this.context.directory.recordLoadedModel(attempt.server, modelId, adapterId, nowMs());
        this.context.policies.affinity.record(
            attempt.server.serverId,
            modelId,
            adapterId,
            this.spec.promptPrefix,
            nowMs(),
        );
    }
}

/** undici rejected the request before sending it, for example for a control character in a header value. */
function isInvalidRequest(error: Error): boolean {
    return (error as NodeJS.ErrnoException).code === "UND_ERR_INVALID_ARG";
}

/** Another server may accept the request. Errors of the request itself (4xx except 429) would recur at any server. */
function canMoveAfter(refusal: Refusal): boolean {
    return refusal.status === 429 || refusal.status >= 500;
}
