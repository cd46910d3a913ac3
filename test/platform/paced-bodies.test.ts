import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import { callInChunks } from "../support/chunked-caller.ts";
import { eventually } from "../support/eventually.ts";
import { PacedCaller } from "../support/paced-caller.ts";
import { createConfigurationDocument, HOST, PlatformFixture } from "./stand-ins/fixture.ts";

const MIB = 1024 * 1024;
const DEADLINE_MS = 25_000;
const CROWD_DEADLINE_MS = 1_500;
const CROWD_COUNT = 20;

let fixture: PlatformFixture;
let callers: PacedCaller[] = [];

beforeAll(async () => {
    fixture = await PlatformFixture.start();
    await fixture.addServer({ id: "d1", service: "desk" });
    const limits = { max_body_bytes: 4 * MIB, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 };
    fixture.store.put("op/config", createConfigurationDocument(2, { limits }, DEADLINE_MS));
    await fixture.addGateway("edge-1");
    await fixture.waitUntilServerAvailable(0, "d1");
});

afterEach(() => {
    for (const caller of callers) caller.close();
    callers = [];
});

afterAll(async () => {
    await fixture.close();
});

function createHead(deadlineMs: number): string {
    const lines = `host: ${HOST}\r\nx-attempt-id: ${fixture.newId()}\r\nx-deadline-ms: ${deadlineMs}\r\n`;
    return `POST /lookup/x HTTP/1.1\r\n${lines}`;
}

function connectCrowd(deadlineMs: number): void {
    for (let index = 0; index < CROWD_COUNT; index += 1) {
        const caller = new PacedCaller(fixture.frontPort(0));
        callers.push(caller);
        caller.send(`${createHead(deadlineMs)}transfer-encoding: chunked\r\n\r\n`);
        caller.send("1\r\nx\r\n".repeat(500_000));
    }
}

// Guards against turns of reading that refuse sound bodies, and that keep the others until nobody knows.
describe("bodies in one-byte chunks", () => {
    it.each([{ byteCount: MIB }, { byteCount: 4 * MIB }])(
        "are served in calm: $byteCount bytes",
        async ({ byteCount }) => {
            const body = "x".repeat(byteCount);
            const call = { port: fixture.frontPort(0), head: createHead(DEADLINE_MS), body, chunkByteCount: 1 };
            expect(await callInChunks(call)).toBe(200);
            expect(fixture.servers[0]!.requests.at(-1)!.body === body).toBe(true);
        },
        40_000,
    );

    it(
        "are refused as not run at their deadline where many wait for their turn, and lose their connections",
        async () => {
            const runCount = fixture.servers[0]!.requests.length;
            connectCrowd(CROWD_DEADLINE_MS);
            await Promise.all(callers.map(caller => caller.waitForEnd(caller.connectedAtMs, 20_000)));
            for (const caller of callers) {
                expect([408, 503]).toContain(caller.statuses[0]);
                expect(JSON.parse(caller.received.split("\r\n\r\n")[1]!)).toMatchObject({
                    error: { execution: "not_run" },
                });
            }
            expect(fixture.servers[0]!.requests).toHaveLength(runCount);
            expect(await fixture.call(0, "/lookup/x", { body: "small" })).toMatchObject({ status: 200 });
        },
        40_000,
    );

    it("show in the metrics and the status while they wait", async () => {
        const readMetric = async (name: string): Promise<number> => {
            const text = await fixture.gateways[0]!.gateway.metrics.registry.metrics();
            const value = new RegExp(`^skylarkmill_gateway_${name} (\\S+)$`, "m").exec(text)?.[1];
            return Number(value);
        };
        const lateCount = await readMetric('refused_bodies_total{reason="late"}') || 0;
        const before = await readMetric("costly_reads_total");
        connectCrowd(CROWD_DEADLINE_MS);
        await eventually("held connections", async () => await readMetric("held_connections") > 0 || undefined);
        expect(fixture.gateways[0]!.gateway.status()).toMatchObject({
            heldConnections: expect.any(Number) as number,
            smallBodyBytes: expect.any(Number) as number,
            bufferedBytes: expect.any(Number) as number,
        });
        await Promise.all(callers.map(caller => caller.waitForEnd(caller.connectedAtMs, 20_000)));
        expect(await readMetric("costly_reads_total")).toBeGreaterThan(before);
        expect(await readMetric("costly_read_seconds_total")).toBeGreaterThan(0);
        expect(await readMetric("held_seconds_total")).toBeGreaterThan(0);
        expect(await readMetric('refused_bodies_total{reason="late"}')).toBeGreaterThan(lateCount);
    }, 40_000);

    it("are refused as not run by a gateway that stops", async () => {
        const runCount = fixture.servers[0]!.requests.length;
        connectCrowd(DEADLINE_MS);
        await new Promise(resolve => setTimeout(resolve, 500));
        await fixture.gateways.pop()!.gateway.stop();
        await Promise.all(callers.map(caller => caller.waitForEnd(caller.connectedAtMs, 20_000)));
        for (const caller of callers) {
            expect([408, 503]).toContain(caller.statuses[0]);
            expect(JSON.parse(caller.received.split("\r\n\r\n")[1]!)).toMatchObject({
                error: { execution: "not_run" },
            });
        }
        expect(fixture.servers[0]!.requests).toHaveLength(runCount);
    }, 40_000);
});
