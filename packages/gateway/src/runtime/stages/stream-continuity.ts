import type { ResponseHead } from "../../types/engine.ts";
import { classifyUnnumberedEvent, type StreamEvent } from "../event-splitter.ts";

/** What happens to an event; one with a fault shows that the response is not the rest of the caller's stream. */
export type EventVerdict = "relay" | "skip" | { readonly fault: string; };

/** Decides which events of a stream are relayed, so that a resumed stream has no gap, repetition or foreign event. */
export class StreamContinuity {
    /** Head of the response that the caller has received. */
    firstHead: ResponseHead | undefined;
    /** Id of the last event that was relayed; before that, the one that the request names. */
    lastEventId: number | undefined;
    /** The caller received data without an id, after which the stream can't be resumed. */
    hasUnnumberedData = false;

    constructor(requestedLastEventId: number | undefined) {
        this.lastEventId = requestedLastEventId;
    }

    /**
     * @param isResponseStart Whether the event is the first one of a resumed response.
     * @param isResumed Whether the response continues after an event id that the gateway sent.
     */
    check(head: ResponseHead, event: StreamEvent, isResponseStart: boolean, isResumed: boolean): EventVerdict {
        const { lastEventId, firstHead } = this;
        if (isResponseStart && firstHead !== undefined && !isSameKind(head, firstHead)) {
            return { fault: `response with status ${head.status} in place of the rest of the stream` };
        }
        if (event.id === undefined) {
            const kind = classifyUnnumberedEvent(event.raw);
            if (kind === "foreign") return { fault: "bytes that are no event" };
            if (!isResumed) {
                this.hasUnnumberedData ||= kind === "data";
                return "relay";
            }
            return kind === "control" ? "skip" : { fault: "event without an id in a resumed stream" };
        }
        if (!isResumed || lastEventId === undefined) return "relay";
        if (event.id <= lastEventId) return "skip";
        if (event.id === lastEventId + 1) return "relay";
        return { fault: `event ${event.id} received after event ${lastEventId}` };
    }
}

/** Whether the head can belong to the rest of a response that began with the first one. */
function isSameKind(head: ResponseHead, first: ResponseHead): boolean {
    return head.status === first.status && findMediaType(head.headers) === findMediaType(first.headers);
}

function findMediaType(headers: readonly string[]): string | undefined {
    const index = headers.findIndex((name, position) => position % 2 === 0 && name.toLowerCase() === "content-type");
    return index < 0 ? undefined : headers[index + 1]!.split(";")[0]!.trim().toLowerCase();
}
