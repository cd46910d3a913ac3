export interface WeightStoreOptions {
    /** Sustained loads that may start per second. @default 3.5 */
    readonly loadsPerSecond?: number;
    /** Loads that run at full speed at the same time; more share that speed. @default 4 */
    readonly fullSpeedCount?: number;
    /** Shortest and longest duration of one adapter load. @default [5, 7] */
    readonly adapterMs?: readonly [number, number];
    /** Adapter loads in flight over all engines before each takes proportionally longer. @default 32 */
    readonly adapterFullSpeedCount?: number;
}

export interface WeightStoreStandIn {
    /** Runs one model load of `durationMs` at full speed; resolves once it is done. */
    load(durationMs: number): Promise<void>;
    loadAdapter(): Promise<void>;
    /** Slows all further progress; 10 makes each load ten times as long. */
    setSlowFactor(factor: number): void;
}

interface ActiveLoad {
    remainingMs: number;
    readonly onDone: () => void;
}

/** Loads share the store's speed: progress is `fullSpeedCount / active` of full speed beyond that count. */
class WeightStore implements WeightStoreStandIn {
    private readonly options: Required<WeightStoreOptions>;
    private readonly active = new Set<ActiveLoad>();
    private slowFactor = 1;
    private lastAdvanceMs = 0;
    private nextStartMs = -Infinity;
    private timer: NodeJS.Timeout | undefined;
    private adapterCount = 0;

    constructor(options: Required<WeightStoreOptions>) {
        this.options = options;
    }

    async load(durationMs: number): Promise<void> {
        const nowMs = performance.now();
        const intervalMs = (1000 / this.options.loadsPerSecond) * this.slowFactor;
        // Starts may come in bursts of `fullSpeedCount`; beyond that they keep to the rate.
        const earliestMs = nowMs - intervalMs * (this.options.fullSpeedCount - 1);
        this.nextStartMs = Math.max(this.nextStartMs, earliestMs) + intervalMs;
        const waitMs = this.nextStartMs - intervalMs - nowMs;
        if (waitMs > 0) await new Promise(resolve => setTimeout(resolve, waitMs));
        await new Promise<void>(resolve => {
            this.advanceLoads();
            this.active.add({ remainingMs: durationMs, onDone: resolve });
            this.scheduleNextFinish();
        });
    }

    async loadAdapter(): Promise<void> {
        const [shortestMs, longestMs] = this.options.adapterMs;
        this.adapterCount++;
        const overloadFactor = Math.max(1, this.adapterCount / this.options.adapterFullSpeedCount);
        const durationMs = (shortestMs + Math.random() * (longestMs - shortestMs)) * overloadFactor * this.slowFactor;
        await new Promise(resolve => setTimeout(resolve, durationMs));
        this.adapterCount--;
    }

    setSlowFactor(factor: number): void {
        this.advanceLoads();
        this.slowFactor = factor;
        this.scheduleNextFinish();
    }

    private currentSpeed(): number {
        const share = Math.min(1, this.options.fullSpeedCount / Math.max(1, this.active.size));
        return share / this.slowFactor;
    }

    private advanceLoads(): void {
        const nowMs = performance.now();
        const doneMs = (nowMs - this.lastAdvanceMs) * this.currentSpeed();
        this.lastAdvanceMs = nowMs;
        for (const load of this.active) load.remainingMs -= doneMs;
    }

    private scheduleNextFinish(): void {
        clearTimeout(this.timer);
        if (this.active.size === 0) return;
        const shortestMs = Math.min(...[...this.active].map(load => load.remainingMs));
        this.timer = setTimeout(() => this.finishDueLoads(), Math.max(0, shortestMs / this.currentSpeed()));
    }

    private finishDueLoads(): void {
        this.advanceLoads();
        // Timers fire up to one millisecond early.
        const due = [...this.active].filter(load => load.remainingMs <= 1);
        for (const load of due) {
            this.active.delete(load);
            load.onDone();
        }
        this.scheduleNextFinish();
    }
}

/**
 * Creates a weight store that several engine stand-ins of one process share.
 *
 * @example
 * const weightStore = createWeightStoreStandIn({ loadsPerSecond: 3.5 });
 */
export function createWeightStoreStandIn(options: WeightStoreOptions = {}): WeightStoreStandIn {
    return new WeightStore({
        loadsPerSecond: 3.5,
        fullSpeedCount: 4,
        adapterMs: [5, 7],
        adapterFullSpeedCount: 32,
        ...options,
    });
}
