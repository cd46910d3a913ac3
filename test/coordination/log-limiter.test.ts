import { LogLimiter } from "@skylarkmill/coordination";
import { describe, expect, it } from "vitest";

const MAX_PER_SECOND = 3;

// Guards against incidents whose log lacks the cut responses, because lines that are less grave came first in that second.
describe("the limit of log lines", () => {
    it("admits grave events after others have used up the second", () => {
        const limiter = new LogLimiter(MAX_PER_SECOND);
        const normal = Array.from({ length: 5 }, () => limiter.admitEvent(0));
        const grave = Array.from({ length: 4 }, () => limiter.admitEvent(10, "grave"));
        expect(normal).toEqual([0, 0, 0, undefined, undefined]);
        expect(grave).toEqual([2, 0, 0, undefined]);
    });

    it("admits no other event once grave ones are left out", () => {
        const limiter = new LogLimiter(MAX_PER_SECOND);
        for (let count = 0; count <= MAX_PER_SECOND; count += 1) limiter.admitEvent(0, "grave");
        expect(limiter.admitEvent(1)).toBeUndefined();
        expect(limiter.admitEvent(1_000)).toBe(2);
    });

    it("admits every event once it is lifted", () => {
        const limiter = new LogLimiter(MAX_PER_SECOND);
        limiter.lift();
        const admitted = Array.from({ length: 10 }, () => limiter.admitEvent(0));
        expect(admitted).toEqual(Array.from({ length: 10 }, () => 0));
    });
});
