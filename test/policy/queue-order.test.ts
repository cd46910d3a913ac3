import { createQueueOrder, type QueueEntry } from "@skylarkmill/policy";
import { type RequestId, toId } from "@skylarkmill/protocol";
import fc from "fast-check";
import { describe, expect, it } from "vitest";

const SEED = 20_261;

function createEntry(id: string, fields: Partial<QueueEntry> = {}): QueueEntry {
    return {
        entryId: toId<RequestId>(id),
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
    // Guards against an order that ignores priority, deadline, duration or arrival.
    const cases = [
        { name: "a higher priority", first: createEntry("a", { priority: 7 }), second: createEntry("b") },
        { name: "an earlier deadline", first: createEntry("a", { deadlineAtMs: 5_000 }), second: createEntry("b") },
        {
            name: "a shorter duration",
            first: createEntry("a", { expectedMs: 100 }),
            second: createEntry("b", { expectedMs: 3_000 }),
        },
        {
            name: "an earlier arrival",
            first: createEntry("a"),
            second: createEntry("b", { enqueuedAtMs: 1, deadlineAtMs: 30_001 }),
        },
    ];
    it.each(cases)("starts the request with $name first", ({ first, second }) => {
        const queue = createQueueOrder();
        queue.push(second);
        queue.push(first);
        expect(queue.dequeue(10, idle, () => true)).toBe(first);
        expect(queue.dequeue(10, idle, () => true)).toBe(second);
        expect(queue.dequeue(10, idle, () => true)).toBeUndefined();
    });

    // Guards against long requests that use every slot, and against idle slots that a long request was allowed to use.
    const slotCases = [
        { slotCount: 8, runningCount: 6, runningLongCount: 6, expectedMs: 9_000, isStarted: false },
        { slotCount: 8, runningCount: 6, runningLongCount: 6, expectedMs: 100, isStarted: true },
        { slotCount: 8, runningCount: 5, runningLongCount: 5, expectedMs: 9_000, isStarted: true },
        { slotCount: 8, runningCount: 8, runningLongCount: 0, expectedMs: 100, isStarted: false },
        { slotCount: 1, runningCount: 0, runningLongCount: 0, expectedMs: 9_000, isStarted: true },
    ];
    it.each(slotCases)(
        "starts a request of $expectedMs ms while $runningCount of $slotCount slots are in use, $runningLongCount by long requests: $isStarted",
        test => {
            const queue = createQueueOrder();
            queue.push(createEntry("a", { expectedMs: test.expectedMs }));
            expect(queue.dequeue(0, test, () => true) !== undefined).toBe(test.isStarted);
        },
    );

    // Guards against starvation: only entries that arrive within a bounded time may overtake an entry.
    it("lets no entry overtake another that arrived earlier by more than the time bound", () => {
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
                    queue.push(createEntry(`r${index}`, { ...item, deadlineAtMs: item.enqueuedAtMs + item.timeoutMs }))
                );
                const order: QueueEntry[] = [];
                for (let size = queue.size; size > 0; size -= 1) {
                    order.push(queue.dequeue(0, idle, () => true) as QueueEntry);
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

    // Guards against lost or duplicate entries when requests are cancelled or not ready.
    it.each(["fifo", "deadline"] as const)("keeps every entry until it is started or removed: %s", name => {
        console.log(`seed ${SEED}`);
        const steps = fc.array(fc.tuple(fc.integer({ min: 0, max: 30 }), fc.constantFrom("push", "dequeue", "remove")));
        fc.assert(
            fc.property(steps, list => {
                const queue = createQueueOrder({ name });
                const expectedIds = new Set<string>();
                for (const [number, step] of list) {
                    const id = `r${number}`;
                    const isReady = (item: QueueEntry) => item.entryId !== id;
                    if (step === "push") queue.push(createEntry(id, { priority: number % 10, enqueuedAtMs: number }));
                    if (step === "push") expectedIds.add(id);
                    const removed = step === "dequeue"
                        ? queue.dequeue(0, idle, isReady)
                        : step === "remove"
                        ? queue.remove(toId<RequestId>(id))
                        : undefined;
                    if (step === "remove") expect(removed?.entryId).toBe(expectedIds.has(id) ? id : undefined);
                    if (removed !== undefined) expect(expectedIds.delete(removed.entryId)).toBe(true);
                    expect(new Set(queue.entries().map(item => item.entryId))).toEqual(expectedIds);
                    expect(queue.size).toBe(expectedIds.size);
                }
            }),
            { seed: SEED },
        );
    });
});
