import { LoopShare } from "@skylarkmill/coordination";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";

const PLAYED_MS = 60_000;

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

/** Connections that send without end; each read takes the same time of the loop. */
class EndlessReads {
    readMs = 0;
    largestConcurrency = 0;
    private concurrency = 0;
    readonly readCounts: number[];

    constructor(private readonly share: LoopShare, connectionCount: number, private readonly costMs: number) {
        this.readCounts = Array.from({ length: connectionCount }, () => 0);
        for (let index = 0; index < connectionCount; index += 1) this.wait(index);
    }

    private wait(index: number): void {
        this.share.add({ costMs: this.costMs, isGone: () => false, resume: () => this.read(index) });
    }

    private read(index: number): void {
        this.concurrency += 1;
        this.largestConcurrency = Math.max(this.largestConcurrency, this.concurrency);
        setTimeout(() => {
            this.concurrency -= 1;
            this.readMs += this.costMs;
            this.readCounts[index]! += 1;
            this.wait(index);
        }, this.costMs);
    }
}

describe("connections whose reads take long", () => {
    it.each([
        { connectionCount: 1, costMs: 10, maxShare: 0.5 },
        { connectionCount: 5, costMs: 10, maxShare: 0.5 },
        { connectionCount: 60, costMs: 40, maxShare: 0.5 },
        { connectionCount: 1_000, costMs: 10, maxShare: 0.5 },
        { connectionCount: 60, costMs: 10, maxShare: 0.25 },
    ])("take their share of the loop in turns: %o", ({ connectionCount, costMs, maxShare }) => {
        const reads = new EndlessReads(new LoopShare(maxShare), connectionCount, costMs);
        vi.advanceTimersByTime(PLAYED_MS);
        expect(reads.largestConcurrency).toBe(1);
        expect(reads.readMs).toBeLessThanOrEqual(maxShare * PLAYED_MS);
        // The first pauses follow one another, since all connections have been read at once before.
        const firstPausesMs = connectionCount * costMs * (1 / maxShare - 1);
        expect(reads.readMs).toBeGreaterThan(maxShare * (PLAYED_MS - firstPausesMs) - 2 * costMs);
        expect(Math.max(...reads.readCounts) - Math.min(...reads.readCounts)).toBeLessThanOrEqual(1);
    });

    it("don't wait for connections that have closed", () => {
        const share = new LoopShare();
        const resumed: number[] = [];
        const add = (index: number, isGone: boolean): void =>
            share.add({ costMs: 10, isGone: () => isGone, resume: () => resumed.push(index) });
        add(0, false);
        for (let index = 1; index < 100; index += 1) add(index, true);
        add(100, false);
        vi.advanceTimersByTime(101 * 10);
        expect(resumed).toEqual([0]);
        vi.advanceTimersByTime(10);
        expect(resumed).toEqual([0, 100]);
        expect(share.waitingCount).toBe(0);
        // 101 reads of 10 ms; the first waited for their pauses, the others for one more read.
        expect(share.totals).toEqual({ readCount: 101, costMs: 1_010, heldMs: 1_010 + 100 * 1_020 });
    });

    it("don't wait for the time in which the process was suspended during a read", () => {
        const share = new LoopShare();
        const resumed: string[] = [];
        share.add({ costMs: 4_000, isGone: () => false, resume: () => resumed.push("suspended") });
        share.add({ costMs: 10, isGone: () => false, resume: () => resumed.push("next") });
        vi.advanceTimersByTime(500);
        expect(resumed).toEqual(["suspended", "next"]);
        expect(share.waitingCount).toBe(0);
    });

    // A suspension of the process, or of its machine, in the middle of a read is no cost of that read.
    it("don't wait longer after a read that lasted for 60 s", () => {
        const share = new LoopShare();
        const resumed: number[] = [];
        const add = (index: number, costMs: number): void =>
            share.add({ costMs, isGone: () => false, resume: () => resumed.push(index) });
        add(0, 60_000);
        for (let index = 1; index < 10; index += 1) add(index, 10);
        vi.advanceTimersByTime(1_000);
        expect(resumed).toHaveLength(10);
    });

    it("are resumed after a pause that fits the read, when nobody else waits", () => {
        const share = new LoopShare(0.5);
        const resume = vi.fn();
        share.add({ costMs: 8, isGone: () => false, resume });
        vi.advanceTimersByTime(7);
        expect(resume).not.toHaveBeenCalled();
        vi.advanceTimersByTime(1);
        expect(resume).toHaveBeenCalledOnce();
        expect(vi.getTimerCount()).toBe(0);
    });
});
