import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { createConfigurationDocument, PlatformFixture } from "./stand-ins/fixture.ts";

/** Together they exceed the part of the gateway's memory that responses may take. */
const CALLER_COUNT = 24;
const BODY_BYTES = 4 * 1024 * 1024;
const DEADLINE_MS = 20_000;

let fixture: PlatformFixture;

beforeAll(async () => {
    fixture = await PlatformFixture.start();
    await fixture.addServer({ id: "d1", service: "desk", bodyByteCount: BODY_BYTES });
    fixture.store.put("op/config", createConfigurationDocument(2, {}, DEADLINE_MS));
    await fixture.addGateway("edge-1");
    await fixture.waitUntilServerAvailable(0, "d1");
});

afterAll(async () => {
    await fixture.close();
});

// Guards against responses that have run and are lost because others that are being read take the memory.
describe("long responses at the same time", () => {
    it.each(["/orders/x", "/lookup/x"])("reach all callers that read: %s", async path => {
        const [server] = fixture.servers;
        const ids = Array.from({ length: CALLER_COUNT }, () => fixture.newId());
        const calls = ids.map(id =>
            fixture.call(0, path, { headers: { "x-attempt-id": id, "x-deadline-ms": String(DEADLINE_MS) } })
        );
        const results = await Promise.all(calls);
        expect(results.map(({ status, text }) => ({ status, byteCount: text.length }))).toEqual(
            ids.map(() => ({ status: 200, byteCount: BODY_BYTES })),
        );
        expect(ids.map(id => server!.countRuns(id))).toEqual(ids.map(() => 1));
    }, 60_000);
});
