import type { RequestId } from "@skylarkmill/protocol";
import type { QueueEntry, QueueOrder, RunningWork } from "../types/policies.ts";
import type { ResolvedQueueOrder } from "./create-queue-order.ts";

interface Ranked<Entry> {
    readonly entry: Entry;
    readonly rankMs: number;
}

/**
 * Orders by priority, deadline and expected length, and keeps some slots free of long requests.
 *
 * The rank of an entry is a point in time that does not change while the entry waits: the time of its
 * arrival, later for long requests and loose deadlines, earlier for high priorities. An entry is overtaken
 * only by entries that arrive within a bounded time after it, so none starves.
 */
export class DeadlineOrder<Entry extends QueueEntry = QueueEntry> implements QueueOrder<Entry> {
    private readonly waiting: Ranked<Entry>[] = [];
    private readonly byId = new Map<RequestId, Ranked<Entry>>();

    constructor(private readonly options: ResolvedQueueOrder) {}

    get size(): number {
        return this.waiting.length;
    }

    push(entry: Entry): void {
        this.remove(entry.requestId);
        const ranked = { entry, rankMs: this.rankMs(entry) };
        this.waiting.splice(this.insertionIndex(ranked.rankMs), 0, ranked);
        this.byId.set(entry.requestId, ranked);
    }

    next(_nowMs: number, running: RunningWork, ready: (entry: Entry) => boolean): Entry | undefined {
        if (running.runningCount >= running.slotCount) return undefined;
        const longAllowed = running.runningLongCount < this.maxLongCount(running.slotCount);
        const index = this.waiting.findIndex(({ entry }) =>
            (longAllowed || !this.isLong(entry.expectedMs)) && ready(entry)
        );
        return index < 0 ? undefined : this.removeAt(index);
    }

    remove(requestId: RequestId): Entry | undefined {
        const ranked = this.byId.get(requestId);
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

    /** Long requests that may run at the same time; at least one. */
    maxLongCount(slotCount: number): number {
        return Math.max(1, slotCount - Math.ceil(slotCount * this.options.shortSlotShare));
    }

    /**
     * Work of the same length class that goes first, spread over the slots that this class can use.
     *
     * @param runningMs sum of the expected durations of the running requests
     */
    waitMs(entry: QueueEntry, running: RunningWork, runningMs: number): number {
        const long = this.isLong(entry.expectedMs);
        const maxLongCount = this.maxLongCount(running.slotCount);
        const full = running.runningCount >= running.slotCount;
        if (!full && (!long || running.runningLongCount < maxLongCount)) return 0;
        const rankMs = this.rankMs(entry);
        let aheadMs = runningMs / (running.slotCount + 1);
        for (const other of this.waiting) {
            if (other.rankMs > rankMs) break;
            if (this.isLong(other.entry.expectedMs) === long) aheadMs += other.entry.expectedMs;
        }
        const longCount = Math.min(maxLongCount, running.runningLongCount);
        return aheadMs / Math.max(1, long ? maxLongCount : running.slotCount - longCount);
    }

    private rankMs(entry: QueueEntry): number {
        const { lengthWeight, deadlineWeight, priorityMs, maxDelayMs } = this.options;
        const slackMs = Math.max(0, entry.deadlineAtMs - entry.enqueuedAtMs - entry.expectedMs);
        const delayMs = lengthWeight * entry.expectedMs + deadlineWeight * slackMs;
        return entry.enqueuedAtMs + Math.min(maxDelayMs, delayMs) - entry.priority * priorityMs;
    }

    /** Index behind all entries whose rank is not later. */
    private insertionIndex(rankMs: number): number {
        let low = 0;
        let high = this.waiting.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            if ((this.waiting[middle] as Ranked<Entry>).rankMs <= rankMs) low = middle + 1;
            else high = middle;
        }
        return low;
    }

    private removeAt(index: number): Entry | undefined {
        const [ranked] = this.waiting.splice(index, 1);
        if (ranked !== undefined) this.byId.delete(ranked.entry.requestId);
        return ranked?.entry;
    }
}
