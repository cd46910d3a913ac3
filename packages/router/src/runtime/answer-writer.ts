import { HEADERS, type Refusal, toRefusalBody, toRefusalHeaders } from "@skylarkmill/protocol";
import type { ServerResponse } from "node:http";
import type { AnswerHead } from "../types/request.ts";
import { pickAnswerHeaders } from "../utils/forwarded-headers.ts";
import { toErrorEvent } from "../utils/stream-tail.ts";

/** Writes the response of one request to its caller. */
export class AnswerWriter {
    private readonly response: ServerResponse;
    private readonly isClosing: () => boolean;
    private requestId: string | undefined;
    private isEventStream = false;

    /** `isClosing` returns whether the connection must be closed after this response. */
    constructor(response: ServerResponse, isClosing: () => boolean) {
        this.response = response;
        this.isClosing = isClosing;
        // The caller's connection can break at any time; the `close` event that follows is handled.
        response.on("error", () => undefined);
    }

    setRequestId(requestId: string): void {
        this.requestId = requestId;
    }

    /** The head of the response was sent to the caller. */
    get hasBegun(): boolean {
        return this.response.headersSent;
    }

    /** The response has ended or the caller's connection is closed. */
    get isGone(): boolean {
        return this.response.destroyed || this.response.closed;
    }

    onClose(listener: () => void): void {
        this.response.once("close", listener);
    }

    /** The caller disconnected before the response was complete. */
    get isLost(): boolean {
        return this.isGone && !this.response.writableFinished;
    }

    /** Sends a complete response. */
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

    /** Sends the head of a response whose body follows in chunks. */
    begin(head: AnswerHead): void {
        if (this.isGone) return;
        this.isEventStream = isEventStream(head);
        this.response.writeHead(head.status, { ...pickAnswerHeaders(head.headers), ...this.ownHeaders() });
        this.response.flushHeaders();
    }

    /** Returns false if the caller reads more slowly than the response arrives; resume in an `onDrain` listener. */
    write(chunk: Buffer): boolean {
        return this.isGone || this.response.write(chunk);
    }

    onDrain(listener: () => void): void {
        this.response.once("drain", listener);
    }

    end(): void {
        if (!this.isGone) this.response.end();
    }

    /**
     * Ends a response that can't be completed, in a way that the caller can't mistake for a complete one: with an
     * error event if it is an event stream and can be written to, otherwise by closing the connection.
     */
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
