/** Uses within this time are counted together. */
const SLOT_MS = 50;

interface Slot {
    readonly startMs: number;
    count: number;
}

/**
 * Sums up what was used in the last part of time, of a fixed length.
 *
 * @example
 * const uses = new UseWindow();
 * uses.add(1_200, nowMs());
 * uses.sum(8_000, nowMs());
 */
export class UseWindow {
    private slots: Slot[] = [];
    private total = 0;

    /** Adds units; a negative number takes back units that were not used. */
    add(count: number, nowMs: number): void {
        if (count === 0) return;
        this.total += count;
        const last = this.slots.at(-1);
        if (last !== undefined && nowMs - last.startMs < SLOT_MS) last.count += count;
        else this.slots.push({ startMs: nowMs, count });
    }

    sum(windowMs: number, nowMs: number): number {
        let endedCount = 0;
        // A slot ends with its last use.
        while (endedCount < this.slots.length && this.slots[endedCount]!.startMs + SLOT_MS + windowMs <= nowMs) {
            this.total -= this.slots[endedCount]!.count;
            endedCount += 1;
        }
        if (endedCount > 0) this.slots.splice(0, endedCount);
        return this.total;
    }

    /** Time until at least `count` units have left the window. */
    timeUntilFreedMs(count: number, windowMs: number, nowMs: number): number {
        let freed = 0;
        for (const slot of this.slots) {
            if (freed >= count) break;
            freed += slot.count;
            if (freed >= count) return Math.max(0, slot.startMs + SLOT_MS + windowMs - nowMs);
        }
        return count <= 0 ? 0 : windowMs;
    }
}
