/** One event that a stand-in saw; `atMs` is wall-clock time. */
export interface JournalEvent {
    readonly seq: number;
    readonly atMs: number;
    readonly source: string;
    readonly kind: string;
    readonly [field: string]: unknown;
}

// Bounds the memory of a stand-in that runs for days under `dev`.
const MAX_EVENTS = 200_000;

/**
 * What happened at one stand-in, in order; invariant checks read this and not the system's own reports.
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

    /** Events with a sequence number above `afterSeq`. */
    list(afterSeq = 0): readonly JournalEvent[] {
        if (afterSeq <= 0) return this.events;
        const first = this.events[0]?.seq ?? 0;
        return this.events.slice(Math.max(0, afterSeq - first + 1));
    }
}
