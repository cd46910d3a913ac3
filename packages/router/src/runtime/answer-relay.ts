import type { AnswerHead, RequestSpec } from "../types/request.ts";
import { refusals } from "../utils/refusals.ts";
import { StreamTail } from "../utils/stream-tail.ts";
import { type AnswerWriter, isEventStream } from "./answer-writer.ts";

/** Responses of plain services with a known length up to this are buffered until they are complete. */
const MAX_HELD_PLAIN_BYTES = 64 * 1024;
/** Maximum size of a response body that is stored as the outcome of a request with an idempotency key. */
export const MAX_OUTCOME_BYTES = 64 * 1024;

/** Source of the response; it is paused while the caller reads slowly. */
export interface AnswerSource {
    pause(): void;
    resume(): void;
}

export interface AnswerRelayOptions {
    readonly writer: AnswerWriter;
    readonly spec: RequestSpec;
    readonly head: AnswerHead;
    readonly source: AnswerSource;
    readonly maxBufferedBytes: number;
}

/**
 * Relays the response of an attempt to the caller. Short responses that are not streamed are buffered until they are
 * complete, so that the request can be retried or refused if the connection breaks. Others are forwarded in chunks.
 */
export class AnswerRelay {
    private readonly options: AnswerRelayOptions;
    private readonly tail: StreamTail | undefined;
    private readonly held: Buffer[] = [];
    private heldBytes = 0;
    private holding: boolean;
    private kept: Buffer[] | undefined;
    private keptBytes = 0;

    constructor(options: AnswerRelayOptions) {
        this.options = options;
        const { head, spec } = options;
        this.tail = isEventStream(head) && spec.target.modelId !== undefined && head.status === 200
            ? new StreamTail()
            : undefined;
        this.holding = mayHold(head, spec, options.maxBufferedBytes);
        this.kept = spec.idempotencyKey !== undefined && !spec.idempotent ? [] : undefined;
        if (!this.holding) options.writer.begin(head);
    }

    /** No part of the response has been sent to the caller. */
    get isHeld(): boolean {
        return this.holding;
    }

    push(chunk: Buffer): void {
        this.keep(chunk);
        if (this.holding) this.hold(chunk);
        else this.pass(chunk);
    }

    /** Ends the response; returns false if it was incomplete. */
    end(): boolean {
        const { writer, head } = this.options;
        if (this.holding) {
            writer.sendWhole(head, this.held.length === 1 ? this.held[0]! : Buffer.concat(this.held));
            return true;
        }
        if (this.tail === undefined || this.tail.isComplete) {
            writer.end();
            return true;
        }
        if (this.tail.endsWithError) writer.end();
        else writer.breakOff(refusals.streamBroken());
        return false;
    }

    /** Returns the body to store as the outcome; undefined if it is too long or the request has no outcome to store. */
    keptBody(): Buffer | undefined {
        return this.kept === undefined ? undefined : Buffer.concat(this.kept);
    }

    /** Buffers a chunk; starts to forward if the buffer limit is exceeded. */
    private hold(chunk: Buffer): void {
        this.held.push(chunk);
        this.heldBytes += chunk.length;
        if (this.heldBytes <= this.options.maxBufferedBytes) return;
        this.holding = false;
        this.options.writer.begin(this.options.head);
        for (const heldChunk of this.held.splice(0)) this.pass(heldChunk);
    }

    private pass(chunk: Buffer): void {
        const { writer, source } = this.options;
        this.tail?.push(chunk);
        if (writer.write(chunk)) return;
        source.pause();
        writer.onDrain(() => source.resume());
    }

    /** Keeps a chunk for the stored outcome, unless the body becomes too long. */
    private keep(chunk: Buffer): void {
        if (this.kept === undefined) return;
        this.keptBytes += chunk.length;
        if (this.keptBytes > MAX_OUTCOME_BYTES) this.kept = undefined;
        else this.kept.push(chunk);
    }
}

function mayHold(head: AnswerHead, spec: RequestSpec, maxBufferedBytes: number): boolean {
    if (isEventStream(head)) return false;
    if (spec.method === "HEAD" || head.status === 204 || head.status === 304) return false;
    const length = Number(head.headers["content-length"] ?? NaN);
    if (spec.target.modelId !== undefined) return Number.isNaN(length) || length <= maxBufferedBytes;
    return length <= MAX_HELD_PLAIN_BYTES;
}
