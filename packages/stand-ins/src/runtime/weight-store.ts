export interface WeightStoreOptions {
    /** Sustained rate at which loads can start. @default 3.5 */
    readonly loadsPerSecond?: number;
    /** Concurrent loads up to which each runs at full speed; more loads share that total speed. @default 4 */
    readonly fullSpeedLoadCount?: number;
    /** Shortest and longest duration of one adapter load. @default [5, 7] */
    readonly adapterLoadMsRange?: readonly [number, number];
    /** Concurrent adapter loads of all engines beyond which each takes proportionally longer. @default 32 */
    readonly fullSpeedAdapterLoadCount?: number;
}

export interface WeightStoreStandIn {
    /** Runs one model load that takes `durationMs` at full speed; resolves when it has finished. */
    load(durationMs: number): Promise<void>;
    loadAdapter(): Promise<void>;
    /** Slows down all loads from now on, including model loads in progress; with 10, each takes ten times as long. */
    setSlowFactor(factor: number): void;
}

interface ActiveLoad {
    /** Remaining duration at full speed. */
    remainingMs: number;
    readonly onDone: () => void;
}

/**
 * Simulates concurrent loads that share the store's bandwidth: up to `fullSpeedLoadCount` loads run at full speed; with
 * more, each runs at `fullSpeedLoadCount / <number of active loads>` of full speed.
 */
class WeightStore implements WeightStoreStandIn {
    private readonly options: Required<WeightStoreOptions>;
    private readonly activeLoads = new Set<ActiveLoad>();
    private slowFactor = 1;
    private lastAdvanceMs = 0;
    private nextStartMs = -Infinity;
    private timer: NodeJS.Timeout | undefined;
    private activeAdapterLoadCount = 0;

    constructor(options: Required<WeightStoreOptions>) {
        this.options = options;
    }

    async load(durationMs: number): Promise<void> {
        const nowMs = performance.now();
        const intervalMs = (1000 / this.options.loadsPerSecond) * this.slowFactor;
        // Up to `fullSpeedLoadCount` loads can start in a burst; further starts are limited to `loadsPerSecond`.
        const earliestMs = nowMs - intervalMs * (this.options.fullSpeedLoadCount - 1);
        this.nextStartMs = Math.max(this.nextStartMs, earliestMs) + intervalMs;
        const waitMs = this.nextStartMs - intervalMs - nowMs;
        if (waitMs > 0) await new Promise(resolve => setTimeout(resolve, waitMs));
        await new Promise<void>(resolve => {
            this.advanceLoads();
            this.activeLoads.add({ remainingMs: durationMs, onDone: resolve });
            this.scheduleNextFinish();
        });
    }

    async loadAdapter(): Promise<void> {
        const [shortestMs, longestMs] = this.options.adapterLoadMsRange;
        this.activeAdapterLoadCount++;
        const overloadFactor = Math.max(1, this.activeAdapterLoadCount / this.options.fullSpeedAdapterLoadCount);
        const durationMs = (shortestMs + Math.random() * (longestMs - shortestMs)) * overloadFactor * this.slowFactor;
        await new Promise(resolve => setTimeout(resolve, durationMs));
        this.activeAdapterLoadCount--;
    }

    setSlowFactor(factor: number): void {
        this.advanceLoads();
        this.slowFactor = factor;
        this.scheduleNextFinish();
    }

    private currentSpeed(): number {
        const share = Math.min(1, this.options.fullSpeedLoadCount / Math.max(1, this.activeLoads.size));
        return share / this.slowFactor;
    }

    private advanceLoads(): void {
        const nowMs = performance.now();
        const doneMs = (nowMs - this.lastAdvanceMs) * this.currentSpeed();
        this.lastAdvanceMs = nowMs;
        for (const load of this.activeLoads) load.remainingMs -= doneMs;
    }

    private scheduleNextFinish(): void {
        clearTimeout(this.timer);
        if (this.activeLoads.size === 0) return;
        const shortestMs = Math.min(...[...this.activeLoads].map(load => load.remainingMs));
        this.timer = setTimeout(() => this.finishDueLoads(), Math.max(0, shortestMs / this.currentSpeed()));
    }

    private finishDueLoads(): void {
        this.advanceLoads();
        // A timer can fire up to one millisecond early.
        const due = [...this.activeLoads].filter(load => load.remainingMs <= 1);
        for (const load of due) {
            this.activeLoads.delete(load);
            load.onDone();
        }
        this.scheduleNextFinish();
    }
}

/**
 * Creates a stand-in for the weight store, which several engine stand-ins of one process can share.
 *
 * @example
 * const weightStore = createWeightStoreStandIn({ loadsPerSecond: 3.5 });
 */
export function createWeightStoreStandIn(options: WeightStoreOptions = {}): WeightStoreStandIn {
    return new WeightStore({
        loadsPerSecond: 3.5,
        fullSpeedLoadCount: 4,
        adapterLoadMsRange: [5, 7],
        fullSpeedAdapterLoadCount: 32,
        ...options,
    });
}
