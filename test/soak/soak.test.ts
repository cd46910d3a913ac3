import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect, it, onTestFinished } from "vitest";
import { Soak } from "./soak.ts";

const DURATION_MS = 8_000;
/** Processes that have just started, most of them at times, refuse at once, so a share of the answers would say little. */
const MIN_WHOLE_COUNT = 100;

// Guards against cut responses that look complete, wrong refusals, repeated execution, requests that a planned stop loses
// and processes that end by themselves, when several processes are stopped, frozen and killed at once.
it.each(
    [
        { name: "signals, killed processes and failing servers", seed: 20_261_205, kind: "faults" },
        { name: "stops, hangups and changes of the configuration", seed: 20_261_206, kind: "planned" },
        { name: "changed settings, slow hosts and outages", seed: 20_261_207, kind: "hosts" },
        { name: "restores of the service, kills at once and outages", seed: 20_261_208, kind: "restores" },
    ] as const,
)("gateways as processes keep their promises under $name", async ({ seed, kind }) => {
    const folder = mkdtempSync(join(tmpdir(), "skylarkmill-soak-"));
    onTestFinished(() => rmSync(folder, { recursive: true }));
    const report = await Soak.run({ seed, gatewayCount: 3, durationMs: DURATION_MS, kind, folder });
    expect(report.violations).toEqual([]);
    // The checks are only meaningful if enough requests are served.
    expect(report.completeCount).toBeGreaterThan(
        kind === "hosts" || kind === "restores" ? MIN_WHOLE_COUNT : report.answerCount / 4,
    );
}, 60_000);
