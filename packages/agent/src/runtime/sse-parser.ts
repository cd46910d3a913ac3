import { ByteCollector, EventEndScanner } from "@skylarkmill/coordination";

/** One event of a stream of server-sent events. */
export interface SseEvent {
    /** The event's bytes, including the blank line that ends it. */
    readonly raw: Uint8Array;
    readonly id: string | undefined;
    /** `undefined` for comments and events without data. */
    readonly data: string | undefined;
}

/**
 * Splits a byte stream into server-sent events and preserves their original bytes. Each byte is scanned and copied once at
 * most, in however many pieces it comes.
 *
 * @example
 * const parser = new SseParser(1_048_576);
 * for await (const chunk of body) for (const event of parser.push(chunk)) relay(event.raw);
 */
export class SseParser {
    private readonly pending = new ByteCollector();
    private readonly scanner = new EventEndScanner();

    /** `push` throws a RangeError if an event exceeds `maxEventBytes`. */
    constructor(private readonly maxEventBytes: number) {}

    push(chunk: Uint8Array): SseEvent[] {
        const bytes = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
        const events: SseEvent[] = [];
        let start = 0;
        for (let end = this.scanner.findEnd(bytes, start); end > 0; end = this.scanner.findEnd(bytes, start)) {
            events.push(parseEvent(this.takePending(bytes.subarray(start, end))));
            start = end;
        }
        if (start < bytes.length) this.pending.append(bytes.subarray(start));
        if (this.pending.byteCount > this.maxEventBytes) throw new RangeError("server-sent event is too large");
        return events;
    }

    private takePending(tail: Buffer): Buffer {
        if (this.pending.byteCount === 0) return tail;
        this.pending.append(tail);
        const raw = this.pending.toBuffer();
        this.pending.clear();
        return raw;
    }
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
