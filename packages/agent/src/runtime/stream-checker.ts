import type { AttemptId } from "@skylarkmill/protocol";
import type { SseEvent } from "./sse-parser.ts";

/** How one event of an engine's stream is handled. */
export type StreamVerdict =
    | "relay"
    | "done"
    /** The event contains an engine error, which ends the stream. */
    | "error"
    /** The chunk belongs to another attempt, is a duplicate or has no sequence number. */
    | "drop"
    /** Chunks are missing before this one. */
    | "gap";

/**
 * Detects the first chunk of an engine's streams: number 0, or number 1 at an engine that has never sent a 0.
 *
 * @example
 * const numbering = new StreamNumbering();
 * numbering.isFirstChunk(1); // true
 * numbering.isFirstChunk(0); // true
 * numbering.isFirstChunk(1); // false
 */
export class StreamNumbering {
    private hasSeenZero = false;

    isFirstChunk(sequence: number): boolean {
        if (sequence === 0) this.hasSeenZero = true;
        return sequence === 0 || (sequence === 1 && !this.hasSeenZero);
    }
}

/**
 * Checks that an engine's stream is the complete response to one attempt.
 *
 * @example
 * const checker = new StreamChecker(attemptId, numbering);
 * if (checker.check(event) === "relay") write(event.raw);
 */
export class StreamChecker {
    private readonly ids: ReadonlySet<unknown>;
    private nextSequence: number | undefined;
    private isFinished = false;

    constructor(attemptId: AttemptId, private readonly numbering: StreamNumbering) {
        this.ids = responseIds(attemptId);
    }

    /** Sequence number of the last relayed chunk; undefined before the first one. */
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
        const position = this.checkSequence(event.id);
        if (position !== "next") return position;
        this.nextSequence = Number(event.id) + 1;
        this.isFinished ||= hasFinishReason(chunk);
        return "relay";
    }

    /** `[DONE]` has no attempt id, so it is accepted only after a chunk of this attempt with a finish reason. */
    private checkDone(event: SseEvent): StreamVerdict {
        if (!this.isFinished) return "drop";
        if (event.id === undefined) return "done";
        const position = this.checkSequence(event.id);
        return position === "next" ? "done" : position;
    }

    private checkSequence(id: string | undefined): "next" | "drop" | "gap" {
        if (id === undefined || !/^\d{1,15}$/.test(id)) return "drop";
        const sequence = Number(id);
        if (this.nextSequence === undefined) return this.numbering.isFirstChunk(sequence) ? "next" : "gap";
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

/** The ids that an engine may use in the response to an attempt. */
export function responseIds(attemptId: AttemptId): ReadonlySet<unknown> {
    return new Set([`chatcmpl-${attemptId}`, `cmpl-${attemptId}`]);
}

/** Parses a JSON object or array. Returns undefined for primitive values and invalid JSON. */
export function parseObject(text: string): Record<string, unknown> | undefined {
    try {
        const value: unknown = JSON.parse(text);
        return typeof value === "object" && value ? value as Record<string, unknown> : undefined;
    }
    catch {
        return undefined;
    }
}
