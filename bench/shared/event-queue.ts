import { install } from "@sinonjs/fake-timers";

export type ScheduledEvent = ReturnType<ReturnType<typeof install>["setTimeout"]>;

/** Runs events in order of time, in whole milliseconds; Date.now() returns the simulated time meanwhile. */
export class EventQueue {
    private readonly clock = install({ now: 0, toFake: ["Date"], loopLimit: Number.MAX_SAFE_INTEGER });

    get nowMs(): number {
        return this.clock.now;
    }

    schedule(delayMs: number, run: () => void): ScheduledEvent {
        return this.clock.setTimeout(run, Math.max(0, Math.round(delayMs)));
    }

    cancel(event: ScheduledEvent): void {
        this.clock.clearTimeout(event);
    }

    every(intervalMs: number, run: () => void): void {
        this.clock.setInterval(run, intervalMs);
    }

    runUntil(endMs: number): void {
        this.clock.tick(endMs - this.clock.now);
    }

    close(): void {
        this.clock.uninstall();
    }
}
