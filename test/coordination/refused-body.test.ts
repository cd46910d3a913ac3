import { RefusedBody, type RefusedRequest } from "@skylarkmill/coordination";
import { EventEmitter } from "node:events";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";

const MAX_BYTES = 1_000;
const MAX_MS = 10_000;

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

interface Play {
    readonly name: string;
    readonly chunkByteCount: number;
    readonly intervalMs: number;
    /** Number of chunks after which the caller ends the body. */
    readonly endAfter?: number;
    /** Time at which the rest isn't read any longer, to the next chunk. */
    readonly expectedEndMs: number;
}

describe("the rest of a refused body", () => {
    it.each<Play>([
        { name: "ends with the body", chunkByteCount: 100, intervalMs: 100, endAfter: 3, expectedEndMs: 300 },
        { name: "is read up to a number of bytes", chunkByteCount: 100, intervalMs: 100, expectedEndMs: 1_100 },
        { name: "is read for a time", chunkByteCount: 1, intervalMs: 100, expectedEndMs: MAX_MS },
        { name: "isn't awaited when nothing comes", chunkByteCount: 1, intervalMs: 5_000, expectedEndMs: 2_000 },
        {
            name: "is awaited while it comes slowly",
            chunkByteCount: 1,
            intervalMs: 1_500,
            endAfter: 5,
            expectedEndMs: 7_500,
        },
    ])("$name", async ({ chunkByteCount, intervalMs, endAfter = Infinity, expectedEndMs }) => {
        const socket = new EventEmitter();
        const request = Object.assign(new EventEmitter(), { socket });
        let endedAtMs: number | undefined;
        const startedAtMs = performance.now();
        const onEnd = vi.fn(() => endedAtMs ??= performance.now() - startedAtMs);
        new RefusedBody(request as unknown as RefusedRequest, { maxByteCount: MAX_BYTES, maxMs: MAX_MS, onEnd });
        let chunkCount = 0;
        const timer = setInterval(() => {
            chunkCount += 1;
            if (chunkCount <= endAfter) socket.emit("data", Buffer.alloc(chunkByteCount));
            if (chunkCount === endAfter) request.emit("end");
        }, intervalMs);
        await vi.advanceTimersByTimeAsync(2 * MAX_MS);
        clearInterval(timer);
        expect(endedAtMs).toBe(expectedEndMs);
        expect(onEnd).toHaveBeenCalledOnce();
        expect(vi.getTimerCount()).toBe(0);
        expect(socket.listenerCount("data")).toBe(0);
    });
});
