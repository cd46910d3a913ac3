import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { createConfigurationDocument, PlatformFixture } from "./stand-ins/fixture.ts";
import type { PlatformServerStandIn } from "./stand-ins/platform-server.ts";

const MAX_BODY_BYTES = 4 * 1024 * 1024;
const REQUEST_COUNT = 60;
/** Memory of the gateway by its settings. */
const MEMORY_LIMIT_BYTES = 256_000_000;

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
    await fixture.addServer({ id: "d1", service: "desk" });
    const limits = {
        max_header_bytes: 16_384,
        max_body_bytes: MAX_BODY_BYTES,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    };
    fixture.store.put("op/config", createConfigurationDocument(2, { limits }, 20_000));
    await fixture.addGateway("edge-1");
    for (const id of ["e1", "d1"]) await fixture.waitUntilServerAvailable(0, id);
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
