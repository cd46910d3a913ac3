import { ByteCollector, EventEndScanner } from "@skylarkmill/coordination";

/** Largest event; a server that sends a longer one is faulty, since an event holds a few tokens. */
export const MAX_EVENT_BYTES = 1024 * 1024;

/** One complete server-sent event. */
export interface StreamEvent {
    readonly raw: Buffer;
    readonly id: number | undefined;
}

/**
 * Splits a byte stream into complete server-sent events. Each byte is scanned once, so the work grows linearly with the
 * stream.
 *
 * @example
 * const splitter = new EventSplitter();
 * for (const event of splitter.push(chunk)) relay(event.raw);
 * if (splitter.isEventTooLong) close();
 */
export class EventSplitter {
    private readonly pending = new ByteCollector();
    private readonly scanner = new EventEndScanner();

    /** Number of buffered bytes of an incomplete event. */
    get pendingByteCount(): number {
        return this.pending.byteCount;
    }

    /** Whether the incomplete event is longer than any event may be. */
    get isEventTooLong(): boolean {
        return this.pendingByteCount > MAX_EVENT_BYTES;
    }

    push(chunk: Buffer): StreamEvent[] {
        const events: StreamEvent[] = [];
        let start = 0;
        for (let end = this.scanner.findEnd(chunk, start); end > 0; end = this.scanner.findEnd(chunk, start)) {
            const tail = chunk.subarray(start, end);
            const raw = this.takePending(tail);
            events.push({ raw, id: parseEventId(raw) });
            start = end;
        }
        if (start < chunk.length) this.pending.append(chunk.subarray(start));
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

function parseEventId(raw: Buffer): number | undefined {
    // A longer number is no exact integer, so it can't be told from the next one.
    const match = /(?:^|\n)id: ?(\d{1,15})(?!\d)/.exec(raw.toString("latin1"));
    return match?.[1] === undefined ? undefined : Number(match[1]);
}

/**
 * What an event without an id is: `data` reaches the caller's code, `control` is a comment or another field, and
 * `foreign` has no field that the event stream format defines, such as the text of an error.
 */
export type UnnumberedKind = "data" | "control" | "foreign";

/**
 * Classifies an event that has no id.
 *
 * @example
 * classifyUnnumberedEvent(Buffer.from("internal error\n\n")); // "foreign"
 */
export function classifyUnnumberedEvent(raw: Buffer): UnnumberedKind {
    const lines = raw.toString("latin1").split(/\r?\n/).filter(line => line !== "");
    if (lines.some(line => /^data(?::|$)/.test(line))) return "data";
    return lines.every(line => /^(?::|(?:event|id|retry)(?::|$))/.test(line)) ? "control" : "foreign";
}
