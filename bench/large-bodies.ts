import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { createConfigurationDocument, HOST, PlatformFixture } from "../test/platform/stand-ins/fixture.ts";
import { startGatewayProcess } from "../test/platform/stand-ins/gateway-process.ts";
import { type BenchRow, percentile, roundForReport } from "./bench-measure.ts";

const BODY_BYTES = 4 * 1024 * 1024;
const USUAL_PER_SECOND = 3.2;
const TRAFFIC_FACTORS = [1, 2.4, 10] as const;
const LOAD_MS = 8_000;
const SMALL_INTERVAL_MS = 50;
const ENGINE_COUNT = 4;
const EVENT_COUNT = 45;
const EVENT_INTERVAL_MS = 100;
const DEADLINE_MS = 12_000;
const MEMORY_LIMIT_MB = 350;
const MAX_MEMORY_SHARE = 0.85;
const MEMORY_CHECK_MS = 20;

/** What one gateway did under one load. */
interface LoadResult {
    readonly peakBytes: number;
    readonly servedCount: number;
    readonly refusedCount: number;
    readonly lostCount: number;
    readonly smallCount: number;
    readonly servedSmallCount: number;
    readonly smallP99Ms: number;
}

/** Measures the memory of a gateway while large bodies come, and what it serves, at several loads. */
export async function measureLargeBodies(detail: (line: string) => void): Promise<readonly BenchRow[]> {
    const fixture = await PlatformFixture.start();
    const folder = mkdtempSync(join(tmpdir(), "skylarkmill-"));
    try {
        for (let index = 1; index <= ENGINE_COUNT; index += 1) {
            await fixture.addServer({
                id: `e${index}`,
                service: "assistant",
                models: ["m1"],
                eventCount: EVENT_COUNT,
                eventIntervalMs: EVENT_INTERVAL_MS,
            });
        }
        await fixture.addServer({ id: "d1", service: "desk" });
        const limits = {
            max_header_bytes: 16_384,
            max_body_bytes: BODY_BYTES,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        };
        fixture.store.put("op/config", createConfigurationDocument(2, { limits }, DEADLINE_MS));
        const rows: BenchRow[] = [];
        for (const factor of TRAFFIC_FACTORS) {
            const result = await runLoad(fixture, folder, factor);
            detail(`large bodies, ${factor} x: ${JSON.stringify(result)}`);
            rows.push(...toRows(factor, result));
        }
        return rows;
    }
    finally {
        await fixture.close();
        rmSync(folder, { recursive: true, force: true });
    }
}

async function runLoad(fixture: PlatformFixture, folder: string, factor: number): Promise<LoadResult> {
    const settings = await fixture.createSettings(`edge-${factor}`);
    const limits = { ...settings.limits, memory_mb: MEMORY_LIMIT_MB };
    const gateway = await startGatewayProcess({ ...settings, limits }, folder, "d1");
    let peakBytes = 0;
    const memoryTimer = setInterval(
        () => peakBytes = Math.max(peakBytes, gateway.process.readMemoryBytes()),
        MEMORY_CHECK_MS,
    );
    const url = `http://127.0.0.1:${gateway.port}`;
    const body = Buffer.alloc(BODY_BYTES, "x");
    const callOnce = async (path: string, headers: object, payload: Buffer | undefined): Promise<number> => {
        try {
            const response = await request(`${url}${path}`, {
                method: payload === undefined ? "GET" : "POST",
                headers: { "host": HOST, "x-attempt-id": fixture.newId(), ...headers },
                body: payload,
            });
            await response.body.dump({ limit: Number.MAX_SAFE_INTEGER });
            return response.statusCode;
        }
        catch {
            return 0;
        }
    };
    const smallLatenciesMs: number[] = [];
    const callSmall = async (): Promise<number> => {
        const startedAtMs = performance.now();
        const status = await callOnce("/lookup/x", { "x-deadline-ms": "2000" }, undefined);
        smallLatenciesMs.push(performance.now() - startedAtMs);
        return status;
    };
    const largeHeaders = { "x-model": "m1", "x-deadline-ms": String(DEADLINE_MS) };
    const [large, small] = await Promise.all([
        runAtRate(1_000 / (USUAL_PER_SECOND * factor), () => callOnce("/chat/x", largeHeaders, body)),
        runAtRate(SMALL_INTERVAL_MS, callSmall),
    ]);
    clearInterval(memoryTimer);
    await gateway.process.end();
    const countStatus = (status: number): number => large.filter(other => other === status).length;
    return {
        peakBytes,
        servedCount: countStatus(200),
        refusedCount: countStatus(503),
        lostCount: large.length - countStatus(200) - countStatus(503),
        smallCount: small.length,
        servedSmallCount: small.filter(status => status === 200).length,
        smallP99Ms: percentile(smallLatenciesMs, 0.99),
    };
}

/** Starts a call at each interval, whether earlier ones have ended or not, and waits for all of them. */
async function runAtRate(intervalMs: number, callOnce: () => Promise<number>): Promise<readonly number[]> {
    const calls: Promise<number>[] = [];
    const startedAtMs = performance.now();
    while (performance.now() - startedAtMs < LOAD_MS) {
        calls.push(callOnce());
        const nextAtMs = startedAtMs + calls.length * intervalMs;
        await new Promise(resolve => setTimeout(resolve, Math.max(0, nextAtMs - performance.now())));
    }
    return Promise.all(calls);
}

function toRows(factor: number, result: LoadResult): readonly BenchRow[] {
    const { peakBytes, servedCount, refusedCount, lostCount, smallCount, servedSmallCount } = result;
    const deployment = `${factor} x the traffic`;
    const memoryShare = peakBytes / (MEMORY_LIMIT_MB * 1e6);
    const largeCount = servedCount + refusedCount + lostCount;
    return [
        {
            measure: "memory with 4 MB bodies (MB)",
            deployment,
            baseline: MEMORY_LIMIT_MB,
            ours: roundForReport(peakBytes / 1e6),
            ratio: roundForReport(memoryShare),
            target: `<= ${MAX_MEMORY_SHARE} of the limit`,
            verdict: memoryShare <= MAX_MEMORY_SHARE ? "pass" : "fail",
        },
        {
            measure: "4 MB bodies served (share)",
            deployment,
            baseline: roundForReport(refusedCount / largeCount),
            ours: roundForReport(servedCount / largeCount),
            ratio: lostCount,
            target: "the rest refused (baseline), 0 lost",
            verdict: lostCount === 0 ? "pass" : "fail",
        },
        {
            measure: "small requests served beside them (share)",
            deployment,
            baseline: 1,
            ours: roundForReport(servedSmallCount / smallCount),
            ratio: roundForReport(servedSmallCount / smallCount),
            target: "all",
            verdict: servedSmallCount === smallCount ? "pass" : "fail",
        },
    ];
}
