const END_MARK = "data: [DONE]";
const ERROR_EVENT = 'data: {"error"';
/** Number of trailing bytes that are kept to detect the end mark; longer than the end mark and the line ends after it. */
const TAIL_BYTES = 64;

/** Tracks whether a stream of server-sent events ended with the `[DONE]` event or with an error event. */
export class StreamTail {
    private tail: Buffer = Buffer.alloc(0);
    private hasErrorEvent = false;

    push(chunk: Buffer): void {
        const seam = Buffer.concat([this.tail, chunk.subarray(0, TAIL_BYTES)]);
        // An error event is not detected inside a chunk of 4096 bytes or more.
        this.hasErrorEvent ||= this.containsErrorEvent(seam) || chunk.length < 4096 && this.containsErrorEvent(chunk);
        // The chunk's own bytes would keep all that was read with it.
        this.tail = chunk.length >= TAIL_BYTES ? Buffer.from(chunk.subarray(-TAIL_BYTES)) : seam.subarray(-TAIL_BYTES);
    }

    /** The last event is `data: [DONE]`. */
    get isComplete(): boolean {
        return this.tail.toString("latin1").trimEnd().endsWith(END_MARK);
    }

    /** The stream contained an error event. */
    get hasSeenError(): boolean {
        return this.hasErrorEvent;
    }

    /** Event data is JSON on one line, so generated text can't contain the start of an error event. */
    private containsErrorEvent(chunk: Buffer): boolean {
        return chunk.indexOf(ERROR_EVENT, 0, "latin1") >= 0;
    }
}

/**
 * Formats the error event that terminates a stream which can't be completed.
 *
 * @example
 * response.end(toErrorEvent({ error: { ... } }));
 */
export function toErrorEvent(body: object): string {
    return `\n\ndata: ${JSON.stringify(body)}\n\n`;
}
