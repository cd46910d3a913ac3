import { BodyMemory, type BodyShare } from "@skylarkmill/coordination";
import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { seeded } from "../support/seed.ts";

const MAX_BYTES = 1_000;
const MIN_RECEIVE_MS = 1_000;

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

interface Body {
    readonly share: BodyShare;
    byteCount: number;
    isComplete: boolean;
    isGone: boolean;
}

type Step =
    | { readonly kind: "open"; }
    | { readonly kind: "hold"; readonly index: number; readonly byteCount: number; }
    | { readonly kind: "complete" | "release"; readonly index: number; }
    | { readonly kind: "wait"; readonly ms: number; };

const indexes = fc.nat({ max: 19 });
const steps = fc.oneof<fc.Arbitrary<Step>[]>(
    fc.constant({ kind: "open" }),
    fc.record({ kind: fc.constant("hold"), index: indexes, byteCount: fc.integer({ min: 1, max: 400 }) }),
    fc.record({ kind: fc.constantFrom("complete", "release"), index: indexes }),
    fc.record({ kind: fc.constant("wait"), ms: fc.integer({ min: 1, max: 700 }) }),
);

describe("memory for the bodies of all requests", () => {
    // Guards against memory beyond the limit, and against complete or young bodies that lose theirs.
    it("is never exceeded, and taken away only from bodies that have had their time", () => {
        fc.assert(
            fc.property(fc.array(steps, { maxLength: 200 }), played => {
                const memory = new BodyMemory(MAX_BYTES);
                const bodies: Body[] = [];
                for (const step of played) {
                    const body = "index" in step ? bodies[step.index] : undefined;
                    if (step.kind === "wait") vi.advanceTimersByTime(step.ms);
                    else if (step.kind === "open") {
                        const opened: Body = { share: memory.open(), byteCount: 0, isComplete: false, isGone: false };
                        bodies.push(opened);
                        opened.share.onTakenAway(() => {
                            expect(opened.isComplete || opened.isGone).toBe(false);
                            expect(performance.now() - opened.share.openedAtMs).toBeGreaterThanOrEqual(MIN_RECEIVE_MS);
                            opened.isGone = true;
                            opened.byteCount = 0;
                        });
                    }
                    else if (body === undefined || body.isGone) continue;
                    else if (step.kind === "hold" && !body.isComplete) {
                        const byteCount = body.byteCount + step.byteCount;
                        if (body.share.tryHold(byteCount)) body.byteCount = byteCount;
                    }
                    else if (step.kind === "complete") {
                        body.isComplete = true;
                        body.share.complete();
                    }
                    else if (step.kind === "release") {
                        body.share.release();
                        body.isGone = true;
                        body.byteCount = 0;
                    }
                    expect(memory.heldByteCount).toBe(bodies.reduce((sum, { byteCount }) => sum + byteCount, 0));
                    expect(memory.heldByteCount).toBeLessThanOrEqual(MAX_BYTES);
                }
            }),
            seeded(500),
        );
    });

    it("is taken from the oldest bodies first, and from no more of them than needed", () => {
        const memory = new BodyMemory(MAX_BYTES);
        const taken: number[] = [];
        for (let index = 0; index < 5; index += 1) {
            const share = memory.open();
            share.onTakenAway(() => taken.push(index));
            expect(share.tryHold(200)).toBe(true);
            if (index === 1) share.complete();
            vi.advanceTimersByTime(100);
        }
        const newest = memory.open();
        expect(newest.tryHold(300)).toBe(false);
        vi.advanceTimersByTime(MIN_RECEIVE_MS);
        expect(newest.tryHold(300)).toBe(true);
        expect(taken).toEqual([0, 2]);
    });
});
