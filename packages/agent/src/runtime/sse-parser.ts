/** One event of a server-sent event stream. */
export interface SseEvent {
    /** The event's bytes, with the blank line that ends it. */
    readonly raw: Uint8Array;
    readonly id: string | undefined;
    /** `undefined` for comments and events without data. */
    readonly data: string | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/**
 * Splits a byte stream into server-sent events and keeps their bytes.
 *
 * @example
 * const parser = new SseParser(1_048_576);
 * for await (const chunk of body) for (const event of parser.push(chunk)) relay(event.raw);
 */
export class SseParser {
    private rest: Buffer = Buffer.alloc(0);

    /** An event over `maxEventBytes` makes `push` throw a RangeError. */
    constructor(private readonly maxEventBytes: number) {}

    push(chunk: Uint8Array): SseEvent[] {
        this.rest = this.rest.length === 0 ? Buffer.from(chunk) : Buffer.concat([this.rest, chunk]);
        const events: SseEvent[] = [];
        let start = 0;
        for (let end = findEnd(this.rest, start); end > 0; end = findEnd(this.rest, start)) {
            events.push(parseEvent(this.rest.subarray(start, end)));
            start = end;
        }
        this.rest = this.rest.subarray(start);
        if (this.rest.length > this.maxEventBytes) throw new RangeError("an event is too long");
        return events;
    }
}

/** Index behind the blank line that ends the event at `start`; 0 when it is incomplete. */
function findEnd(bytes: Buffer, start: number): number {
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
