import { randomUUID } from "node:crypto";
import { Agent, request } from "undici";

export interface LoadTestOptions {
    readonly targets: readonly string[];
    readonly models: readonly string[];
    readonly requestsPerSecond: number;
    readonly durationMs: number;
    readonly timeoutMs: number;
    readonly maxTokens: number;
    readonly stream: boolean;
}

export interface LoadTestReport {
    readonly sentCount: number;
    readonly completeCount: number;
    /** Number of responses with a status other than 200, by status and error code. */
    readonly refusals: Readonly<Record<string, number>>;
    /** Requests whose connection failed before the end of the response. */
    readonly brokenCount: number;
    /** Responses with status 200 that lack the request's message or, if streamed, the final event. */
    readonly wrongCount: number;
    /** Median duration of the complete responses. */
    readonly p50Ms: number;
    /** 99th percentile of the same durations. */
    readonly p99Ms: number;
    readonly maxMs: number;
    /** Requests that ended more than 100 ms after their deadline. */
    readonly lateCount: number;
}

type Outcome = {
    readonly kind: "complete" | "wrong" | "broken" | "refused";
    readonly detail: string;
    readonly elapsedMs: number;
};

/** Time after its deadline from which a request counts as late. */
const LATE_TOLERANCE_MS = 100;

async function sendRequest(options: LoadTestOptions, index: number, dispatcher: Agent): Promise<Outcome> {
    const message = `request ${randomUUID()}`;
    const startMs = performance.now();
    const readElapsedMs = (): number => performance.now() - startMs;
    try {
        const response = await request(`${options.targets[index % options.targets.length]!}/v1/chat/completions`, {
            method: "POST",
            dispatcher,
            headers: { "content-type": "application/json", "x-request-timeout-ms": String(options.timeoutMs) },
            body: JSON.stringify({
                model: options.models[index % options.models.length],
                messages: [{ role: "user", content: message }],
                max_tokens: options.maxTokens,
                stream: options.stream,
            }),
        });
        const text = await response.body.text();
        if (response.statusCode !== 200) {
            const code = /"code":\s*"([^"]+)"/.exec(text)?.[1] ?? "none";
            return { kind: "refused", detail: `${response.statusCode} ${code}`, elapsedMs: readElapsedMs() };
        }
        const isComplete = text.includes(message) && (!options.stream || text.includes("[DONE]"));
        return { kind: isComplete ? "complete" : "wrong", detail: "", elapsedMs: readElapsedMs() };
    }
    catch (cause) {
        return { kind: "broken", detail: String(cause), elapsedMs: readElapsedMs() };
    }
}

function percentile(sorted: readonly number[], fraction: number): number {
    const value = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
    return Math.round(value * 10) / 10;
}

function toReport(outcomes: readonly Outcome[], timeoutMs: number): LoadTestReport {
    const count = (kind: Outcome["kind"]): number => outcomes.filter(outcome => outcome.kind === kind).length;
    const refusals: Record<string, number> = {};
    for (const { kind, detail } of outcomes) if (kind === "refused") refusals[detail] = (refusals[detail] ?? 0) + 1;
    const durationsMs = outcomes.filter(outcome => outcome.kind === "complete").map(outcome => outcome.elapsedMs).sort((
        a,
        b,
    ) => a - b);
    return {
        sentCount: outcomes.length,
        completeCount: count("complete"),
        refusals,
        brokenCount: count("broken"),
        wrongCount: count("wrong"),
        p50Ms: percentile(durationsMs, 0.5),
        p99Ms: percentile(durationsMs, 0.99),
        maxMs: percentile(durationsMs, 1),
        lateCount: outcomes.filter(outcome => outcome.elapsedMs > timeoutMs + LATE_TOLERANCE_MS).length,
    };
}

/**
 * Sends chat requests at a fixed rate, regardless of how many are still in progress, and reports their outcomes.
 *
 * @example
 * const report = await runLoadTest({ targets: ["http://127.0.0.1:8080"], models: ["diagnosis"], requestsPerSecond: 50,
 *     durationMs: 10_000, timeoutMs: 5000, maxTokens: 32, stream: false });
 */
export async function runLoadTest(options: LoadTestOptions): Promise<LoadTestReport> {
    const dispatcher = new Agent({ pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });
    const outcomes: Promise<Outcome>[] = [];
    const startMs = performance.now();
    await new Promise<void>(resolve => {
        const tick = setInterval(() => {
            const elapsedMs = Math.min(performance.now() - startMs, options.durationMs);
            const dueCount = Math.floor((elapsedMs / 1000) * options.requestsPerSecond);
            while (outcomes.length < dueCount) outcomes.push(sendRequest(options, outcomes.length, dispatcher));
            if (elapsedMs < options.durationMs) return;
            clearInterval(tick);
            resolve();
        }, 5);
    });
    const report = toReport(await Promise.all(outcomes), options.timeoutMs);
    await dispatcher.destroy();
    return report;
}
