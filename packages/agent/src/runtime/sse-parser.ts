/** One event of a stream of server-sent events. */
export interface SseEvent {
    /** The event's bytes, including the blank line that ends it. */
    readonly raw: Uint8Array;
    readonly id: string | undefined;
    /** `undefined` for comments and events without data. */
    readonly data: string | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/**
 * Splits a byte stream into server-sent events and preserves their original bytes.
 *
 * @example
 * const parser = new SseParser(1_048_576);
 * for await (const chunk of body) for (const event of parser.push(chunk)) relay(event.raw);
 */
export class SseParser {
    private buffered: Buffer = Buffer.alloc(0);

    /** `push` throws a RangeError if an event exceeds `maxEventBytes`. */
    constructor(private readonly maxEventBytes: number) {}

    push(chunk: Uint8Array): SseEvent[] {
        this.buffered = this.buffered.length === 0 ? Buffer.from(chunk) : Buffer.concat([this.buffered, chunk]);
        const events: SseEvent[] = [];
        let start = 0;
        for (let end = findEventEnd(this.buffered, start); end > 0; end = findEventEnd(this.buffered, start)) {
            events.push(parseEvent(this.buffered.subarray(start, end)));
            start = end;
        }
        this.buffered = this.buffered.subarray(start);
        if (this.buffered.length > this.maxEventBytes) throw new RangeError("server-sent event is too large");
        return events;
    }
}

/** Returns the index after the blank line that ends the event at `start`; 0 if the event is incomplete. */
function findEventEnd(bytes: Buffer, start: number): number {
    for (let index = bytes.indexOf(LINE_FEED, start); index >= 0; index = bytes.indexOf(LINE_FEED, index + 1)) {
        if (bytes[index + 1] === LINE_FEED) return index + 2;
        if (bytes[index + 1] === CARRIAGE_RETURN && bytes[index + 2] === LINE_FEED) return index + 3;
    }
    return 0;
}

function parseEvent(raw: Buffer): SseEvent {
    let id: string | undefined;
    const data: string[] = [];
    for (const line of raw.toString("utf8").split(/\r?\n/)) {
        if (line.startsWith("id:")) id = line.slice(3).trim();
        else if (line.startsWith("data:")) data.push(line.slice(5).replace(/^ /, ""));
    }
    return { raw, id, data: data.length === 0 ? undefined : data.join("\n") };
}
