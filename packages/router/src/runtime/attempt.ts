import { type AttemptId, HEADERS, isFinalStatus } from "@skylarkmill/protocol";
import type { Dispatcher, Pool } from "undici";
import type { RequestSpec, ResponseHead } from "../types/request.ts";
import type { ServerState } from "../types/server.ts";

/** Receives the events of an attempt. */
export interface AttemptListener {
    onHead(attempt: Attempt, head: ResponseHead): void;
    onData(attempt: Attempt, chunk: Buffer): void;
    onEnd(attempt: Attempt): void;
    /** The attempt failed; `attempt.mayHaveBeenSent` shows whether the agent may have received a part of the request. */
    onFailure(attempt: Attempt, error: Error): void;
    /** A chunk arrived after the attempt was cancelled. */
    onLateChunk(): void;
}

export interface AttemptOptions {
    readonly attemptId: AttemptId;
    readonly server: ServerState;
    readonly sentAtMs: number;
    readonly expectedFirstByteMs: number;
    readonly isWarm: boolean;
    readonly isIdempotent: boolean;
    readonly listener: AttemptListener;
}

export class CancelledError extends Error {}

/** Sends a request to one agent and receives the response. */
export class Attempt implements Dispatcher.DispatchHandler {
    readonly attemptId: AttemptId;
    readonly server: ServerState;
    readonly sentAtMs: number;
    /** Expected time to the first byte at this server, including its queue and a model load. */
    readonly expectedFirstByteMs: number;
    /** The model was known to be loaded at the server, so the time to the first byte is a measure of its speed. */
    readonly isWarm: boolean;
    readonly isIdempotent: boolean;
    /** undici has started to send the request, so the agent may have received a part of it. */
    mayHaveBeenSent = false;
    head: ResponseHead | undefined;
    private readonly listener: AttemptListener;
    private controller: Dispatcher.DispatchController | undefined;
    private hasEnded = false;
    private isCancelled = false;
    private isBodyless = false;
    private isFramed = false;

    constructor(options: AttemptOptions) {
        this.attemptId = options.attemptId;
        this.server = options.server;
        this.sentAtMs = options.sentAtMs;
        this.expectedFirstByteMs = options.expectedFirstByteMs;
        this.isWarm = options.isWarm;
        this.isIdempotent = options.isIdempotent;
        this.listener = options.listener;
    }

    /** Sends the request; `peerKey` authenticates the router to the agent. */
    start(pool: Pool, spec: RequestSpec, remainingMs: number, peerKey: string): void {
        this.isBodyless = spec.method === "HEAD";
        this.server.outstandingCount += 1;
        this.server.lastUsedAtMs = this.sentAtMs;
        this.server.waitingAttempts.add(this);
        pool.dispatch({
            method: spec.method,
            path: spec.path,
            headers: toAgentHeaders(spec, this.attemptId, remainingMs, peerKey),
            body: spec.body,
        }, this);
    }

    /** Cancels the attempt; data that still arrives is dropped. */
    cancel(): void {
        if (this.hasEnded || this.isCancelled) return;
        this.isCancelled = true;
        this.controller?.abort(new CancelledError("cancelled"));
        this.markEnded();
    }

    /** Cancels an attempt whose server has stopped responding, and reports it as failed like a broken connection. */
    abandon(error: Error): void {
        if (this.hasEnded || this.isCancelled) return;
        this.cancel();
        this.listener.onFailure(this, error);
    }

    pause(): void {
        this.controller?.pause();
    }

    resume(): void {
        if (!this.isCancelled) this.controller?.resume();
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        this.controller = controller;
        if (this.isCancelled) controller.abort(new CancelledError("cancelled"));
        else this.mayHaveBeenSent = true;
    }

    onResponseStart(
        _controller: Dispatcher.DispatchController,
        status: number,
        headers: Record<string, string | string[] | undefined>,
    ): void {
        const isInformational = status >= 100 && status < 200;
        if (this.isCancelled || isInformational) return;
        if (!isFinalStatus(status)) return this.abandon(new Error(`status ${status} is no status of a response`));
        const responseAttemptId = headers[HEADERS.attemptId];
        // Agents before this version don't name the attempt.
        if (responseAttemptId !== undefined && responseAttemptId !== this.attemptId) {
            return this.abandon(new Error(`the response belongs to attempt ${String(responseAttemptId)}`));
        }
        this.head = { status, headers };
        this.isFramed = this.isBodyless || isFramed(status, headers);
        this.server.waitingAttempts.delete(this);
        this.listener.onHead(this, this.head);
    }

    onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
        if (this.isCancelled) this.listener.onLateChunk();
        else this.listener.onData(this, chunk);
    }

    onResponseEnd(): void {
        if (this.isCancelled) return;
        this.markEnded();
        // undici ends a response without a length or chunks normally when its connection is reset; agents send none.
        if (this.isFramed) this.listener.onEnd(this);
        else this.listener.onFailure(this, new Error("the response has neither a length nor chunks"));
    }

    onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
        if (this.isCancelled || this.hasEnded) return;
        this.markEnded();
        this.listener.onFailure(this, error);
    }

    private markEnded(): void {
        if (this.hasEnded) return;
        this.hasEnded = true;
        this.server.waitingAttempts.delete(this);
        this.server.outstandingCount -= 1;
    }
}

function isFramed(status: number, headers: ResponseHead["headers"]): boolean {
    return status === 204 || status === 304 || headers["content-length"] !== undefined
        || headers["transfer-encoding"] !== undefined;
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
        HEADERS.remainingMs,
        String(Math.max(1, Math.ceil(remainingMs))),
        HEADERS.service,
        target.serviceId,
    ];
    if (spec.requestClass.name !== "default") headers.push(HEADERS.requestClass, spec.requestClass.name);
    if (target.modelId !== undefined) headers.push(HEADERS.model, target.modelId);
    if (target.adapterId !== undefined) headers.push(HEADERS.adapter, target.adapterId);
    if (!spec.isIdempotent) headers.push(HEADERS.nonIdempotent, "1");
    if (spec.idempotencyKey !== undefined) headers.push(HEADERS.idempotencyKey, spec.idempotencyKey);
    return headers;
}
