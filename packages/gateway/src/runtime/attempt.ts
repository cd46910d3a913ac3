import { ByteCollector, nowMs } from "@skylarkmill/coordination";
import type { EngineCall, EngineClient, EngineExchange, ResponseHead, ResponseListener } from "../types/engine.ts";
import { type ByteBudget, MAX_SMALL_BODY_BYTES, type RoomWait } from "./byte-budget.ts";
import type { CrashSuspects } from "./crash-suspects.ts";
import { EventSplitter, type StreamEvent } from "./event-splitter.ts";
import type { ServerState } from "./server-state.ts";
import { isUnmarkedRefusal, judgeHead } from "./stages/head-verdict.ts";

/** Largest response that is buffered; an attempt with a larger one fails. */
const MAX_BUFFERED_BYTES = 16 * 1024 * 1024;

/** Receives the progress and the outcome of an attempt. */
export interface AttemptListener {
    /** Called with the complete events that arrived together of a stream whose head is usable, see `HeadVerdict`. */
    onEvents(attempt: Attempt, events: readonly StreamEvent[]): void;
    /** Called when such a stream ended after a complete event. */
    onStreamEnd(attempt: Attempt): void;
    /** Called with a complete response that is not a stream. */
    onResponse(attempt: Attempt, head: ResponseHead, body: readonly Buffer[]): void;
    /** Called when the server states that it did not run the request. */
    onNotRun(attempt: Attempt, head: ResponseHead): void;
    /** Called when the response to a request that may run once would tell its caller, without cause, that it has not run. */
    onUnmarkedRefusal(attempt: Attempt): void;
    /** Called when the response waits until there is memory for it; the request needn't be kept for another attempt. */
    onRoomWait(attempt: Attempt): void;
    /** Called when nothing arrived within the timeout; the attempt continues unless the listener abandons it. */
    onSilence(attempt: Attempt): void;
    /** Called when there is no usable response; `wasSent`: the backend server may have run the request. */
    onFailed(attempt: Attempt, cause: string, wasSent: boolean): void;
}

/** What the route of a request states about its attempts. */
export interface AttemptKind {
    readonly isStream: boolean;
    /** Whether the request may run more than once. */
    readonly isRetryable: boolean;
}

/** Sends a request once to one backend server and checks the response. */
export class Attempt implements ResponseListener {
    readonly server: ServerState;
    readonly call: EngineCall;
    head: ResponseHead | undefined;
    eventCount = 0;
    private readonly listener: AttemptListener;
    private readonly kind: AttemptKind;
    private readonly buffers: ByteBudget;
    private readonly crashSuspects: CrashSuspects;
    private startedAtMs = 0;
    private isUnanswered = false;
    private readonly splitter = new EventSplitter();
    private readonly body = new ByteCollector();
    private reservedByteCount = 0;
    /** Wait of a response that isn't read until there is memory for all of it. */
    private roomWait: RoomWait | undefined;
    private exchange: EngineExchange | undefined;
    private isFinished = false;
    private silenceTimer: NodeJS.Timeout | undefined;
    private silenceTimeoutMs: number | undefined;
    /** Whether the response isn't read since its caller hasn't read what it was sent. */
    private isPaused = false;

    constructor(
        server: ServerState,
        call: EngineCall,
        kind: AttemptKind,
        buffers: ByteBudget,
        crashSuspects: CrashSuspects,
        listener: AttemptListener,
    ) {
        this.server = server;
        this.call = call;
        this.kind = kind;
        this.buffers = buffers;
        this.crashSuspects = crashSuspects;
        this.listener = listener;
    }

    start(engineClient: EngineClient): void {
        const { modelId, adapterId } = this.call.request;
        this.server.beginAttempt(modelId, adapterId);
        this.startedAtMs = nowMs();
        this.isUnanswered = true;
        this.crashSuspects.beginAttempt(this.call.request.sharedPromptParts);
        const exchange = engineClient.sendRequest(this.call, this);
        if (this.isFinished) exchange.cancel();
        else this.exchange = exchange;
    }

    /** Restarts the silence timer, which calls the listener after `timeoutMs`. */
    restartSilenceTimer(timeoutMs: number): void {
        clearTimeout(this.silenceTimer);
        if (this.isFinished) return;
        this.silenceTimeoutMs = timeoutMs;
        this.silenceTimer = setTimeout(() => this.onQuiet(timeoutMs), timeoutMs);
    }

    /** While the response isn't read, nothing is known of what its server has sent. */
    private onQuiet(timeoutMs: number): void {
        const isHeld = this.exchange?.isHeld === true
            || nowMs() - (this.exchange?.releasedAtMs ?? -Infinity) < timeoutMs;
        const isRead = !this.isPaused && this.roomWait === undefined && !isHeld;
        if (!isRead) this.restartSilenceTimer(timeoutMs);
        else this.listener.onSilence(this);
    }

    /** Ends an attempt that received no data; the backend server may have run the request. */
    abandon(): void {
        this.fail("silent", true);
    }

    cancel(): void {
        if (this.finish()) this.exchange?.cancel();
    }

    pause(): void {
        this.isPaused = true;
        this.exchange?.pause();
    }

    resume(): void {
        this.isPaused = false;
        this.onReadAgain();
        this.exchange?.resume();
    }

    /** The server has the whole time again, since what it sent meanwhile comes only now. */
    private onReadAgain(): void {
        if (this.silenceTimeoutMs !== undefined) this.restartSilenceTimer(this.silenceTimeoutMs);
    }

    onHead(head: ResponseHead): void {
        if (this.isFinished) return;
        this.head = head;
        const now = nowMs();
        this.server.lastByteAtMs = now;
        this.server.recordReachable();
        if (head.load !== undefined) this.server.recordReportedLoad(head.load, now);
        this.server.placeLimit.recordResponse(head.load, this.server.inFlightCount, now);
        // The head alone decides here; a faulty server may send a body without end.
        const verdict = judgeHead(head, this.kind.isRetryable);
        if (verdict === "unusable") return this.fail("response unsigned or of another request", true);
        if (verdict === "not_run") return this.finishNotRun(head);
        if (verdict === "unmarked_refusal") return this.finishUnmarkedRefusal();
        // What can't be kept is not read at all, since its memory would stay occupied until it is collected.
        const hasBody = this.call.request.method !== "HEAD" && head.status !== 304;
        if (!hasBody || this.isStreaming || this.tryReserveStated(head.statedByteCount)) return;
        // The request of an error may be repeated at once.
        const canWait = head.status < 500 && this.tryWaitForRoom(head.statedByteCount);
        if (!canWait) this.fail("response too large", true);
    }

    /** Lets a response of a stated length wait until it can be kept, since it has run; returns false if it never can. */
    private tryWaitForRoom(byteCount: number): boolean {
        const { exchange } = this;
        if (byteCount > MAX_BUFFERED_BYTES || exchange === undefined) return false;
        this.roomWait = this.buffers.waitForRoom(byteCount, () => {
            this.roomWait = undefined;
            this.reservedByteCount = byteCount;
            this.onReadAgain();
            exchange.resume();
        });
        if (this.roomWait === undefined) return false;
        exchange.pause();
        this.listener.onRoomWait(this);
        return true;
    }

    private finishNotRun(head: ResponseHead): void {
        this.finish();
        this.exchange?.cancel();
        this.listener.onNotRun(this, head);
    }

    private finishUnmarkedRefusal(): void {
        this.finish();
        this.exchange?.cancel();
        this.server.recordOutcome(false);
        this.listener.onUnmarkedRefusal(this);
    }

    onData(chunk: Buffer): void {
        if (this.isFinished) return;
        this.server.lastByteAtMs = nowMs();
        if (this.isStreaming) return this.pushEvents(chunk);
        if (!this.tryExtendTo(this.body.byteCount + chunk.length)) return this.fail("response too large", true);
        this.body.append(chunk);
    }

    /** Reserves memory for a stated length; returns false if there is no room, or others wait for it already. */
    private tryReserveStated(byteCount: number): boolean {
        if (byteCount <= MAX_SMALL_BODY_BYTES) return true;
        if (byteCount > MAX_BUFFERED_BYTES || !this.buffers.tryReserve(byteCount)) return false;
        this.reservedByteCount = byteCount;
        return true;
    }

    /** Reserves memory for `byteCount` bytes of the response in all; returns false if there is no room. */
    private tryExtendTo(byteCount: number): boolean {
        if (byteCount <= Math.max(MAX_SMALL_BODY_BYTES, this.reservedByteCount)) return true;
        if (byteCount > MAX_BUFFERED_BYTES) return false;
        if (!this.buffers.tryExtend(byteCount - this.reservedByteCount)) return false;
        this.reservedByteCount = byteCount;
        return true;
    }

    onEnd(): void {
        if (this.isFinished) return;
        if (this.head === undefined) return this.fail("response without a head", true);
        if (this.isStreaming && (this.eventCount === 0 || this.splitter.pendingByteCount > 0)) {
            this.recordEngineEnd();
            return this.fail("incomplete stream", true);
        }
        if (this.head.status < 300) this.recordAnswer();
        const body = this.body.toParts();
        this.finish();
        this.server.recordOutcome(this.head.status < 500 && !isUnmarkedRefusal(this.head));
        if (this.isStreaming) this.listener.onStreamEnd(this);
        else this.listener.onResponse(this, this.head, body);
    }

    onFailure(error: Error, wasSent: boolean): void {
        if (wasSent) this.recordEngineEnd();
        this.fail(error.message, wasSent);
    }

    /** Whether the response is relayed event by event; error responses are buffered. */
    private get isStreaming(): boolean {
        return this.kind.isStream && this.head !== undefined && this.head.status < 300;
    }

    private pushEvents(chunk: Buffer): void {
        const events = this.splitter.push(chunk);
        if (events.length > 0) {
            this.exchange?.countPieces(events.length);
            this.eventCount += events.length;
            this.recordAnswer();
            this.listener.onEvents(this, events);
        }
        if (!this.isFinished && this.splitter.isEventTooLong) this.fail("event too long", true);
    }

    /** The engine began an answer, so the request does not end engines. */
    private recordAnswer(): void {
        if (!this.isUnanswered) return;
        this.endUnanswered();
        this.crashSuspects.recordAnswer(this.call.request.sharedPromptParts);
    }

    /** The connection broke before an answer, so the engine may have ended because of the request. */
    private recordEngineEnd(): void {
        const { request, server, lastEventId } = this.call;
        // A stream that is resumed here began at another engine, which did not end before the first event.
        const isResumed = lastEventId !== request.lastEventId;
        if (this.isFinished || !this.isUnanswered || isResumed) return;
        this.crashSuspects.recordEngineEnd(server.serverId, server.bornAtMs, request.sharedPromptParts);
    }

    private endUnanswered(): void {
        if (!this.isUnanswered) return;
        this.isUnanswered = false;
        this.crashSuspects.endAttempt(this.call.request.sharedPromptParts);
    }

    private fail(cause: string, wasSent: boolean): void {
        if (!this.finish()) return;
        this.exchange?.cancel();
        if (wasSent) this.server.recordOutcome(false);
        else this.server.recordUnreachable(nowMs());
        this.listener.onFailed(this, cause, wasSent);
    }

    private finish(): boolean {
        if (this.isFinished) return false;
        this.isFinished = true;
        this.endUnanswered();
        clearTimeout(this.silenceTimer);
        this.roomWait?.cancel();
        this.roomWait = undefined;
        this.buffers.release(this.reservedByteCount);
        // The listener may keep the attempt until the caller's connection has closed.
        this.body.clear();
        const { modelId, adapterId } = this.call.request;
        this.server.endAttempt(modelId, adapterId);
        const now = nowMs();
        this.server.placeLimit.recordEnd(now - this.startedAtMs, now);
        return true;
    }
}

/** Passes an exception that a listener's method throws to `onError`, instead of to the socket that called it. */
export function guardListener(listener: AttemptListener, onError: (error: unknown) => void): AttemptListener {
    const guard = <A extends unknown[]>(call: (...args: A) => void) => (...args: A): void => {
        try {
            call(...args);
        }
        catch (error) {
            onError(error);
        }
    };
    return {
        onEvents: guard((attempt, events) => listener.onEvents(attempt, events)),
        onStreamEnd: guard(attempt => listener.onStreamEnd(attempt)),
        onResponse: guard((attempt, head, body) => listener.onResponse(attempt, head, body)),
        onNotRun: guard((attempt, head) => listener.onNotRun(attempt, head)),
        onUnmarkedRefusal: guard(attempt => listener.onUnmarkedRefusal(attempt)),
        onRoomWait: guard(attempt => listener.onRoomWait(attempt)),
        onSilence: guard(attempt => listener.onSilence(attempt)),
        onFailed: guard((attempt, cause, wasSent) => listener.onFailed(attempt, cause, wasSent)),
    };
}
