import { describe, expect, it } from "vitest";
import { findFreePort } from "./free-ports.ts";

const PORT_COUNT = 10_000;
/** First port that the system assigns by itself, by default on Linux. */
const FIRST_EPHEMERAL_PORT = 32_768;

// Guards against two servers of one process on the same port, and against a port that a connection takes first.
describe("findFreePort", () => {
    it("returns each port once, and none that the system assigns by itself", async () => {
        const ports: number[] = [];
        for (let count = 0; count < PORT_COUNT; count += 1) ports.push(await findFreePort());
        expect(new Set(ports).size).toBe(PORT_COUNT);
        expect(Math.max(...ports)).toBeLessThan(FIRST_EPHEMERAL_PORT);
    });
});
