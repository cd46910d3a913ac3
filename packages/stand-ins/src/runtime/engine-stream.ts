import type { ServerResponse } from "node:http";
import type { EngineRequest } from "../types/engine.ts";
import { countStreamEvents, formatStreamEvent } from "../utils/completion-response.ts";
import { consumeFault, type EngineFaults } from "./engine-faults.ts";

/** Sends one streamed response; a reader whose connection broke can resume it after the last event that it received. */
export class EngineStream {
    readonly request: EngineRequest;
    private readonly faults: EngineFaults;
    private readonly createdS = Math.floor(Date.now() / 1000);
    private reader: ServerResponse | undefined;
    /** Aborts the execution that produces this stream. */
    abortController: AbortController | undefined;
    hasBeenAttached = false;
    private availableCount = 0;
    private sentCount = 0;
    /** Event held back by the fault `late`, to be sent after the next one. */
    private lateEvent: string | undefined;
    private graceTimer: NodeJS.Timeout | undefined;

    constructor(request: EngineRequest, faults: EngineFaults) {
        this.request = request;
        this.faults = faults;
    }

    get isFinished(): boolean {
        return this.availableCount >= countStreamEvents(this.request);
    }

    /** Replaces the reader and sends it all events from `nextSequence` on, available events immediately. */
    attach(outgoing: ServerResponse, nextSequence: number): void {
        clearTimeout(this.graceTimer);
        this.reader?.destroy();
        this.reader = outgoing;
        this.hasBeenAttached = true;
        this.sentCount = nextSequence;
        outgoing.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-store" });
        outgoing.flushHeaders();
        this.flush();
    }

    /** Removes a reader whose connection closed; calls `onAbandoned` if no reader resumes the stream within `graceMs`. */
    detach(outgoing: ServerResponse, graceMs: number, onAbandoned: () => void): void {
        if (this.reader !== outgoing) return;
        this.reader = undefined;
        if (!this.isFinished) this.graceTimer = setTimeout(onAbandoned, graceMs);
    }

    /** Makes further events available. */
    addEvents(count: number): void {
        this.availableCount = Math.min(countStreamEvents(this.request), this.availableCount + count);
        this.flush();
    }

    close(): void {
        clearTimeout(this.graceTimer);
        this.reader?.end();
    }

    private flush(): void {
        while (this.reader !== undefined && this.sentCount < this.availableCount) {
            const sequence = this.sentCount++;
            const late = this.lateEvent;
            if (!this.applyFault(this.reader, sequence)) this.reader.write(this.formatEvent(sequence));
            if (late === undefined) continue;
            this.lateEvent = undefined;
            this.reader?.write(late);
        }
        if (this.reader !== undefined && this.sentCount >= countStreamEvents(this.request)) this.reader.end();
    }

    private formatEvent(sequence: number): string {
        return formatStreamEvent(this.request, sequence, this.createdS);
    }

    /**
     * Applies at most one fault to an event other than the first and the last. Returns `true` if the event must not be
     * sent any more.
     */
    private applyFault(reader: ServerResponse, sequence: number): boolean {
        if (sequence === 0 || sequence >= countStreamEvents(this.request) - 1) return false;
        if (consumeFault(this.faults, "crossed")) {
            const foreign = {
                ...this.request,
                requestId: "of-another-request",
                lastMessage: "FOREIGN",
                requestedModelName: "FOREIGN",
            };
            reader.write(formatStreamEvent(foreign, sequence, this.createdS));
            return false;
        }
        if (consumeFault(this.faults, "duplicated")) {
            reader.write(this.formatEvent(sequence));
            return false;
        }
        if (consumeFault(this.faults, "skipped")) return true;
        if (consumeFault(this.faults, "late")) {
            this.lateEvent = this.formatEvent(sequence);
            return true;
        }
        if (consumeFault(this.faults, "truncated")) {
            const event = this.formatEvent(sequence);
            reader.write(event.slice(0, event.length / 2), () => reader.destroy());
            this.reader = undefined;
            return true;
        }
        if (consumeFault(this.faults, "unfinished")) {
            reader.end();
            this.reader = undefined;
            return true;
        }
        return false;
    }
}
