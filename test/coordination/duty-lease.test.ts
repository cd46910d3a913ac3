import { createDutyLease } from "@skylarkmill/coordination";
import { type ProcessId, toId } from "@skylarkmill/protocol";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { MemoryKeyValueStore } from "../support/memory-key-value-store.ts";

describe("duty lease", () => {
    beforeEach(() => void vi.useFakeTimers());
    afterEach(() => void vi.useRealTimers());

    const createDuty = (store: MemoryKeyValueStore, name: string) =>
        createDutyLease({ store, key: "/t/duties/placement", processId: toId<ProcessId>(name), ttlMs: 3000 });

    // Guards against a duty that no process acquires after the holder stopped or its lease expired,
    // and against a process that still reports the duty as held after its lease expired.
    const cases = [
        { name: "the holder stops", fault: "stop", heldDuring: [false, true] },
        { name: "the key-value service was down for a minute", fault: "outage", heldDuring: [false, false] },
    ] as const;
    it.each(cases)("is held by exactly one process again after $name", async ({ fault, heldDuring }) => {
        const store = new MemoryKeyValueStore();
        const duties = [createDuty(store, "p1"), createDuty(store, "p2")];
        duties[0]!.start();
        await vi.advanceTimersByTimeAsync(100);
        duties[1]!.start();
        await vi.advanceTimersByTimeAsync(6000);
        expect(duties.map(duty => duty.isHeld)).toEqual([true, false]);

        if (fault === "stop") await duties[0]!.stop();
        else store.isDown = true;
        await vi.advanceTimersByTimeAsync(60_000);
        expect(duties.map(duty => duty.isHeld)).toEqual(heldDuring);
        store.isDown = false;
        await vi.advanceTimersByTimeAsync(10_000);
        expect(duties.filter(duty => duty.isHeld)).toHaveLength(1);
    });
});
