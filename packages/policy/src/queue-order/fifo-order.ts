import type { RequestId } from "@skylarkmill/protocol";
import type { QueueEntry, QueueOrder, SlotUsage } from "../types/policies.ts";

/** Baseline: starts requests in the order of their arrival, in any free slot. */
export class FifoOrder<Entry extends QueueEntry = QueueEntry> implements QueueOrder<Entry> {
    private readonly waiting = new Map<RequestId, Entry>();

    constructor(private readonly longMs: number) {}

    get size(): number {
        return this.waiting.size;
    }

    push(entry: Entry): void {
        this.waiting.set(entry.entryId, entry);
    }

    dequeue(_nowMs: number, slotUsage: SlotUsage, isReady: (entry: Entry) => boolean): Entry | undefined {
        if (slotUsage.runningCount >= slotUsage.slotCount) return undefined;
        for (const entry of this.waiting.values()) {
            if (!isReady(entry)) continue;
            this.waiting.delete(entry.entryId);
            return entry;
        }
        return undefined;
    }

    remove(entryId: RequestId): Entry | undefined {
        const entry = this.waiting.get(entryId);
        this.waiting.delete(entryId);
        return entry;
    }

    entries(): readonly Entry[] {
        return [...this.waiting.values()];
    }

    isLong(expectedMs: number): boolean {
        return expectedMs >= this.longMs;
    }

    /**
     * Expected time until the entry would start: the expected work ahead of it, divided by the number of slots.
     *
     * @param runningMs sum of the expected durations of the running requests
     */
    waitMs(_entry: QueueEntry, slotUsage: SlotUsage, runningMs: number): number {
        if (slotUsage.runningCount < slotUsage.slotCount) return 0;
        let queuedMs = 0;
        for (const entry of this.waiting.values()) queuedMs += entry.expectedMs;
        // If n requests of equal duration are in progress, the first of them ends after 1 / (n + 1) of the duration on
        // average.
        return (queuedMs + runningMs / (slotUsage.slotCount + 1)) / slotUsage.slotCount;
    }
}
