import { HEADERS, type Refusal, toRefusalBody, toRefusalHeaders } from "@skylarkmill/protocol";
import type { ServerResponse } from "node:http";
import type { AnswerHead } from "../types/request.ts";
import { pickAnswerHeaders } from "../utils/forwarded-headers.ts";
import { toErrorEvent } from "../utils/stream-tail.ts";

/** Writes one answer to one caller; owns the caller's side of the exchange. */
export class AnswerWriter {
    private readonly response: ServerResponse;
    private readonly isClosing: () => boolean;
    private requestId: string | undefined;
    private isEventStream = false;

    /** `isClosing` says whether the connection must close after this answer. */
    constructor(response: ServerResponse, isClosing: () => boolean) {
        this.response = response;
        this.isClosing = isClosing;
        // The caller's connection can break at any time; `close` follows and is handled.
        response.on("error", () => undefined);
    }

    setRequestId(requestId: string): void {
        this.requestId = requestId;
    }

    /** The head went to the caller. */
    get hasBegun(): boolean {
        return this.response.headersSent;
    }

    /** The caller can't be answered any more. */
    get isGone(): boolean {
        return this.response.destroyed || this.response.closed;
    }

    onClose(listener: () => void): void {
        this.response.once("close", listener);
    }

    /** The caller disconnected before it got the whole answer. */
    get isLost(): boolean {
        return this.isGone && !this.response.writableFinished;
    }

    /** Sends a complete answer at once. */
    sendWhole(head: AnswerHead, body: Buffer | undefined, extra?: Readonly<Record<string, string>>): void {
        if (this.isGone) return;
        const headers = { ...pickAnswerHeaders(head.headers), ...this.ownHeaders(), ...extra };
        if (body !== undefined) headers["content-length"] = String(body.length);
        this.response.writeHead(head.status, headers);
        this.response.end(body);
    }

    refuse(refusal: Refusal): void {
        if (this.isGone) return;
        const body = Buffer.from(JSON.stringify(toRefusalBody(refusal)));
        this.sendWhole({ status: refusal.status, headers: toRefusalHeaders(refusal) }, body);
    }

    begin(head: AnswerHead): void {
        if (this.isGone) return;
        this.isEventStream = isEventStream(head);
        this.response.writeHead(head.status, { ...pickAnswerHeaders(head.headers), ...this.ownHeaders() });
        this.response.flushHeaders();
    }

    /** Returns false when the caller reads more slowly than the answer arrives; `onDrain` then says when to go on. */
    write(chunk: Buffer): boolean {
        return this.isGone || this.response.write(chunk);
    }

    onDrain(listener: () => void): void {
        this.response.once("drain", listener);
    }

    end(): void {
        if (!this.isGone) this.response.end();
    }

    /** Ends an answer that can't be completed, so that it doesn't look whole. */
    breakOff(refusal: Refusal): void {
        if (this.isGone) return;
        if (this.isEventStream && !this.response.writableNeedDrain) {
            this.response.end(toErrorEvent(toRefusalBody(refusal)));
        }
        else this.response.destroy();
    }

    destroy(): void {
        this.response.destroy();
    }

    private ownHeaders(): Record<string, string> {
        const headers: Record<string, string> = {};
        if (this.requestId !== undefined) headers[HEADERS.requestId] = this.requestId;
        if (this.isClosing()) headers["connection"] = "close";
        return headers;
    }
}

export function isEventStream(head: AnswerHead): boolean {
    const contentType = head.headers["content-type"];
    return typeof contentType === "string" && contentType.startsWith("text/event-stream");
}
