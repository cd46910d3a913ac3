import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect, it, onTestFinished } from "vitest";
import { Soak } from "./soak.ts";

const DURATION_MS = 8_000;

// Guards against cut responses that look complete, wrong refusals, repeated execution, requests that a planned stop loses
// and processes that end by themselves, when several processes are stopped, frozen and killed at once.
it.each([
    { name: "signals, killed processes and failing servers", seed: 20_261_205, isPlanned: false },
    { name: "stops, hangups and changes of the configuration", seed: 20_261_206, isPlanned: true },
])("gateways as processes keep their promises under $name", async ({ seed, isPlanned }) => {
    const folder = mkdtempSync(join(tmpdir(), "skylarkmill-soak-"));
    onTestFinished(() => rmSync(folder, { recursive: true }));
    const report = await Soak.run({ seed, gatewayCount: 3, durationMs: DURATION_MS, isPlanned, folder });
    expect(report.violations).toEqual([]);
    // The checks are only meaningful if enough requests are served.
    expect(report.completeCount).toBeGreaterThan(report.answerCount / 4);
}, 60_000);
