import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { expect, it } from "vitest";
import { SpawnedProcess } from "../support/spawned-process.ts";

/** Exceeds the start of Node.js; a process waits longer than that for its settings file. */
const LIFE_MS = 2_000;

// Guards against processes that end by themselves when settings change while they start.
it("SIGHUP right after the start doesn't end a gateway", async () => {
    const folder = mkdtempSync(join(tmpdir(), "skylarkmill-test-"));
    const args = ["gateway", "--node-file", join(folder, "missing.json")];
    const gateway = new SpawnedProcess({ name: "edge-1", args });
    try {
        gateway.start();
        gateway.signal("SIGHUP");
        await delay(LIFE_MS);
        expect(gateway.isRunning).toBe(true);
    }
    finally {
        await gateway.end();
        rmSync(folder, { recursive: true });
    }
});
