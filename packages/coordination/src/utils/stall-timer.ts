import { ByteCollector } from "./byte-collector.ts";

/**
 * Aborts a transfer that stalls or takes too long altogether. A large response over a narrow link takes longer than a
 * small one, so that a single timeout for both would either never let it complete or hide a silent peer.
 *
 * @example
 * const timer = new StallTimer(700, 6_000);
 * const response = await agent.request({ ...request, signal: timer.signal });
 * const text = await timer.readText(response.body, 1024 * 1024);
 */
export class StallTimer {
    private readonly controller = new AbortController();
    private readonly stallTimeoutMs: number;
    private stallTimer: NodeJS.Timeout | undefined;
    private readonly totalTimer: NodeJS.Timeout;
    private byteCount = 0;

    /**
     * @param stallTimeoutMs longest time between two parts of the response
     * @param totalTimeoutMs longest time until the end of the response
     * @param firstByteTimeoutMs longest time until the first part of the response
     */
    constructor(stallTimeoutMs: number, totalTimeoutMs: number, firstByteTimeoutMs = stallTimeoutMs) {
        this.stallTimeoutMs = stallTimeoutMs;
        this.totalTimer = setTimeout(() => this.abort(`not complete after ${totalTimeoutMs} ms`), totalTimeoutMs);
        this.restart(firstByteTimeoutMs);
    }

    get signal(): AbortSignal {
        return this.controller.signal;
    }

    /** Number of bytes of the body that have arrived. */
    get receivedByteCount(): number {
        return this.byteCount;
    }

    /**
     * Reads a body to its end. Throws the error of the body, the reason of the abort, or a `RangeError` as soon as the body
     * exceeds `maxBytes`.
     */
    async readText(body: AsyncIterable<Uint8Array>, maxBytes: number): Promise<string> {
        const collector = new ByteCollector();
        this.restart(this.stallTimeoutMs);
        for await (const chunk of body) {
            this.byteCount += chunk.length;
            if (this.byteCount > maxBytes) throw new RangeError(`the response is longer than ${maxBytes} bytes`);
            collector.append(chunk);
            this.restart(this.stallTimeoutMs);
        }
        return collector.toBuffer().toString("utf8");
    }

    stop(): void {
        clearTimeout(this.stallTimer);
        clearTimeout(this.totalTimer);
    }

    private restart(timeoutMs: number): void {
        clearTimeout(this.stallTimer);
        if (this.signal.aborted) return;
        this.stallTimer = setTimeout(() => this.abort(`nothing received for ${timeoutMs} ms`), timeoutMs);
    }

    private abort(reason: string): void {
        this.stop();
        this.controller.abort(new Error(reason));
    }
}
