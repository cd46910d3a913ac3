import { decodeConfiguration } from "@skylarkmill/platform";
import { describe, expect, it } from "vitest";
import { createConfigurationDocument } from "./stand-ins/fixture.ts";

const DAY_MS = 24 * 60 * 60 * 1_000;

// Guards against requests that are refused at once because their timeout exceeds the range of a timer.
describe("a duration in the configuration", () => {
    it.each([
        { timeoutMs: 800, expectedMs: 800 },
        { timeoutMs: DAY_MS, expectedMs: DAY_MS },
        { timeoutMs: 2 ** 31, expectedMs: DAY_MS },
        { timeoutMs: 1e308, expectedMs: DAY_MS },
    ])("of $timeoutMs ms is applied as $expectedMs ms", ({ timeoutMs, expectedMs }) => {
        const limits = { idle_timeout_ms: timeoutMs, header_timeout_ms: timeoutMs };
        const text = JSON.stringify(createConfigurationDocument(1, { limits }, timeoutMs));
        const configuration = decodeConfiguration(text)!;
        expect(configuration.routes[0]!.timeoutMs).toBe(expectedMs);
        expect(configuration.limits.idleTimeoutMs).toBe(expectedMs);
        expect(configuration.limits.headerTimeoutMs).toBe(expectedMs);
    });

    it("that is negative makes the configuration invalid", () => {
        expect(decodeConfiguration(JSON.stringify(createConfigurationDocument(1, {}, -1)))).toBeUndefined();
    });
});
