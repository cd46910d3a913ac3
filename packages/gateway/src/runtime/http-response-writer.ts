import { abortResponse } from "@skylarkmill/coordination";
import { type Refusal, toRefusalBody } from "@skylarkmill/protocol";
import type { ServerResponse } from "node:http";
import type { ResponseWriter } from "../types/response-writer.ts";
import { createRefusalHeaders } from "../utils/refusals.ts";
import { MAX_SMALL_BODY_BYTES } from "./byte-budget.ts";
import type { CallerConnection } from "./caller-connection.ts";
import { countBytes, type UnreadResponses } from "./unread-responses.ts";

/**
 * Largest body that is sent without a length or chunks. A socket takes it at once, so the end of this process can't cut
 * it; a longer body that is cut would look complete.
 */
const MAX_CLOSE_DELIMITED_BYTES = 16 * 1024;

/** Writes the response of one request to Node's HTTP server. */
export class HttpResponseWriter implements ResponseWriter {
    private readonly response: ServerResponse;
    private readonly connection: CallerConnection;
    private readonly unreadResponses: UnreadResponses;
    private readonly isClosing: () => boolean;

    /** @param isClosing Whether connections must be closed after the last response that they owe. */
    constructor(
        response: ServerResponse,
        connection: CallerConnection,
        unreadResponses: UnreadResponses,
        isClosing: () => boolean,
    ) {
        this.response = response;
        this.connection = connection;
        this.unreadResponses = unreadResponses;
        this.isClosing = isClosing;
    }

    get hasStarted(): boolean {
        return this.response.headersSent;
    }

    onCallerDisconnect(listener: () => void): void {
        this.response.once("close", () => {
            if (!this.response.writableFinished) listener();
        });
    }

    sendComplete(status: number, headers: readonly string[], body: readonly Buffer[]): void {
        if (this.isClosed) return;
        const own = ["content-length", String(countBytes(body))];
        this.response.writeHead(status, [...headers, ...own, ...this.createConnectionHeader()]);
        this.endWith(body);
    }

    sendUnverified(status: number, headers: readonly string[], body: readonly Buffer[]): void {
        const canEndConnection = countBytes(body) <= MAX_CLOSE_DELIMITED_BYTES
            && this.connection.tryEndWith(this.response);
        if (canEndConnection) this.startCloseDelimited(status, headers);
        else this.start(status, headers);
        if (!this.isClosed) this.endWith(body);
    }

    start(status: number, headers: readonly string[]): void {
        if (this.isClosed) return;
        // Node encodes a body without a length in chunks, which show a cut even if this process is killed.
        this.response.writeHead(status, [...headers, ...this.createConnectionHeader()]);
    }

    write(chunk: Buffer): boolean {
        return this.isClosed || this.response.write(chunk);
    }

    onDrain(listener: () => void): void {
        this.response.once("drain", listener);
    }

    end(): void {
        if (!this.isClosed) this.response.end();
    }

    refuse(refusal: Refusal, moreHeaders: readonly string[] = []): void {
        if (this.isClosed) return;
        const body = Buffer.from(JSON.stringify(toRefusalBody(refusal)));
        this.sendComplete(refusal.status, [...createRefusalHeaders(refusal), ...moreHeaders], [body]);
    }

    /** Refuses a request whose body is not complete, and ends the connection that it would come on. */
    refuseUpload(refusal: Refusal): void {
        this.connection.tryEndWith(this.response);
        // A stop adds the header itself.
        this.refuse(refusal, this.isClosing() ? [] : ["connection", "close"]);
    }

    /**
     * Sends the whole refusal of a request whose body still comes; `end` then ends its connection, on which the refusal would
     * get lost if it were ended at once.
     */
    startUploadRefusal(refusal: Refusal): void {
        if (this.isClosed) return;
        this.connection.tryEndWith(this.response);
        const body = JSON.stringify(toRefusalBody(refusal));
        const own = ["content-length", String(Buffer.byteLength(body)), "connection", "close"];
        this.response.writeHead(refusal.status, [...createRefusalHeaders(refusal), ...own]);
        this.response.write(body);
    }

    abort(): void {
        abortResponse(this.response);
    }

    private endWith(body: readonly Buffer[]): void {
        if (countBytes(body) > MAX_SMALL_BODY_BYTES) this.unreadResponses.send(this.response, body);
        else this.response.end(Buffer.concat(body));
    }

    private startCloseDelimited(status: number, headers: readonly string[]): void {
        if (this.isClosed) return;
        // Node then writes neither a content length nor chunked encoding.
        this.response.useChunkedEncodingByDefault = false;
        this.response.writeHead(status, [...headers, "connection", "close"]);
    }

    private get isClosed(): boolean {
        return this.response.destroyed || this.response.closed;
    }

    private createConnectionHeader(): string[] {
        return this.isClosing() && this.connection.tryEndWith(this.response) ? ["connection", "close"] : [];
    }
}
