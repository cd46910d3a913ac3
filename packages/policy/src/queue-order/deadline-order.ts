import type { RequestId } from "@skylarkmill/protocol";
import type { QueueEntry, QueueOrder, SlotUsage } from "../types/policies.ts";
import type { ResolvedQueueOrder } from "./create-queue-order.ts";

interface RankedEntry<Entry> {
    readonly entry: Entry;
    readonly rankMs: number;
}

/**
 * Orders requests by priority, deadline and expected duration, and reserves some slots for short requests.
 *
 * The rank of an entry is a point in time that does not change while the entry waits: its arrival time, plus a delay
 * for long requests and distant deadlines, minus an advance for high priorities. Only entries that arrive within a
 * bounded time after an entry can overtake it, so no entry starves.
 */
export class DeadlineOrder<Entry extends QueueEntry = QueueEntry> implements QueueOrder<Entry> {
    private readonly waiting: RankedEntry<Entry>[] = [];
    private readonly rankedById = new Map<RequestId, RankedEntry<Entry>>();

    constructor(private readonly options: ResolvedQueueOrder) {}

    get size(): number {
        return this.waiting.length;
    }

    push(entry: Entry): void {
        this.remove(entry.entryId);
        const ranked = { entry, rankMs: this.rankMs(entry) };
        this.waiting.splice(this.insertionIndex(ranked.rankMs), 0, ranked);
        this.rankedById.set(entry.entryId, ranked);
    }

    dequeue(_nowMs: number, slotUsage: SlotUsage, isReady: (entry: Entry) => boolean): Entry | undefined {
        if (slotUsage.runningCount >= slotUsage.slotCount) return undefined;
        const canStartLong = slotUsage.runningLongCount < this.maxLongCount(slotUsage.slotCount);
        const index = this.waiting.findIndex(({ entry }) =>
            (canStartLong || !this.isLong(entry.expectedMs)) && isReady(entry)
        );
        return index < 0 ? undefined : this.removeAt(index);
    }

    remove(entryId: RequestId): Entry | undefined {
        const ranked = this.rankedById.get(entryId);
        if (ranked === undefined) return undefined;
        let index = this.insertionIndex(ranked.rankMs) - 1;
        while (this.waiting[index] !== ranked) index -= 1;
        return this.removeAt(index);
    }

    entries(): readonly Entry[] {
        return this.waiting.map(ranked => ranked.entry);
    }

    isLong(expectedMs: number): boolean {
        return expectedMs >= this.options.longMs;
    }

    /** Maximum number of long requests that run at the same time; at least 1. */
    maxLongCount(slotCount: number): number {
        return Math.max(1, slotCount - Math.ceil(slotCount * this.options.shortSlotShare));
    }

    /**
     * Expected time until the entry would start: the expected work ahead of it, divided by the slots that its class
     * (long or short) can use. Of the waiting entries, only those of the same class count.
     *
     * @param runningMs sum of the expected durations of the running requests
     */
    waitMs(entry: QueueEntry, slotUsage: SlotUsage, runningMs: number): number {
        const isLong = this.isLong(entry.expectedMs);
        const maxLongCount = this.maxLongCount(slotUsage.slotCount);
        const isFull = slotUsage.runningCount >= slotUsage.slotCount;
        if (!isFull && (!isLong || slotUsage.runningLongCount < maxLongCount)) return 0;
        const rankMs = this.rankMs(entry);
        // If n requests of equal duration are in progress, the first of them ends after 1 / (n + 1) of the duration on
        // average.
        let workAheadMs = runningMs / (slotUsage.slotCount + 1);
        for (const other of this.waiting) {
            if (other.rankMs > rankMs) break;
            if (this.isLong(other.entry.expectedMs) === isLong) workAheadMs += other.entry.expectedMs;
        }
        const longSlotCount = Math.min(maxLongCount, slotUsage.runningLongCount);
        return workAheadMs / Math.max(1, isLong ? maxLongCount : slotUsage.slotCount - longSlotCount);
    }

    private rankMs(entry: QueueEntry): number {
        const { lengthWeight, deadlineWeight, priorityMs, maxDelayMs } = this.options;
        const slackMs = Math.max(0, entry.deadlineAtMs - entry.enqueuedAtMs - entry.expectedMs);
        const delayMs = lengthWeight * entry.expectedMs + deadlineWeight * slackMs;
        return entry.enqueuedAtMs + Math.min(maxDelayMs, delayMs) - entry.priority * priorityMs;
    }

    /** Index after all entries whose rank is lower or equal. */
    private insertionIndex(rankMs: number): number {
        let low = 0;
        let high = this.waiting.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            if ((this.waiting[middle] as RankedEntry<Entry>).rankMs <= rankMs) low = middle + 1;
            else high = middle;
        }
        return low;
    }

    private removeAt(index: number): Entry | undefined {
        const [ranked] = this.waiting.splice(index, 1);
        if (ranked !== undefined) this.rankedById.delete(ranked.entry.entryId);
        return ranked?.entry;
    }
}
