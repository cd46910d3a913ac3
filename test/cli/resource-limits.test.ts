import type { PlatformSettings } from "@skylarkmill/platform";
import { spawnSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { HOST, PlatformFixture } from "../platform/stand-ins/fixture.ts";
import { formatSettings } from "../platform/stand-ins/gateway-process.ts";
import { createLoopbackAddress } from "../support/cluster-layout.ts";
import { eventually } from "../support/eventually.ts";
import { callRaw } from "../support/raw-caller.ts";
import { SpawnedProcess } from "../support/spawned-process.ts";

const KIB_PER_GIB = 1024 * 1024;
/** Less than what V8 reserves for WebAssembly on x86-64; on arm64 it reserves nothing. */
const LITTLE_GIB = 4;

/** Whether WebAssembly works in a process of Node.js with little address space. */
function hasRoomForWebAssembly(): boolean {
    const command = [process.execPath, "-e", "new WebAssembly.Memory({ initial: 1 })"];
    return spawnSync("sh", ["-c", `ulimit -v ${LITTLE_GIB * KIB_PER_GIB}; exec "$@"`, "sh", ...command]).status === 0;
}

/** Flags of Node.js in the deploy file. */
function readDeployFlags(): string[] {
    const text = readFileSync(join(import.meta.dirname, "../../deploy/system.toml"), "utf8");
    return /^run = "node (.*) target\/gateway\.cjs"$/m.exec(text)![1]!.split(" ");
}

describe("a gateway under a resource limit", () => {
    let fixture: PlatformFixture;
    let folder: string;
    let spawned: SpawnedProcess;

    beforeEach(async () => {
        folder = mkdtempSync(join(tmpdir(), "skylarkmill-test-"));
        fixture = await PlatformFixture.start();
        await fixture.addServer({ id: "d1", service: "desk" });
    });

    afterEach(async () => {
        await spawned.end();
        await fixture.close();
        rmSync(folder, { recursive: true });
    });

    async function start(setup: string, nodeFlags: readonly string[]) {
        const settings = await fixture.createSettings("edge-1");
        const nodeFile = join(folder, "edge-1.json");
        writeFileSync(nodeFile, formatSettings(settings));
        const args = ["gateway", "--node-file", nodeFile];
        spawned = new SpawnedProcess({ name: "edge-1", args, nodeFlags, setup });
        spawned.start();
        return settings.listen_addrs;
    }

    // Guards against a gateway that lives but is never ready, because WebAssembly reserves 10 GB of address space.
    it.each([
        { sizeGib: 2, flags: readDeployFlags() },
        { sizeGib: 14, flags: [] },
    ])("is ready and serves with $sizeGib GB of address space and the flags $flags", async ({ sizeGib, flags }) => {
        await expectToServe(await start(`ulimit -v ${sizeGib * KIB_PER_GIB}`, flags));
    }, 40_000);

    async function expectToServe({ front, ready }: PlatformSettings["listen_addrs"]): Promise<void> {
        await eventually("the gateway is ready", async () => {
            const { status } = await fetch(`http://${ready.host}:${ready.port}/api/ready`);
            return status === 200 || undefined;
        });
        const headers = { "host": HOST, "x-attempt-id": "order-1", "x-deadline-ms": "5000" };
        const response = await callRaw({ port: front.port, path: "/orders/x", version: "1.1", headers });
        expect(response).toMatchObject({ status: 200, isComplete: true });
    }

    it("says why it exits when it has too little address space", async () => {
        const listen = await start(`ulimit -v ${LITTLE_GIB * KIB_PER_GIB}`, []);
        // Where V8 reserves nothing this is enough, so the process has no reason to exit.
        if (hasRoomForWebAssembly()) return await expectToServe(listen);
        const line = await spawned.waitForLine(/"level":60/);
        const { step, err } = JSON.parse(line) as { step: string; err: { message: string; }; };
        expect(step).toBe("start.memory");
        expect(err.message).toContain("--disable-wasm-trap-handler");
        await eventually("the process exits", () => spawned.exitCode !== undefined || undefined);
        expect(spawned.exitCode).toBe(1);
    }, 40_000);
});

// Guards against a router that lives although each of its calls fails.
it("a router says why it exits when it has too little address space", async () => {
    const address = createLoopbackAddress();
    const router = new SpawnedProcess({
        name: "router-1",
        args: [
            "router",
            "--host-id=h1",
            "--data-centre=edinburgh",
            `--kv-endpoints=http://${address}:1`,
            `--hosts-url=http://${address}:1/hosts`,
            `--peer-listen=${address}:0`,
            `--listen=${address}:0`,
            `--operator-listen=${address}:0`,
        ],
        env: { SKYLARKMILL_PEER_KEYS: "peer-key-in-use", SKYLARKMILL_TEAM_TOKENS: "workshops=token-of-may" },
        setup: `ulimit -v ${LITTLE_GIB * KIB_PER_GIB}`,
    });
    router.start();
    try {
        if (hasRoomForWebAssembly()) {
            await router.waitForLine(/"step":"start"/);
            expect(router.isRunning).toBe(true);
            return;
        }
        expect(await router.waitForLine(/"level":60/)).toContain("--disable-wasm-trap-handler");
        await eventually("the process exits", () => router.exitCode !== undefined || undefined);
        expect(router.exitCode).toBe(1);
    }
    finally {
        await router.end();
    }
}, 40_000);
