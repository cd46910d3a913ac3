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
    private readonly bufferedChunks: Buffer[] = [];
    private bufferedBytes = 0;
    private isBuffering: boolean;
    private outcomeChunks: Buffer[] | undefined;
    private outcomeBytes = 0;

    constructor(options: ResponseRelayOptions) {
        this.options = options;
        const { head, spec } = options;
        this.tail = isEventStream(head) && spec.target.modelId !== undefined && head.status === 200
            ? new StreamTail()
            : undefined;
        this.isBuffering = canBuffer(head, spec, options.maxBufferedBytes);
        this.outcomeChunks = spec.idempotencyKey !== undefined && !spec.isIdempotent ? [] : undefined;
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
            writer.sendComplete(
                head,
                this.bufferedChunks.length === 1 ? this.bufferedChunks[0]! : Buffer.concat(this.bufferedChunks),
            );
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
        return this.outcomeChunks === undefined ? undefined : Buffer.concat(this.outcomeChunks);
    }

    /** Buffers a chunk; starts to forward if the buffer limit is exceeded. */
    private bufferChunk(chunk: Buffer): void {
        this.bufferedChunks.push(chunk);
        this.bufferedBytes += chunk.length;
        if (this.bufferedBytes <= this.options.maxBufferedBytes) return;
        this.isBuffering = false;
        this.options.writer.sendHead(this.options.head);
        for (const bufferedChunk of this.bufferedChunks.splice(0)) this.forwardChunk(bufferedChunk);
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
        if (this.outcomeChunks === undefined) return;
        this.outcomeBytes += chunk.length;
        if (this.outcomeBytes > MAX_OUTCOME_BODY_BYTES) this.outcomeChunks = undefined;
        else this.outcomeChunks.push(chunk);
    }
}

function canBuffer(head: ResponseHead, spec: RequestSpec, maxBufferedBytes: number): boolean {
    if (isEventStream(head)) return false;
    if (spec.method === "HEAD" || head.status === 204 || head.status === 304) return false;
    const length = Number(head.headers["content-length"] ?? NaN);
    if (spec.target.modelId !== undefined) return Number.isNaN(length) || length <= maxBufferedBytes;
    return length <= MAX_BUFFERED_PLAIN_BYTES;
}
