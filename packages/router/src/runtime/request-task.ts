import type { ServerView } from "@skylarkmill/policy";
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
import { admit, chooseView, waitOf } from "./choice.ts";
import { ServerWait } from "./server-wait.ts";

/** Time after the deadline in which an agent's refusal is still awaited; part of the 100 ms allowed for responding. */
const DEADLINE_GRACE_MS = 40;
/** Maximum number of times that a request is moved to another server after a refusal or a failed connection. */
const MAX_MOVES = 8;
/** Minimum remaining time for another attempt. */
const MIN_ATTEMPT_MS = 5;
/**
 * Interval at which the slowness of an overdue attempt's server is checked. Longer intervals missed servers that had
 * just become slow.
 */
const HEDGE_CHECK_MS = 25;

/** The result of a request. */
export type RequestEnd =
    | { readonly kind: "answered"; readonly head: AnswerHead; readonly body: Buffer | undefined; }
    | { readonly kind: "refused"; readonly execution: Execution; }
    /** The response was aborted after its head had been sent. */
    | { readonly kind: "broken"; }
    | { readonly kind: "disconnected"; readonly execution: Execution; };

/**
 * Processes one request: chooses servers, sends attempts and hedges, and relays the response. Only the first attempt
 * that returns a response other than a refusal is relayed; the others are cancelled.
 */
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
        const view = chooseView(this.context, this.spec, views, this.tried, now);
        if (view === undefined) return this.onNoServer();
        const server = this.context.directory.get(view.serverId)!;
        const decision = admit(this.context, this.spec, view, now);
        if (!decision.admitted) {
            return this.refuse(this.lastRefusal ?? refusals.overloaded(decision.code, decision.retryAfterMs));
        }
        this.send(server, view, "SEND");
    }

    private send(server: ServerState, view: ServerView, event: "SEND" | "HEDGE"): void {
        const { context, spec } = this;
        const now = nowMs();
        const attempt = new Attempt({
            attemptId: context.newAttemptId(),
            server,
            sentAtMs: now,
            expectedMs: spec.expectedMs + waitOf(view, spec.expectedMs),
            isWarm: view.loaded,
            isIdempotent: spec.idempotent,
            owner: this,
        });
        this.attempts.add(attempt);
        this.tried.add(server.serverId);
        this.step(event);
        const reason = event === "HEDGE" ? "hedge" : this.moveCount > 0 ? "moved" : "first";
        context.metrics.attempts.inc({ reason });
        const [peerKey = ""] = context.options.peerKeys();
        attempt.start(context.pools.poolOf(server.host), spec, spec.deadlineAtMs - now, peerKey);
        if (event === "SEND" && spec.idempotent) this.armHedge(attempt, view);
    }

    /** Schedules a hedge, due after the expected time at the earliest. The slower the server, the sooner it is sent. */
    private armHedge(attempt: Attempt, view: ServerView): void {
        const highMs = this.spec.highMs + waitOf(view, this.spec.expectedMs);
        if (attempt.expectedMs >= this.remainingMs()) return;
        clearTimeout(this.hedgeTimer);
        const { hedges, stragglers } = this.context.policies;
        const check = (): void => {
            if (this.state !== "sent" || !this.attempts.has(attempt)) return;
            const now = nowMs();
            this.recordWaiting(attempt);
            const slowness = stragglers.slowness(attempt.server.serverId, now);
            const afterMs = hedges.hedgeAfterMs(attempt.expectedMs, highMs, slowness);
            if (afterMs === undefined) return;
            if (now - attempt.sentAtMs >= afterMs) this.hedge(now);
            else this.hedgeTimer = setTimeout(check, Math.min(HEDGE_CHECK_MS, afterMs - (now - attempt.sentAtMs)));
        };
        const firstMs = hedges.hedgeAfterMs(attempt.expectedMs, highMs, view.slowness);
        if (firstMs !== undefined) this.hedgeTimer = setTimeout(check, Math.min(attempt.expectedMs, firstMs));
    }

    private hedge(now: number): void {
        const { policies, views, directory } = this.context;
        // A server that would have to load the model first can't respond before the first attempt.
        const loaded = views.forRequest(this.spec, now).filter(view => view.loaded && !this.tried.has(view.serverId));
        const view = chooseView(this.context, this.spec, loaded, this.tried, now, true);
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
        if (head.status === 200) this.rememberModel(attempt);
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
        this.logFailure(attempt, error);
        if (attempt === this.owner && this.relay?.isHeld === false) return this.breakOff(refusals.streamBroken());
        if (attempt === this.owner) this.owner = undefined;
        if (attempt.wasSent) {
            this.mayHaveRun = true;
            this.lastRefusal = refusals.backendLost("unknown");
            return this.moveOrFail(this.lastRefusal, this.spec.idempotent && this.takeRetry());
        }
        if (isInvalidRequest(error)) return this.refuse(refusals.malformed());
        this.context.directory.markUnreachable(attempt.server, nowMs());
        this.moveOrFail(refusals.noServer(), true);
    }

    onLateChunk(): void {
        this.context.metrics.lateChunks.inc();
    }

    private logFailure(attempt: Attempt, error: Error): void {
        const skippedCount = this.context.failureLog.take(nowMs());
        if (skippedCount === undefined) return;
        this.context.logger.warn({
            requestId: this.spec.requestId,
            step: attempt.wasSent ? "agent.answer" : "agent.connect",
            peer: attempt.server.serverId,
            skippedCount,
            err: error,
        }, "attempt failed");
    }

    private onAnswerEnd(attempt: Attempt): void {
        const complete = this.relay!.end();
        const head = attempt.head!;
        this.step(complete ? "END" : "FAIL");
        const { group, totalGroup } = this.spec;
        if (complete && totalGroup !== group && attempt.isWarm) {
            this.context.durations.record(totalGroup, nowMs() - attempt.sentAtMs, nowMs());
        }
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

    /**
     * Handles the lack of a server. An overload refusal is returned at once, since waiting requests would add to the
     * overload; other causes may end within seconds, so the request waits.
     */
    private onNoServer(): void {
        if (this.lastRefusal?.type === "overloaded_error") return this.refuse(this.lastRefusal);
        this.tried.clear();
        this.wait ??= new ServerWait(
            this.context.directory,
            nowMs() + this.context.options.limits.serverWaitMs,
            () => {
                this.moveCount = 0;
                if (this.state === "choosing") this.choose();
            },
            () => this.state === "choosing" && this.refuse(this.lastRefusal ?? refusals.noServer()),
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
        // A non-idempotent request continues, so that its outcome becomes known and can be stored under its key.
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
        const saidNotRun = attempt.head !== undefined && executionOf(attempt.head) === "not_run";
        if (attempt.wasSent && !saidNotRun) this.mayHaveRun = true;
        this.recordWaiting(attempt);
        attempt.cancel();
    }

    /** Records the time without a response, which is a lower bound of the server's slowness. */
    private recordWaiting(attempt: Attempt): void {
        if (!attempt.isWarm || attempt.head !== undefined) return;
        const now = nowMs();
        const { serverId } = attempt.server;
        this.context.policies.stragglers.recordWaiting(serverId, now - attempt.sentAtMs, attempt.expectedMs, now);
    }

    private step(event: AttemptEvent): void {
        const next = nextAttemptState(this.state, event);
        if (next === undefined) {
            this.context.metrics.chartFaults.inc();
            this.context.logger.error(
                { requestId: this.spec.requestId, step: "request.transition", peer: "local", state: this.state, event },
                "event is not allowed in the current state of the attempt state chart",
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
        const now = nowMs();
        const report = typeof header === "string" ? parseLoadHeader(header, now) : undefined;
        if (report !== undefined) this.context.directory.applyReport(attempt.server, report, now);
    }

    private recordFirstByte(attempt: Attempt): void {
        if (!attempt.isWarm) return;
        const { policies, durations } = this.context;
        const now = nowMs();
        const waitedMs = now - attempt.sentAtMs;
        policies.stragglers.record(attempt.server.serverId, waitedMs, attempt.expectedMs, now);
        durations.record(this.spec.group, waitedMs, now);
    }

    private rememberModel(attempt: Attempt): void {
        const { modelId, adapterId } = this.spec.target;
        if (modelId === undefined) return;
        this.context.directory.noteAnswered(attempt.server, modelId, adapterId, nowMs());
        this.context.policies.affinity.record(
            attempt.server.serverId,
            modelId,
            adapterId,
            this.spec.prompt,
            nowMs(),
        );
    }
}

/** undici rejected the request before sending it, for example for a control character in a header value. */
function isInvalidRequest(error: Error): boolean {
    return (error as NodeJS.ErrnoException).code === "UND_ERR_INVALID_ARG";
}

/** Another server may accept the request. Errors of the request itself (4xx except 429) would recur at any server. */
function isMovable(refusal: Refusal): boolean {
    return refusal.status === 429 || refusal.status >= 500;
}
