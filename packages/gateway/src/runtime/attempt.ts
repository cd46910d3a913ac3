import type { AnswerHead, AnswerListener, EngineCall, EngineClient, EngineExchange } from "../types/engine.ts";
import { nowMs } from "../utils/clock.ts";
import { EventSplitter, type StreamEvent } from "./event-splitter.ts";
import type { ServerState } from "./server-state.ts";

/** Longest answer that is kept whole; a longer one counts as spoiled. */
const MAX_KEPT_BYTES = 16 * 1024 * 1024;

/** How an attempt went, for the request that owns it. */
export interface AttemptOwner {
    /** One complete event of a signed stream. */
    onEvent(attempt: Attempt, event: StreamEvent): void;
    /** A signed stream ended behind a complete event. */
    onStreamEnd(attempt: Attempt): void;
    /** A complete answer that is no stream. */
    onAnswer(attempt: Attempt, head: AnswerHead, body: Buffer): void;
    /** The server states that it did not run the request. */
    onNotRun(attempt: Attempt, head: AnswerHead): void;
    /** Nothing arrived for the time watched; the attempt goes on unless the owner gives it up. */
    onSilent(attempt: Attempt): void;
    /** The attempt brought no usable answer; `wasSent` says whether it may have run. */
    onLost(attempt: Attempt, cause: string, wasSent: boolean): void;
}

/** One attempt of a request at one backend server. */
export class Attempt implements AnswerListener {
    readonly server: ServerState;
    readonly call: EngineCall;
    head: AnswerHead | undefined;
    eventCount = 0;
    private readonly owner: AttemptOwner;
    private readonly isStream: boolean;
    private readonly splitter = new EventSplitter();
    private readonly chunks: Buffer[] = [];
    private keptByteCount = 0;
    private exchange: EngineExchange | undefined;
    private isOver = false;
    private silenceTimer: NodeJS.Timeout | undefined;

    constructor(server: ServerState, call: EngineCall, isStream: boolean, owner: AttemptOwner) {
        this.server = server;
        this.call = call;
        this.isStream = isStream;
        this.owner = owner;
    }

    start(engines: EngineClient): void {
        const { modelId, adapterId } = this.call.request;
        this.server.begin(modelId, adapterId);
        const exchange = engines.send(this.call, this);
        if (this.isOver) exchange.cancel();
        else this.exchange = exchange;
    }

    /** Tells the owner when nothing arrives for `limitMs`. */
    watchSilence(limitMs: number): void {
        clearTimeout(this.silenceTimer);
        if (this.isOver) return;
        this.silenceTimer = setTimeout(() => this.owner.onSilent(this), limitMs);
    }

    /** Gives a silent attempt up; it may have run. */
    giveUp(): void {
        this.lose("silent", true);
    }

    cancel(): void {
        if (this.finish()) this.exchange?.cancel();
    }

    pause(): void {
        this.exchange?.pause();
    }

    resume(): void {
        this.exchange?.resume();
    }

    onHead(head: AnswerHead): void {
        if (this.isOver) return;
        this.head = head;
        const now = nowMs();
        this.server.lastByteAtMs = now;
        this.server.recordReachable();
        if (head.load !== undefined) this.server.recordLoad(head.load, now);
        if (!head.isGenuine && !head.notRun) this.lose("unsigned answer", true);
    }

    onData(chunk: Buffer): void {
        if (this.isOver) return;
        this.server.lastByteAtMs = nowMs();
        if (this.streams) return this.pushEvents(chunk);
        this.keptByteCount += chunk.length;
        if (this.keptByteCount > MAX_KEPT_BYTES) return this.lose("answer too long", true);
        this.chunks.push(chunk);
    }

    onEnd(): void {
        if (this.isOver) return;
        if (this.head === undefined) return this.lose("no head", true);
        if (this.streams && (this.eventCount === 0 || this.splitter.pendingByteCount > 0)) {
            return this.lose("stream cut", true);
        }
        this.finish();
        if (this.head.notRun) return this.owner.onNotRun(this, this.head);
        this.server.recordOutcome(this.head.status < 500);
        if (this.streams) this.owner.onStreamEnd(this);
        else this.owner.onAnswer(this, this.head, Buffer.concat(this.chunks));
    }

    onFailure(error: Error, wasSent: boolean): void {
        this.lose(error.message, wasSent);
    }

    private get streams(): boolean {
        return this.isStream && this.head !== undefined && this.head.status < 300;
    }

    private pushEvents(chunk: Buffer): void {
        for (const event of this.splitter.push(chunk)) {
            this.eventCount += 1;
            this.owner.onEvent(this, event);
            if (this.isOver) return;
        }
    }

    private lose(cause: string, wasSent: boolean): void {
        if (!this.finish()) return;
        this.exchange?.cancel();
        if (wasSent) this.server.recordOutcome(false);
        else this.server.recordUnreachable(nowMs());
        this.owner.onLost(this, cause, wasSent);
    }

    private finish(): boolean {
        if (this.isOver) return false;
        this.isOver = true;
        clearTimeout(this.silenceTimer);
        const { modelId, adapterId } = this.call.request;
        this.server.end(modelId, adapterId);
        return true;
    }
}
