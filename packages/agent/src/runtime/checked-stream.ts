import type { BackendClient, BackendRequest } from "@skylarkmill/adapters";
import type { AttemptId } from "@skylarkmill/protocol";
import type { ResponseCheckCounters } from "../types/response.ts";
import { discardBody } from "../utils/discard-body.ts";
import { type SseEvent, SseParser } from "./sse-parser.ts";
import { StreamChecker, type StreamNumbering } from "./stream-checker.ts";

const MAX_EVENT_BYTES = 1024 * 1024;

export interface CheckedStreamOptions {
    readonly backend: BackendClient;
    readonly request: BackendRequest;
    readonly attemptId: AttemptId;
    readonly numbering: StreamNumbering;
    /** False for non-idempotent requests: an engine without support for resuming would run the request again. */
    readonly canResume: boolean;
    readonly maxResumeCount: number;
    readonly counters: ResponseCheckCounters;
    /** Called once before the last bytes; `complete` is true when the response is complete. */
    readonly onEnd: (complete: boolean) => void;
}

type SegmentEnd = "done" | "error" | "broken";
type Body = AsyncIterable<Uint8Array>;

/**
 * Checks and relays the events of an engine's stream. A stream that breaks or omits chunks is resumed
 * with `Last-Event-ID`. If that fails, the last event contains an error and `[DONE]` is not sent.
 */
export async function* relayCheckedStream(first: Body, options: CheckedStreamOptions): AsyncGenerator<Uint8Array> {
    const checker = new StreamChecker(options.attemptId, options.numbering);
    let body: Body | undefined = first;
    for (let resumeCount = 0; body !== undefined; resumeCount += 1) {
        const end: SegmentEnd = yield* relaySegment(body, checker, options);
        if (end !== "broken") return;
        body = resumeCount < options.maxResumeCount ? await resumeStream(checker, options) : undefined;
    }
    options.counters.countFailedCheck("stream_incomplete");
    options.onEnd(false);
    yield createErrorEvent();
}

async function* relaySegment(
    body: Body,
    checker: StreamChecker,
    options: CheckedStreamOptions,
): AsyncGenerator<Uint8Array, SegmentEnd> {
    const parser = new SseParser(MAX_EVENT_BYTES);
    try {
        for await (const bytes of body) {
            const checked = checkEvents(parser.push(bytes), checker, options.counters);
            if (checked.end !== undefined && checked.end !== "broken") options.onEnd(checked.end === "done");
            if (checked.relayed.length > 0) yield joinBytes(checked.relayed);
            if (checked.end !== undefined) return checked.end;
        }
        return "broken";
    }
    catch {
        return "broken";
    }
}

function checkEvents(
    events: readonly SseEvent[],
    checker: StreamChecker,
    counters: ResponseCheckCounters,
): { readonly relayed: Uint8Array[]; readonly end: SegmentEnd | undefined; } {
    const relayed: Uint8Array[] = [];
    for (const event of events) {
        const verdict = checker.check(event);
        if (verdict === "gap") return { relayed, end: "broken" };
        if (verdict === "drop") {
            if (event.data !== undefined) counters.countDroppedChunk();
            continue;
        }
        relayed.push(event.raw);
        if (verdict !== "relay") return { relayed, end: verdict };
    }
    return { relayed, end: undefined };
}

/** Sends the request again to continue the stream after the last relayed chunk. */
async function resumeStream(checker: StreamChecker, options: CheckedStreamOptions): Promise<Body | undefined> {
    const { request, backend } = options;
    const last = checker.lastSequence;
    if (!options.canResume || last === undefined || request.signal.aborted) return undefined;
    const headers = { ...request.headers, "last-event-id": String(last) };
    const response = await backend.send({ ...request, headers });
    if (response.isErr()) return undefined;
    if (response.value.statusCode !== 200) {
        discardBody(response.value.body);
        return undefined;
    }
    options.counters.countResumedStream();
    return response.value.body;
}

function joinBytes(parts: readonly Uint8Array[]): Uint8Array {
    return parts.length === 1 ? parts[0]! : Buffer.concat(parts);
}

function createErrorEvent(): Uint8Array {
    const error = {
        type: "backend_error",
        code: "stream_incomplete",
        message: "The backend server did not finish the answer.",
        execution: "unknown",
    };
    return Buffer.from(`data: ${JSON.stringify({ error })}\n\n`);
}
