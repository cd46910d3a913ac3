import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { createConfigurationDocument, HOST, PlatformFixture } from "./stand-ins/fixture.ts";
import { startGatewayProcess } from "./stand-ins/gateway-process.ts";
import type { PlatformServerStandIn } from "./stand-ins/platform-server.ts";

const MAX_BODY_BYTES = 4 * 1024 * 1024;
const REQUEST_COUNT = 60;
/** Memory of the gateway by its settings. */
const MEMORY_LIMIT_BYTES = 256_000_000;
const CALLER_COUNT = 16;
const LOAD_MS = 12_000;
/** Share of its memory that a gateway may take at most. */
const MAX_MEMORY_SHARE = 0.85;
const LIMITS = {
    max_header_bytes: 16_384,
    max_body_bytes: MAX_BODY_BYTES,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};

let fixture: PlatformFixture;
let engine: PlatformServerStandIn;

beforeAll(async () => {
    fixture = await PlatformFixture.start();
    engine = await fixture.addServer({
        id: "e1",
        service: "assistant",
        models: ["m1"],
        eventCount: 40,
        eventIntervalMs: 50,
    });
    await fixture.addServer({ id: "e2", service: "assistant", models: ["m2"], uploadPauseMs: 400 });
    await fixture.addServer({ id: "d1", service: "desk" });
    fixture.store.put("op/config", createConfigurationDocument(2, { limits: LIMITS }, 20_000));
    await fixture.addGateway("edge-1");
    for (const id of ["e1", "e2", "d1"]) await fixture.waitUntilServerAvailable(0, id);
});

afterAll(async () => {
    await fixture.close();
});

// Guards against a gateway that exceeds its memory, and is killed with all its requests, because bodies of the allowed
// size have no common bound.
describe("large bodies at the same time", () => {
    it("are refused as not run where they have no room, and small requests beside them are served", async () => {
        const body = "x".repeat(MAX_BODY_BYTES);
        const ids = Array.from({ length: REQUEST_COUNT }, () => fixture.newId());
        const calls = ids.map(id =>
            fixture.call(0, "/chat/x", {
                headers: { "x-attempt-id": id, "x-model": "m1", "x-deadline-ms": "20000" },
                body,
            })
        );
        await new Promise(resolve => setTimeout(resolve, 500));
        expect(await fixture.call(0, "/orders/x", { body: "small" })).toMatchObject({ status: 200 });
        const results = await Promise.all(calls);
        const refused = results.filter(({ status }) => status === 503);
        const servedCount = results.filter(({ status }) => status === 200).length;
        expect(servedCount + refused.length).toBe(REQUEST_COUNT);
        expect(servedCount).toBeGreaterThan(0);
        expect(servedCount * MAX_BODY_BYTES).toBeLessThan(MEMORY_LIMIT_BYTES / 2);
        for (const { headers, text } of refused) {
            expect(headers["retry-after"]).toBeDefined();
            expect(JSON.parse(text)).toMatchObject({ error: { code: "no_memory", execution: "not_run" } });
        }
        const runCounts = ids.map(id => engine.countRuns(id));
        expect(runCounts).toEqual(results.map(({ status }) => status === 200 ? 1 : 0));
    }, 30_000);

    it("are served again once the others are done", async () => {
        const headers = { "x-model": "m1", "x-deadline-ms": "20000" };
        const body = "x".repeat(MAX_BODY_BYTES);
        expect(await fixture.call(0, "/chat/x", { headers, body })).toMatchObject({ status: 200, isTruncated: false });
    }, 30_000);
});

// Guards against a gateway that is killed for its memory because the bodies of ended requests wait for the garbage
// collector, which runs long after the memory has been used up.
describe("large bodies one after another", () => {
    it("take no more memory than bodies at the same time", async () => {
        const folder = mkdtempSync(join(tmpdir(), "skylarkmill-"));
        const settings = await fixture.createSettings("edge-2");
        const gateway = await startGatewayProcess(settings, folder, "e1");
        try {
            const url = `http://127.0.0.1:${settings.listen_addrs.front.port}/draft/x`;
            const body = Buffer.alloc(MAX_BODY_BYTES, "x");
            const statuses = new Map<number, number>();
            let peakBytes = 0;
            const endAtMs = performance.now() + LOAD_MS;
            const callInTurn = async (): Promise<void> => {
                while (performance.now() < endAtMs) {
                    const headers = { host: HOST, "x-attempt-id": fixture.newId(), "x-model": "m1" };
                    const response = await request(url, { method: "POST", headers, body });
                    await response.body.dump();
                    statuses.set(response.statusCode, (statuses.get(response.statusCode) ?? 0) + 1);
                    engine.requests.length = 0;
                    peakBytes = Math.max(peakBytes, gateway.process.readMemoryBytes());
                }
            };
            await Promise.all(Array.from({ length: CALLER_COUNT }, callInTurn));
            expect([...statuses.keys()].sort()).toEqual([200, 503]);
            expect(peakBytes).toBeLessThan(MAX_MEMORY_SHARE * MEMORY_LIMIT_BYTES);
        }
        finally {
            await gateway.process.end();
            rmSync(folder, { recursive: true, force: true });
        }
    }, 60_000);
});

// Guards against a body that reaches a server with the bytes of a later one, written to the same memory.
describe("bodies whose memory is used again", () => {
    it("arrive unchanged at servers that read late, beside callers that leave", async () => {
        const expected = new Map<string, string>();
        const callOnce = async (index: number): Promise<void> => {
            const id = fixture.newId();
            const body = `${id} `.repeat(Math.floor(MAX_BODY_BYTES / (id.length + 1)));
            const willLeave = index % 3 === 0;
            if (!willLeave) expected.set(id, body);
            const signal = AbortSignal.timeout(willLeave ? 100 + index * 10 : 20_000);
            const headers = { "x-attempt-id": id, "x-model": "m2", "x-deadline-ms": "20000" };
            const call = fixture.call(0, "/draft/x", { headers, body, signal });
            if (willLeave) await call.catch(() => undefined);
            else expect(await call).toMatchObject({ status: 200, isTruncated: false });
        };
        for (let round = 0; round < 4; round += 1) {
            await Promise.all(Array.from({ length: 8 }, (_, index) => callOnce(index)));
        }
        const requests = fixture.servers.flatMap(server => server.requests);
        const received = new Map(requests.map(({ id, body }) => [id, body]));
        const changed = [...expected].filter(([id, body]) => received.get(id) !== body).map(([id]) => id);
        expect(changed).toEqual([]);
        expect(expected.size).toBe(20);
    }, 60_000);
});
