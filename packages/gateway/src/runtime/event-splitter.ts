const LINE_FEED = 0x0a;

/** One complete server-sent event. */
export interface StreamEvent {
    readonly raw: Buffer;
    readonly id: number | undefined;
}

/**
 * Splits a byte stream into complete server-sent events.
 *
 * @example
 * const splitter = new EventSplitter();
 * for (const event of splitter.push(chunk)) relay(event.raw);
 */
export class EventSplitter {
    private pending: Buffer = Buffer.alloc(0);

    /** Number of buffered bytes of an incomplete event. */
    get pendingByteCount(): number {
        return this.pending.length;
    }

    push(chunk: Buffer): StreamEvent[] {
        const bytes = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
        const events: StreamEvent[] = [];
        let start = 0;
        for (let end = findEventEnd(bytes, start); end > 0; end = findEventEnd(bytes, start)) {
            const raw = bytes.subarray(start, end);
            events.push({ raw, id: parseEventId(raw) });
            start = end;
        }
        this.pending = bytes.subarray(start);
        return events;
    }
}

/** Returns the index after the blank line that ends the event at `start`; 0 while the event is incomplete. */
function findEventEnd(bytes: Buffer, start: number): number {
    for (let index = bytes.indexOf(LINE_FEED, start); index >= 0; index = bytes.indexOf(LINE_FEED, index + 1)) {
        if (bytes[index + 1] === LINE_FEED) return index + 2;
        if (bytes[index + 1] === 0x0d && bytes[index + 2] === LINE_FEED) return index + 3;
    }
    return 0;
}

function parseEventId(raw: Buffer): number | undefined {
    const match = /(?:^|\n)id: ?(\d+)/.exec(raw.toString("latin1"));
    return match?.[1] === undefined ? undefined : Number(match[1]);
}
