import type { AttemptId } from "@skylarkmill/protocol";
import type { SseEvent } from "./sse-parser.ts";

/** What to do with one event of an engine's stream. */
export type StreamVerdict =
    | "relay"
    | "done"
    /** The engine reports an error; the stream ends with it. */
    | "error"
    /** A chunk of another attempt, a repeated one or one without a sequence number. */
    | "drop"
    /** Chunks are missing before this one. */
    | "gap";

/**
 * The number of an engine's first chunk: 0, or 1 at an engine that has never sent 0.
 *
 * @example
 * const numbering = new StreamNumbering();
 * numbering.isFirst(1); // true
 * numbering.isFirst(0); // true
 * numbering.isFirst(1); // false
 */
export class StreamNumbering {
    private startsAtZero = false;

    isFirst(sequence: number): boolean {
        if (sequence === 0) this.startsAtZero = true;
        return sequence === 0 || (sequence === 1 && !this.startsAtZero);
    }
}

/**
 * Checks that an engine's stream is the complete answer to one attempt.
 *
 * @example
 * const checker = new StreamChecker(attemptId, numbering);
 * if (checker.check(event) === "relay") write(event.raw);
 */
export class StreamChecker {
    private readonly ids: ReadonlySet<unknown>;
    private nextSequence: number | undefined;
    private finished = false;

    constructor(attemptId: AttemptId, private readonly numbering: StreamNumbering) {
        this.ids = answerIds(attemptId);
    }

    /** Sequence number of the last relayed chunk; undefined before the first. */
    get lastSequence(): number | undefined {
        return this.nextSequence === undefined ? undefined : this.nextSequence - 1;
    }

    check(event: SseEvent): StreamVerdict {
        if (event.data === undefined) return "drop";
        if (event.data.trim() === "[DONE]") return this.checkDone(event);
        const chunk = parseObject(event.data);
        if (chunk === undefined) return "drop";
        if (chunk["error"] !== undefined && chunk["id"] === undefined) return "error";
        if (!this.ids.has(chunk["id"])) return "drop";
        const order = this.checkSequence(event.id);
        if (order !== "next") return order;
        this.nextSequence = Number(event.id) + 1;
        this.finished ||= hasFinishReason(chunk);
        return "relay";
    }

    /** The end mark carries no attempt id, so it only counts after this attempt's chunk with a finish reason. */
    private checkDone(event: SseEvent): StreamVerdict {
        if (!this.finished) return "drop";
        if (event.id === undefined) return "done";
        const order = this.checkSequence(event.id);
        return order === "next" ? "done" : order;
    }

    private checkSequence(id: string | undefined): "next" | "drop" | "gap" {
        if (id === undefined || !/^\d{1,15}$/.test(id)) return "drop";
        const sequence = Number(id);
        if (this.nextSequence === undefined) return this.numbering.isFirst(sequence) ? "next" : "gap";
        if (sequence < this.nextSequence) return "drop";
        return sequence > this.nextSequence ? "gap" : "next";
    }
}

function hasFinishReason(chunk: Record<string, unknown>): boolean {
    const { choices } = chunk;
    return Array.isArray(choices)
        && choices.some(choice =>
            typeof (choice as { finish_reason?: unknown; } | undefined)?.finish_reason === "string"
        );
}

/** The ids that an engine gives the answer to an attempt. */
export function answerIds(attemptId: AttemptId): ReadonlySet<unknown> {
    return new Set([`chatcmpl-${attemptId}`, `cmpl-${attemptId}`]);
}

/** Parses a JSON object; undefined for anything else. */
export function parseObject(text: string): Record<string, unknown> | undefined {
    try {
        const value: unknown = JSON.parse(text);
        return typeof value === "object" && value ? value as Record<string, unknown> : undefined;
    }
    catch {
        return undefined;
    }
}
