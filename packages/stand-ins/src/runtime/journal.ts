/** One event at a stand-in; `atMs` is wall-clock time. */
export interface JournalEvent {
    readonly seq: number;
    readonly atMs: number;
    readonly source: string;
    readonly kind: string;
    readonly [field: string]: unknown;
}

// Limits the memory of a stand-in that runs for days with the command `dev`; the oldest events are dropped.
const MAX_EVENTS = 200_000;

/**
 * Records the events at one stand-in in order. Invariant checks read them, so that they don't depend on what the tested
 * system reports.
 *
 * @example
 * const journal = new Journal("engine-1");
 * journal.add("load_started", { modelId: "diagnosis-01" });
 */
export class Journal {
    readonly source: string;
    private events: JournalEvent[] = [];
    private nextSeq = 1;

    constructor(source: string) {
        this.source = source;
    }

    add(kind: string, fields: Readonly<Record<string, unknown>> = {}): void {
        this.events.push({ seq: this.nextSeq++, atMs: Date.now(), source: this.source, kind, ...fields });
        if (this.events.length > MAX_EVENTS) this.events = this.events.slice(MAX_EVENTS / 10);
    }

    /** Returns the events with a sequence number above `afterSeq`. */
    list(afterSeq = 0): readonly JournalEvent[] {
        if (afterSeq <= 0) return this.events;
        const first = this.events[0]?.seq ?? 0;
        return this.events.slice(Math.max(0, afterSeq - first + 1));
    }
}
