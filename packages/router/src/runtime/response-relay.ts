import { ByteCollector } from "@skylarkmill/coordination";
import type { RequestSpec, ResponseHead } from "../types/request.ts";
import { refusals } from "../utils/refusals.ts";
import { StreamTail } from "../utils/stream-tail.ts";
import { isEventStream, type ResponseWriter } from "./response-writer.ts";

/** Responses of plain services with a known length up to this are buffered until they are complete. */
const MAX_BUFFERED_PLAIN_BYTES = 64 * 1024;
/** Maximum size of a response body that is stored as the outcome of a request with an idempotency key. */
export const MAX_OUTCOME_BODY_BYTES = 64 * 1024;

/** Source of the response; it is paused while the caller reads slowly. */
export interface ResponseSource {
    pause(): void;
    resume(): void;
}

export interface ResponseRelayOptions {
    readonly writer: ResponseWriter;
    readonly spec: RequestSpec;
    readonly head: ResponseHead;
    readonly source: ResponseSource;
    readonly maxBufferedBytes: number;
}

/**
 * Relays the response of an attempt to the caller. Short responses that are not streamed are buffered until they are
 * complete, so that the request can be retried or refused if the connection breaks. Others are forwarded in chunks.
 */
export class ResponseRelay {
    private readonly options: ResponseRelayOptions;
    private readonly tail: StreamTail | undefined;
    private readonly bufferedBody = new ByteCollector();
    private isBuffering: boolean;
    private outcome: ByteCollector | undefined;

    constructor(options: ResponseRelayOptions) {
        this.options = options;
        const { head, spec } = options;
        this.tail = isEventStream(head) && spec.target.modelId !== undefined && head.status === 200
            ? new StreamTail()
            : undefined;
        this.isBuffering = canBuffer(head, spec, options.maxBufferedBytes);
        this.outcome = spec.idempotencyKey !== undefined && !spec.isIdempotent ? new ByteCollector() : undefined;
        if (!this.isBuffering) options.writer.sendHead(head);
    }

    /** No part of the response has been sent to the caller. */
    get isUnsent(): boolean {
        return this.isBuffering;
    }

    push(chunk: Buffer): void {
        this.keepOutcomeChunk(chunk);
        if (this.isBuffering) this.bufferChunk(chunk);
        else this.forwardChunk(chunk);
    }

    /** Ends the response; returns false if it was incomplete. */
    end(): boolean {
        const { writer, head } = this.options;
        if (this.isBuffering) {
            writer.sendComplete(head, this.bufferedBody.toBuffer());
            return true;
        }
        if (this.tail === undefined || this.tail.isComplete) {
            writer.end();
            return true;
        }
        if (this.tail.hasSeenError) writer.end();
        else writer.endWithError(refusals.streamBroken());
        return false;
    }

    /** Returns the body to store as the outcome; undefined if it is too long or the request has no outcome to store. */
    outcomeBody(): Buffer | undefined {
        return this.outcome?.toBuffer();
    }

    /** Buffers a chunk; starts to forward if the buffer limit is exceeded. */
    private bufferChunk(chunk: Buffer): void {
        this.bufferedBody.append(chunk);
        if (this.bufferedBody.byteCount <= this.options.maxBufferedBytes) return;
        this.isBuffering = false;
        this.options.writer.sendHead(this.options.head);
        for (const part of this.bufferedBody.toParts()) this.forwardChunk(part);
        this.bufferedBody.clear();
    }

    private forwardChunk(chunk: Buffer): void {
        const { writer, source } = this.options;
        this.tail?.push(chunk);
        if (writer.write(chunk)) return;
        source.pause();
        writer.onDrain(() => source.resume());
    }

    /** Keeps a chunk for the stored outcome, unless the body becomes too long. */
    private keepOutcomeChunk(chunk: Buffer): void {
        this.outcome?.append(chunk);
        if (this.outcome !== undefined && this.outcome.byteCount > MAX_OUTCOME_BODY_BYTES) this.outcome = undefined;
    }
}

function canBuffer(head: ResponseHead, spec: RequestSpec, maxBufferedBytes: number): boolean {
    if (isEventStream(head)) return false;
    if (spec.method === "HEAD" || head.status === 204 || head.status === 304) return false;
    const length = Number(head.headers["content-length"] ?? NaN);
    if (spec.target.modelId !== undefined) return Number.isNaN(length) || length <= maxBufferedBytes;
    return length <= MAX_BUFFERED_PLAIN_BYTES;
}
