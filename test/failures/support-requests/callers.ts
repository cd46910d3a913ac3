import { monitorEventLoopDelay } from "node:perf_hooks";
import { Agent, request } from "undici";
import { type Outcome, toOutcome } from "./outcome.ts";

/** Time after its deadline within which a request must have ended. */
export const MAX_LATENESS_MS = 100;
/** Time after its deadline from which a request without an end counts as timed out. */
const TIMED_OUT_AFTER_MS = 3000;

export interface SendOptions {
    readonly method?: "GET" | "POST";
    readonly url: string;
    readonly requestId: string;
    readonly timeoutMs: number;
    readonly body?: unknown;
    readonly headers?: Readonly<Record<string, string>>;
    /** The caller disconnects after this time. */
    readonly disconnectAfterMs?: number | undefined;
}

export interface SentRequest {
    readonly requestId: string;
    readonly url: string;
    readonly timeoutMs: number;
    readonly elapsedMs: number;
    readonly outcome: Outcome;
}

/** Sends the requests of one test, each over its own connection, and records how they ended. */
export class Callers {
    readonly sent: SentRequest[] = [];
    private readonly dispatcher = new Agent({ connections: 512, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });
    private readonly loopDelay = monitorEventLoopDelay({ resolution: 5 });

    constructor() {
        this.loopDelay.enable();
    }

    async send(options: SendOptions): Promise<SentRequest> {
        const startMs = performance.now();
        const outcome = await this.sendOnce(options);
        const { requestId, url, timeoutMs } = options;
        const sent = { requestId, url, timeoutMs, outcome, elapsedMs: performance.now() - startMs };
        this.sent.push(sent);
        return sent;
    }

    /** Describes the requests that ended too late, with the event-loop delay of this process as a possible cause. */
    describeLateRequests(): readonly string[] {
        const maxDelayMs = Math.round(this.loopDelay.max / 1e6);
        const late = this.sent.filter(({ outcome, elapsedMs, timeoutMs }) =>
            outcome.kind !== "disconnected" && elapsedMs > timeoutMs + MAX_LATENESS_MS
        );
        return late.map(({ requestId, timeoutMs, elapsedMs, outcome }) =>
            `${requestId}: deadline ${timeoutMs} ms, ended after ${Math.round(elapsedMs)} ms with `
            + `${JSON.stringify(outcome).slice(0, 200)}; largest event-loop delay of the test ${maxDelayMs} ms`
        );
    }

    /** Describes the requests that were neither answered nor refused, and whose callers did not disconnect. */
    describeLostRequests(): readonly string[] {
        const hasKnownOutcome = ({ outcome }: SentRequest): boolean =>
            outcome.kind === "response" || outcome.kind === "refusal" || outcome.kind === "disconnected";
        return this.sent.filter(sent => !hasKnownOutcome(sent)).map(sent => JSON.stringify(sent).slice(0, 300));
    }

    /** Clears the recorded requests before the next case. */
    reset(): void {
        this.sent.length = 0;
        this.loopDelay.reset();
    }

    async close(): Promise<void> {
        this.loopDelay.disable();
        await this.dispatcher.destroy();
    }

    private async sendOnce(options: SendOptions): Promise<Outcome> {
        const { method = "POST", url, requestId, timeoutMs, body, headers, disconnectAfterMs } = options;
        const endMs = disconnectAfterMs ?? timeoutMs + TIMED_OUT_AFTER_MS;
        const abort = new AbortController();
        const timer = setTimeout(() => abort.abort(), endMs);
        let hasResponseHead = false;
        try {
            const response = await request(url, {
                method,
                dispatcher: this.dispatcher,
                headers: {
                    "content-type": "application/json",
                    "x-request-id": requestId,
                    "x-request-timeout-ms": String(timeoutMs),
                    ...headers,
                },
                ...(body === undefined ? {} : { body: JSON.stringify(body) }),
                signal: abort.signal,
            });
            hasResponseHead = true;
            return toOutcome(response, await response.body.text());
        }
        catch (cause) {
            if (abort.signal.aborted) return { kind: disconnectAfterMs === undefined ? "timed_out" : "disconnected" };
            return { kind: "broken", code: (cause as NodeJS.ErrnoException).code ?? String(cause), hasResponseHead };
        }
        finally {
            clearTimeout(timer);
        }
    }
}
