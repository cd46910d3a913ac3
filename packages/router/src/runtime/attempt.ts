import { type AttemptId, HEADERS } from "@skylarkmill/protocol";
import type { Dispatcher, Pool } from "undici";
import type { AnswerHead, RequestSpec } from "../types/request.ts";
import type { ServerState } from "../types/server.ts";

/** Receives the events of an attempt. */
export interface AttemptOwner {
    onHead(attempt: Attempt, head: AnswerHead): void;
    onData(attempt: Attempt, chunk: Buffer): void;
    onEnd(attempt: Attempt): void;
    /** The attempt failed; `attempt.wasSent` shows whether the agent may have received a part of the request. */
    onLost(attempt: Attempt, error: Error): void;
    /** A chunk arrived after the attempt was cancelled. */
    onLateChunk(): void;
}

export interface AttemptOptions {
    readonly attemptId: AttemptId;
    readonly server: ServerState;
    readonly sentAtMs: number;
    readonly expectedMs: number;
    readonly isWarm: boolean;
    readonly isIdempotent: boolean;
    readonly owner: AttemptOwner;
}

export class CancelledError extends Error {}

/** Sends a request to one agent and receives the response. */
export class Attempt implements Dispatcher.DispatchHandler {
    readonly attemptId: AttemptId;
    readonly server: ServerState;
    readonly sentAtMs: number;
    /** Expected time to the first byte at this server. */
    readonly expectedMs: number;
    /** The model was known to be loaded at the server, so the time to the first byte is a measure of its speed. */
    readonly isWarm: boolean;
    readonly isIdempotent: boolean;
    /** A part of the request may have been sent to the agent. */
    wasSent = false;
    head: AnswerHead | undefined;
    private readonly owner: AttemptOwner;
    private controller: Dispatcher.DispatchController | undefined;
    private ended = false;
    private cancelled = false;

    constructor(options: AttemptOptions) {
        this.attemptId = options.attemptId;
        this.server = options.server;
        this.sentAtMs = options.sentAtMs;
        this.expectedMs = options.expectedMs;
        this.isWarm = options.isWarm;
        this.isIdempotent = options.isIdempotent;
        this.owner = options.owner;
    }

    /** Sends the request; `peerKey` authenticates the router to the agent. */
    start(pool: Pool, spec: RequestSpec, remainingMs: number, peerKey: string): void {
        this.server.outstandingCount += 1;
        this.server.usedAtMs = this.sentAtMs;
        this.server.waiting.add(this);
        pool.dispatch({
            method: spec.method,
            path: spec.path,
            headers: toAgentHeaders(spec, this.attemptId, remainingMs, peerKey),
            body: spec.body,
        }, this);
    }

    /** Cancels the attempt; data that still arrives is dropped. */
    cancel(): void {
        if (this.ended || this.cancelled) return;
        this.cancelled = true;
        this.controller?.abort(new CancelledError("cancelled"));
        this.finish();
    }

    /** Cancels an attempt whose server has stopped responding, and reports it as failed like a broken connection. */
    abandon(error: Error): void {
        if (this.ended || this.cancelled) return;
        this.cancel();
        this.owner.onLost(this, error);
    }

    pause(): void {
        this.controller?.pause();
    }

    resume(): void {
        if (!this.cancelled) this.controller?.resume();
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        this.controller = controller;
        if (this.cancelled) controller.abort(new CancelledError("cancelled"));
        else this.wasSent = true;
    }

    onResponseStart(
        _controller: Dispatcher.DispatchController,
        status: number,
        headers: Record<string, string | string[] | undefined>,
    ): void {
        if (this.cancelled || status < 200) return;
        this.head = { status, headers };
        this.server.waiting.delete(this);
        this.owner.onHead(this, this.head);
    }

    onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
        if (this.cancelled) this.owner.onLateChunk();
        else this.owner.onData(this, chunk);
    }

    onResponseEnd(): void {
        if (this.cancelled) return;
        this.finish();
        this.owner.onEnd(this);
    }

    onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
        if (this.cancelled || this.ended) return;
        this.finish();
        this.owner.onLost(this, error);
    }

    private finish(): void {
        if (this.ended) return;
        this.ended = true;
        this.server.waiting.delete(this);
        this.server.outstandingCount -= 1;
    }
}

function toAgentHeaders(spec: RequestSpec, attemptId: AttemptId, remainingMs: number, peerKey: string): string[] {
    const { target } = spec;
    const headers = [
        ...spec.headers,
        HEADERS.peerKey,
        peerKey,
        HEADERS.requestId,
        spec.requestId,
        HEADERS.attemptId,
        attemptId,
        HEADERS.deadlineMs,
        String(Math.max(1, Math.ceil(remainingMs))),
        HEADERS.service,
        target.serviceId,
    ];
    if (spec.requestClass.name !== "default") headers.push(HEADERS.requestClass, spec.requestClass.name);
    if (target.modelId !== undefined) headers.push(HEADERS.model, target.modelId);
    if (target.adapterId !== undefined) headers.push(HEADERS.adapter, target.adapterId);
    if (!spec.idempotent) headers.push(HEADERS.once, "1");
    if (spec.idempotencyKey !== undefined) headers.push(HEADERS.idempotencyKey, spec.idempotencyKey);
    return headers;
}
