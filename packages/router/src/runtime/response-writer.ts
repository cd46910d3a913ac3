import { abortResponse } from "@skylarkmill/coordination";
import { HEADERS, type Refusal, toRefusalBody, toRefusalHeaders } from "@skylarkmill/protocol";
import type { ServerResponse } from "node:http";
import type { ResponseHead } from "../types/request.ts";
import { pickResponseHeaders } from "../utils/forwarded-headers.ts";
import { toErrorEvent } from "../utils/stream-tail.ts";

/** Writes the response of one request to its caller. */
export class ResponseWriter {
    private readonly response: ServerResponse;
    private readonly shouldCloseConnection: () => boolean;
    private requestId: string | undefined;
    private isEventStream = false;
    /** The caller was told a length, which an error event would not fit. */
    private hasLength = false;

    /** `shouldCloseConnection` returns whether the connection must be closed after this response. */
    constructor(response: ServerResponse, shouldCloseConnection: () => boolean) {
        this.response = response;
        this.shouldCloseConnection = shouldCloseConnection;
        // The caller's connection can break at any time; the `close` event that follows is handled.
        response.on("error", () => undefined);
    }

    setRequestId(requestId: string): void {
        this.requestId = requestId;
    }

    /** The head of the response was sent to the caller. */
    get hasSentHead(): boolean {
        return this.response.headersSent;
    }

    /** The response has ended or the caller's connection is closed. */
    get isClosed(): boolean {
        return this.response.destroyed || this.response.closed;
    }

    onClose(listener: () => void): void {
        this.response.once("close", listener);
    }

    /** The caller disconnected before the response was complete. */
    get isDisconnected(): boolean {
        return this.isClosed && !this.response.writableFinished;
    }

    /** Sends a complete response. */
    sendComplete(head: ResponseHead, body: Buffer | undefined, extraHeaders?: Readonly<Record<string, string>>): void {
        if (this.isClosed) return;
        const headers = { ...pickResponseHeaders(head.headers), ...this.routerHeaders(), ...extraHeaders };
        if (body !== undefined) headers["content-length"] = String(body.length);
        this.response.writeHead(head.status, headers);
        this.response.end(body);
    }

    refuse(refusal: Refusal): void {
        if (this.isClosed) return;
        const body = Buffer.from(JSON.stringify(toRefusalBody(refusal)));
        this.sendComplete({ status: refusal.status, headers: toRefusalHeaders(refusal) }, body);
    }

    /** Sends the head of a response whose body follows in chunks. */
    sendHead(head: ResponseHead): void {
        if (this.isClosed) return;
        this.isEventStream = isEventStream(head);
        this.hasLength = head.headers["content-length"] !== undefined;
        this.response.writeHead(head.status, { ...pickResponseHeaders(head.headers), ...this.routerHeaders() });
        this.response.flushHeaders();
    }

    /** Returns false if the caller reads more slowly than the response arrives; resume in an `onDrain` listener. */
    write(chunk: Buffer): boolean {
        return this.isClosed || this.response.write(chunk);
    }

    onDrain(listener: () => void): void {
        this.response.once("drain", listener);
    }

    end(): void {
        if (!this.isClosed) this.response.end();
    }

    /**
     * Ends a response that can't be completed, in a way that the caller can't mistake for a complete one: with an
     * error event if it is an event stream and can be written to, otherwise by closing or resetting the connection.
     */
    endWithError(refusal: Refusal): void {
        if (this.isClosed) return;
        if (this.isEventStream && !this.hasLength && !this.response.writableNeedDrain) {
            this.response.end(toErrorEvent(toRefusalBody(refusal)));
        }
        else abortResponse(this.response);
    }

    /** Ends a response whose caller has stopped reading. */
    destroy(): void {
        abortResponse(this.response);
    }

    private routerHeaders(): Record<string, string> {
        const headers: Record<string, string> = {};
        if (this.requestId !== undefined) headers[HEADERS.requestId] = this.requestId;
        if (this.shouldCloseConnection()) headers["connection"] = "close";
        return headers;
    }
}

export function isEventStream(head: ResponseHead): boolean {
    const contentType = head.headers["content-type"];
    return typeof contentType === "string" && contentType.startsWith("text/event-stream");
}
