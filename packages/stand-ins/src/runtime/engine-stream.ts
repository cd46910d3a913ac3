import type { ServerResponse } from "node:http";
import type { EngineRequest } from "../types/engine.ts";
import { eventCount, streamEvent } from "../utils/engine-answer.ts";
import { type EngineFaults, takeFault } from "./engine-faults.ts";

/** One streamed answer; its reader may break off and resume from a later event. */
export class EngineStream {
    readonly request: EngineRequest;
    private readonly faults: EngineFaults;
    private readonly createdS = Math.floor(Date.now() / 1000);
    private reader: ServerResponse | undefined;
    /** Ends the run behind this stream. */
    abort: AbortController | undefined;
    isAttachedOnce = false;
    private producedCount = 0;
    private sentCount = 0;
    private lateEvent: string | undefined;
    private graceTimer: NodeJS.Timeout | undefined;

    constructor(request: EngineRequest, faults: EngineFaults) {
        this.request = request;
        this.faults = faults;
    }

    get isFinished(): boolean {
        return this.producedCount >= eventCount(this.request);
    }

    /** Sends all events from `nextSequence` on to a reader, those produced already at once. */
    attach(outgoing: ServerResponse, nextSequence: number): void {
        clearTimeout(this.graceTimer);
        this.reader?.destroy();
        this.reader = outgoing;
        this.isAttachedOnce = true;
        this.sentCount = nextSequence;
        outgoing.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-store" });
        outgoing.flushHeaders();
        this.flush();
    }

    /** Calls `onAbandoned` when a broken reader does not come back in time. */
    detach(outgoing: ServerResponse, graceMs: number, onAbandoned: () => void): void {
        if (this.reader !== outgoing) return;
        this.reader = undefined;
        if (!this.isFinished) this.graceTimer = setTimeout(onAbandoned, graceMs);
    }

    /** Makes further events available. */
    produce(count: number): void {
        this.producedCount = Math.min(eventCount(this.request), this.producedCount + count);
        this.flush();
    }

    close(): void {
        clearTimeout(this.graceTimer);
        this.reader?.end();
    }

    private flush(): void {
        while (this.reader !== undefined && this.sentCount < this.producedCount) {
            const sequence = this.sentCount++;
            const late = this.lateEvent;
            if (!this.sendFaulty(this.reader, sequence)) this.reader.write(this.event(sequence));
            if (late === undefined) continue;
            this.lateEvent = undefined;
            this.reader?.write(late);
        }
        if (this.reader !== undefined && this.sentCount >= eventCount(this.request)) this.reader.end();
    }

    private event(sequence: number): string {
        return streamEvent(this.request, sequence, this.createdS);
    }

    /** Applies at most one fault per event, from the second on; returns whether the event has been dealt with. */
    private sendFaulty(reader: ServerResponse, sequence: number): boolean {
        if (sequence === 0 || sequence >= eventCount(this.request) - 1) return false;
        if (takeFault(this.faults, "crossed")) {
            const foreign = {
                ...this.request,
                requestId: "of-another-request",
                lastMessage: "FOREIGN",
                model: "FOREIGN",
            };
            reader.write(streamEvent(foreign, sequence, this.createdS));
            return false;
        }
        if (takeFault(this.faults, "duplicated")) {
            reader.write(this.event(sequence));
            return false;
        }
        if (takeFault(this.faults, "skipped")) return true;
        if (takeFault(this.faults, "late")) {
            this.lateEvent = this.event(sequence);
            return true;
        }
        if (takeFault(this.faults, "truncated")) {
            const event = this.event(sequence);
            reader.write(event.slice(0, event.length / 2), () => reader.destroy());
            this.reader = undefined;
            return true;
        }
        if (takeFault(this.faults, "unfinished")) {
            reader.end();
            this.reader = undefined;
            return true;
        }
        return false;
    }
}
