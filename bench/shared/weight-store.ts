import type { EventQueue } from "./event-queue.ts";

/** Simulates the weight store with its permits: a limited number of loads runs at full speed, others wait in order. */
export class WeightStore {
    private inFlightCount = 0;
    private readonly queuedLoads: (() => void)[] = [];

    constructor(
        private readonly events: EventQueue,
        private readonly maxInFlight: number,
    ) {}

    /** Runs `done` after the load, which takes `loadMs` once it has started. */
    load(loadMs: number, done: () => void): void {
        this.queuedLoads.push(() => {
            this.events.schedule(loadMs, () => {
                this.inFlightCount -= 1;
                done();
                this.startNext();
            });
        });
        this.startNext();
    }

    private startNext(): void {
        if (this.inFlightCount >= this.maxInFlight) return;
        const start = this.queuedLoads.shift();
        if (start === undefined) return;
        this.inFlightCount += 1;
        start();
    }
}
