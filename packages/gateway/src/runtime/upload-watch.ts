import type { IncomingMessage, ServerResponse } from "node:http";

/** Interval at which unfinished bodies are checked. */
const CHECK_INTERVAL_MS = 100;

/** A request whose body is being received. */
export interface Upload {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    /** Computes the time at which the body is late; called once, and only if the body takes long. */
    readonly computeDeadlineAtMs: () => number;
    /** Called when the body is late and its request has no response yet. */
    readonly onLate: () => void;
}

/**
 * Bounds the time of request bodies. A body that goes on after its request has been refused is bounded as well, since
 * Node's server reads it to its end.
 */
export class UploadWatch {
    private readonly deadlinesAtMs = new Map<Upload, number | undefined>();
    private timer: NodeJS.Timeout | undefined;

    add(upload: Upload): void {
        this.deadlinesAtMs.set(upload, undefined);
        this.timer ??= setInterval(() => this.check(), CHECK_INTERVAL_MS).unref();
    }

    remove(upload: Upload): void {
        this.deadlinesAtMs.delete(upload);
    }

    private check(): void {
        const nowMs = performance.now();
        for (const [upload, knownDeadlineAtMs] of this.deadlinesAtMs) {
            const { request, response } = upload;
            if (request.complete || request.socket.destroyed) {
                this.remove(upload);
                continue;
            }
            const deadlineAtMs = knownDeadlineAtMs ?? upload.computeDeadlineAtMs();
            this.deadlinesAtMs.set(upload, deadlineAtMs);
            if (nowMs < deadlineAtMs) continue;
            // A refusal that waits for earlier responses of its connection; ending the connection would cut them.
            if (response.headersSent && !response.writableFinished) continue;
            this.remove(upload);
            if (response.headersSent) request.socket.destroy();
            else upload.onLate();
        }
        if (this.deadlinesAtMs.size > 0) return;
        clearInterval(this.timer);
        this.timer = undefined;
    }
}
