import { BODY_BLOCK_BYTES, BodyBlockPool, RequestBody } from "@skylarkmill/gateway";
import { describe, expect, it } from "vitest";

// Guards against a body that is overwritten while an attempt still sends it, or whose memory is never used again.
describe("the body of a request", () => {
    const cases = [
        { name: "an attempt holds it", steps: ["hold", "discard"], freeCount: 0 },
        { name: "its owner may send it again", steps: ["hold", "release"], freeCount: 0 },
        { name: "the attempt releases it last", steps: ["hold", "discard", "release"], freeCount: 1 },
        { name: "its owner discards it last", steps: ["hold", "release", "discard"], freeCount: 1 },
        { name: "nothing has sent it", steps: ["discard"], freeCount: 1 },
        { name: "both say so twice", steps: ["hold", "release", "release", "discard", "discard"], freeCount: 1 },
        {
            name: "one of two attempts holds it",
            steps: ["hold", "hold", "discard", "release", "release"],
            freeCount: 0,
        },
    ];

    it.each(cases)("is freed $freeCount times when $name", ({ steps, freeCount }) => {
        let actualFreeCount = 0;
        const body = new RequestBody([Buffer.from("text")], 4, () => actualFreeCount += 1);
        const releases: (() => void)[] = [];
        for (const step of steps) {
            if (step === "hold") releases.push(body.hold());
            else if (step === "discard") body.discard();
            else releases[0]!();
        }
        expect(actualFreeCount).toBe(freeCount);
        expect(body.parts).toHaveLength(freeCount === 0 ? 1 : 0);
    });

    it("can't be sent after its owner has discarded it", () => {
        const body = new RequestBody([], 0, () => undefined);
        body.discard();
        expect(() => body.hold()).toThrow("the body has been discarded");
    });
});

describe("the pool of blocks", () => {
    it("hands out a former block before it allocates one", () => {
        const pool = new BodyBlockPool();
        const block = pool.take();
        expect(block).toHaveLength(BODY_BLOCK_BYTES);
        pool.give(block);
        expect(pool.freeCount).toBe(1);
        expect(pool.take()).toBe(block);
        expect(pool.take()).not.toBe(block);
    });
});
