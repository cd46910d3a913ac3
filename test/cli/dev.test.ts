import { spawnSync } from "node:child_process";
import { join } from "node:path";
import { expect, it } from "vitest";

// Guards against a demonstration that reports success although a step failed.
it("runs every step of the demonstration and exits with 0", () => {
    const { status, stdout } = spawnSync(process.execPath, ["dist/skylarkmill.cjs", "dev", "--once"], {
        cwd: join(import.meta.dirname, "../.."),
        encoding: "utf8",
        timeout: 60_000,
    });
    const results = stdout.trim().split("\n").slice(1).map(line => /\s{2}(ok|failed)\s/.exec(line)?.[1]);
    expect({ status, results }).toEqual({ status: 0, results: ["ok", "ok", "ok", "ok", "ok"] });
}, 60_000);
