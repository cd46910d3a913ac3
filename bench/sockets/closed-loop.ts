import { Pool } from "undici";
import { percentile } from "../bench-measure.ts";

export interface LoopResult {
    readonly requestsPerSecond: number;
    readonly p50Ms: number;
}

const BODY = JSON.stringify({ model: "model-0", messages: [{ role: "user", content: "squeaky hub" }] });

/** Runs `concurrency` callers for the given time, each of which sends its next request after the last response. */
export async function runClosedLoop(port: number, concurrency: number, durationMs: number): Promise<LoopResult> {
    const pool = new Pool(`http://127.0.0.1:${port}`, { connections: concurrency });
    const latenciesMs: number[] = [];
    const startMs = performance.now();
    const endMs = startMs + durationMs;
    const runCaller = async () => {
        while (performance.now() < endMs) {
            const sentMs = performance.now();
            const response = await pool.request({
                method: "POST",
                path: "/v1/chat/completions",
                headers: { "content-type": "application/json" },
                body: BODY,
            });
            const text = await response.body.text();
            if (response.statusCode !== 200) throw new Error(`status ${response.statusCode}: ${text}`);
            latenciesMs.push(performance.now() - sentMs);
        }
    };
    await Promise.all(Array.from({ length: concurrency }, runCaller));
    const elapsedMs = performance.now() - startMs;
    await pool.destroy();
    return { requestsPerSecond: (latenciesMs.length / elapsedMs) * 1000, p50Ms: percentile(latenciesMs, 0.5) };
}
