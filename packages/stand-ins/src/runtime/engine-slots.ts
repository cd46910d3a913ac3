/** A request that waits for a slot; `onSlot` gets the function that frees it, or `undefined` after an abort. */
interface WaitingRequest {
    readonly priority: number;
    readonly onSlot: (release: (() => void) | undefined) => void;
}

/** Assigns the slots of an engine to requests by priority, then in order of arrival. */
export class SlotQueue {
    private readonly slotCount: number;
    private waiting: WaitingRequest[] = [];
    runningCount = 0;

    constructor(slotCount: number) {
        this.slotCount = slotCount;
    }

    get waitingCount(): number {
        return this.waiting.length;
    }

    /** Waits for a slot; resolves with the function that frees it, or with `undefined` if the signal aborts first. */
    async acquire(priority: number, signal: AbortSignal): Promise<(() => void) | undefined> {
        if (signal.aborted) return undefined;
        if (this.runningCount < this.slotCount) return this.occupySlot();
        return new Promise(resolve => {
            const entry: WaitingRequest = { priority, onSlot: resolve };
            const index = this.waiting.findIndex(other => other.priority > priority);
            this.waiting.splice(index < 0 ? this.waiting.length : index, 0, entry);
            signal.addEventListener("abort", () => {
                this.waiting = this.waiting.filter(other => other !== entry);
                resolve(undefined);
            }, { once: true });
        });
    }

    private occupySlot(): () => void {
        this.runningCount++;
        let isReleased = false;
        return () => {
            if (isReleased) return;
            isReleased = true;
            this.runningCount--;
            if (this.runningCount < this.slotCount) this.waiting.shift()?.onSlot(this.occupySlot());
        };
    }
}

const MAX_PREFIXES = 64;
/** Number of leading characters by which prompts are compared. */
const PREFIX_LENGTH = 256;

/** Records the prompt prefixes whose prefill an engine has cached; evicts the least recently used. */
export class PrefixCache {
    private readonly prefixes = new Set<string>();

    /** Marks the prompt's prefix as cached and most recently used; returns whether it was cached before. */
    recordPrefix(model: string, prompt: string): boolean {
        const key = `${model}\n${prompt.slice(0, PREFIX_LENGTH)}`;
        const hit = this.prefixes.delete(key);
        this.prefixes.add(key);
        if (this.prefixes.size > MAX_PREFIXES) this.prefixes.delete(this.prefixes.values().next().value!);
        return hit;
    }
}
