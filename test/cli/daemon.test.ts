import { execFileSync } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { open } from "node:fs/promises";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { HOST, PlatformFixture } from "../platform/stand-ins/fixture.ts";
import {
    formatSettings,
    type GatewayProcess,
    startGatewayProcess,
    waitUntilServerKnown,
} from "../platform/stand-ins/gateway-process.ts";
import { eventually } from "../support/eventually.ts";
import { callRaw } from "../support/raw-caller.ts";
import { SpawnedProcess } from "../support/spawned-process.ts";

const SIGNAL_INTERVAL_MS = 100;
/** Longer than a process takes to reach the binding of its ports. */
const PORT_HOLD_MS = 1_500;

let fixture: PlatformFixture;
let folder: string;
let gateway: GatewayProcess | undefined;

beforeEach(async () => {
    folder = mkdtempSync(join(tmpdir(), "skylarkmill-test-"));
    fixture = await PlatformFixture.start();
});

afterEach(async () => {
    await gateway?.process.end();
    gateway = undefined;
    await fixture.close();
    rmSync(folder, { recursive: true });
});

describe("a gateway's process", () => {
    // Guards against a process that ends by itself because SIGHUP arrives while it starts.
    it("continues to start when SIGHUP is sent before its settings are read", async () => {
        await fixture.addServer({ id: "d1", service: "desk" });
        const settings = await fixture.createSettings("edge-1");
        // Reading a pipe blocks the process until the settings are written.
        const nodeFile = join(folder, "settings.pipe");
        execFileSync("mkfifo", [nodeFile]);
        const spawned = new SpawnedProcess({ name: "edge-1", args: ["gateway", "--node-file", nodeFile] });
        gateway = { process: spawned, port: settings.listen_addrs.front.port };
        spawned.start();
        const pipe = await open(nodeFile, "w");
        spawned.signal("SIGHUP");
        await sleep(SIGNAL_INTERVAL_MS);
        expect(spawned.exitCode).toBeUndefined();
        await pipe.writeFile(formatSettings(settings));
        await pipe.close();
        await waitUntilServerKnown(settings, "d1");
    }, 40_000);

    // Guards against a stop that cuts requests and exits with code 1 because SIGTERM was sent twice.
    it("completes its requests when SIGTERM is sent several times", async () => {
        const desk = await fixture.addServer({ id: "d1", service: "desk", responseDelayMs: 1_500 });
        gateway = await startGatewayProcess(await fixture.createSettings("edge-1"), folder, "d1");
        const headers = { "host": HOST, "x-attempt-id": "order-1", "x-deadline-ms": "5000" };
        const response = callRaw({ port: gateway.port, path: "/orders/x", version: "1.1", headers });
        await eventually("the order runs", () => desk.countRuns("order-1") > 0 || undefined);
        for (let count = 0; count < 3; count += 1) {
            gateway.process.signal("SIGTERM");
            await sleep(SIGNAL_INTERVAL_MS);
        }
        expect(await response).toMatchObject({ status: 200, isComplete: true });
        await eventually("the process exits", () => gateway!.process.exitCode !== undefined || undefined);
        expect(gateway.process.exitCode).toBe(0);
    }, 40_000);

    // Guards against a process that uses a whole processor and never exits because its log can't be written.
    it("serves requests and stops when its log is closed", async () => {
        await fixture.addServer({ id: "d1", service: "desk" });
        gateway = await startGatewayProcess(await fixture.createSettings("edge-1"), folder, "d1");
        gateway.process.closeOutput();
        const headers = { "host": HOST, "x-attempt-id": "order-1", "x-deadline-ms": "5000" };
        // A refusal is logged.
        const refused = await callRaw({ port: gateway.port, path: "/nothing/x", version: "1.1", headers });
        expect(refused.status).toBe(404);
        gateway.process.signal("SIGTERM");
        const response = await callRaw({ port: gateway.port, path: "/orders/x", version: "1.1", headers });
        expect(response).toMatchObject({ status: 200, isComplete: true });
        await eventually("the process exits", () => gateway!.process.exitCode !== undefined || undefined);
        expect(gateway.process.exitCode).toBe(0);
    }, 40_000);

    // Guards against a process that ends at its start because a connection of another process holds its port for a moment.
    it("waits for a port that is in use when it starts", async () => {
        await fixture.addServer({ id: "d1", service: "desk" });
        const settings = await fixture.createSettings("edge-1");
        const holder = createServer();
        const { port } = settings.listen_addrs.front;
        await new Promise<void>(resolve => holder.listen(port, "127.0.0.1", resolve));
        const starting = startGatewayProcess(settings, folder, "d1");
        await sleep(PORT_HOLD_MS);
        await new Promise(resolve => holder.close(resolve));
        gateway = await starting;
        const { ready } = settings.listen_addrs;
        await eventually("the gateway is ready", async () => {
            const { status } = await fetch(`http://${ready.host}:${ready.port}/api/ready`);
            return status === 200 || undefined;
        });
        const headers = { "host": HOST, "x-attempt-id": "order-1", "x-deadline-ms": "5000" };
        const response = await callRaw({ port: gateway.port, path: "/orders/x", version: "1.1", headers });
        expect(response).toMatchObject({ status: 200, isComplete: true });
    }, 40_000);
});
