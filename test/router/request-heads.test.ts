import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { PacedCaller } from "../support/paced-caller.ts";
import { Harness } from "./support/harness.ts";

const HEADER_TIMEOUT_MS = 500;
const SLACK_MS = 700;

let harness: Harness;

beforeAll(async () => {
    harness = await new Harness().start({ limits: { headerTimeoutMs: HEADER_TIMEOUT_MS } });
});

afterAll(async () => {
    await harness.stop();
});

// Guards against callers that keep a router's connections with a head that never ends.
describe("a request head that is late at a router", () => {
    it.each<{ name: string; start: (caller: PacedCaller) => unknown; }>([
        { name: "on a new connection without a byte", start: () => undefined },
        { name: "after half of it", start: caller => caller.send("GET /healthz HTTP/1.1\r\nhost: ") },
        { name: "one line at a time", start: caller => caller.send("GET /healthz HTTP/1.1").drip("\r\nx: 1", 100) },
    ])("gets 408 and the end of its connection: $name", async ({ start }) => {
        const caller = new PacedCaller(Number(new URL(harness.url).port));
        start(caller);
        const elapsedMs = await caller.waitForEnd(caller.connectedAtMs);
        caller.close();
        expect(caller.statuses).toEqual([408]);
        expect(caller.received).toContain('"execution":"not_run"');
        expect(elapsedMs).toBeLessThan(HEADER_TIMEOUT_MS + SLACK_MS);
    });

    it("is timed from its first byte on a kept connection", async () => {
        const caller = new PacedCaller(Number(new URL(harness.url).port));
        const head = "GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n";
        caller.send(head);
        await caller.waitForResponses(1);
        await new Promise(resolve => setTimeout(resolve, 2 * HEADER_TIMEOUT_MS));
        caller.send(head);
        expect(await caller.waitForResponses(2)).toEqual([200, 200]);
        caller.close();
    });
});
