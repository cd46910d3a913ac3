import { createQueueOrder, type QueueEntry } from "@skylarkmill/policy";
import { type RequestId, toId } from "@skylarkmill/protocol";
import fc from "fast-check";
import { describe, expect, it } from "vitest";

const SEED = 20_261;

function entry(id: string, fields: Partial<QueueEntry> = {}): QueueEntry {
    return {
        requestId: toId<RequestId>(id),
        priority: 5,
        enqueuedAtMs: 0,
        deadlineAtMs: 30_000,
        expectedMs: 500,
        group: "model",
        ...fields,
    };
}

const idle = { slotCount: 8, runningCount: 0, runningLongCount: 0 };

describe("deadline order", () => {
    // Guards against an order that ignores class, deadline or length.
    const cases = [
        { name: "higher priority", first: entry("a", { priority: 7 }), second: entry("b") },
        { name: "earlier deadline", first: entry("a", { deadlineAtMs: 5_000 }), second: entry("b") },
        { name: "shorter", first: entry("a", { expectedMs: 100 }), second: entry("b", { expectedMs: 3_000 }) },
        { name: "earlier arrival", first: entry("a"), second: entry("b", { enqueuedAtMs: 1, deadlineAtMs: 30_001 }) },
    ];
    it.each(cases)("takes the $name first", ({ first, second }) => {
        const queue = createQueueOrder();
        queue.push(second);
        queue.push(first);
        expect(queue.next(10, idle, () => true)).toBe(first);
        expect(queue.next(10, idle, () => true)).toBe(second);
        expect(queue.next(10, idle, () => true)).toBeUndefined();
    });

    // Guards against long requests that take every slot, and against slots that stand empty for short ones only.
    const slotCases = [
        { slotCount: 8, runningCount: 6, runningLongCount: 6, expectedMs: 9_000, starts: false },
        { slotCount: 8, runningCount: 6, runningLongCount: 6, expectedMs: 100, starts: true },
        { slotCount: 8, runningCount: 5, runningLongCount: 5, expectedMs: 9_000, starts: true },
        { slotCount: 8, runningCount: 8, runningLongCount: 0, expectedMs: 100, starts: false },
        { slotCount: 1, runningCount: 0, runningLongCount: 0, expectedMs: 9_000, starts: true },
    ];
    it.each(slotCases)("starts $expectedMs ms: $starts with $runningLongCount of $slotCount slots long", test => {
        const queue = createQueueOrder();
        queue.push(entry("a", { expectedMs: test.expectedMs }));
        expect(queue.next(0, test, () => true) !== undefined).toBe(test.starts);
    });

    // Guards against starvation: an entry may be overtaken only by those that arrive within a bounded time.
    it("is overtaken by no entry that arrives after the aging time", () => {
        console.log(`seed ${SEED}`);
        const maxDelayMs = 20_000;
        const priorityMs = 500;
        const fields = fc.record({
            priority: fc.integer({ min: 0, max: 9 }),
            enqueuedAtMs: fc.integer({ min: 0, max: 100_000 }),
            timeoutMs: fc.integer({ min: 1, max: 600_000 }),
            expectedMs: fc.integer({ min: 1, max: 600_000 }),
        });
        fc.assert(
            fc.property(fc.array(fields, { minLength: 2, maxLength: 60 }), list => {
                const queue = createQueueOrder({ maxDelayMs, priorityMs });
                list.forEach((item, index) =>
                    queue.push(entry(`r${index}`, { ...item, deadlineAtMs: item.enqueuedAtMs + item.timeoutMs }))
                );
                const order: QueueEntry[] = [];
                for (let size = queue.size; size > 0; size -= 1) {
                    order.push(queue.next(0, idle, () => true) as QueueEntry);
                }
                const boundMs = maxDelayMs + 9 * priorityMs;
                order.forEach((later, index) => {
                    for (const overtaking of order.slice(0, index)) {
                        expect(overtaking.enqueuedAtMs - later.enqueuedAtMs).toBeLessThanOrEqual(boundMs);
                    }
                });
            }),
            { seed: SEED },
        );
    });

    // Guards against lost or doubled entries when requests are cancelled or not ready.
    it.each(["fifo", "deadline"] as const)("keeps every entry until it is taken or removed: %s", name => {
        console.log(`seed ${SEED}`);
        const steps = fc.array(fc.tuple(fc.integer({ min: 0, max: 30 }), fc.constantFrom("push", "next", "remove")));
        fc.assert(
            fc.property(steps, list => {
                const queue = createQueueOrder({ name });
                const model = new Set<string>();
                for (const [number, step] of list) {
                    const id = `r${number}`;
                    const ready = (item: QueueEntry) => item.requestId !== id;
                    if (step === "push") queue.push(entry(id, { priority: number % 10, enqueuedAtMs: number }));
                    if (step === "push") model.add(id);
                    const out = step === "next"
                        ? queue.next(0, idle, ready)
                        : step === "remove"
                        ? queue.remove(toId<RequestId>(id))
                        : undefined;
                    if (step === "remove") expect(out?.requestId).toBe(model.has(id) ? id : undefined);
                    if (out !== undefined) expect(model.delete(out.requestId)).toBe(true);
                    expect(new Set(queue.entries().map(item => item.requestId))).toEqual(model);
                    expect(queue.size).toBe(model.size);
                }
            }),
            { seed: SEED },
        );
    });
});
