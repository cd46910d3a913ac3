import { nowMs } from "@skylarkmill/coordination";
import type { ServerDirectory } from "./server-directory.ts";

/** Interval of additional checks, since the end of a server's backoff causes no change event. */
const RECHECK_INTERVAL_MS = 250;

/** Waits for changes of the servers on behalf of one request for which none is available. */
export class ServerWait {
    private readonly directory: ServerDirectory;
    private readonly untilMs: number;
    private readonly onChange: () => void;
    private readonly onExpired: () => void;
    private timer: NodeJS.Timeout | undefined;
    private unsubscribe: (() => void) | undefined;

    constructor(directory: ServerDirectory, untilMs: number, onChange: () => void, onExpired: () => void) {
        this.directory = directory;
        this.untilMs = untilMs;
        this.onChange = onChange;
        this.onExpired = onExpired;
    }

    /** Waits for the next change or check and then calls `onChange`; calls `onExpired` if the time limit has passed. */
    start(): void {
        this.stop();
        const leftMs = this.untilMs - nowMs();
        if (leftMs <= 0) return this.onExpired();
        this.unsubscribe = this.directory.subscribe(() => this.handleChange());
        this.timer = setTimeout(() => this.handleChange(), Math.min(leftMs, RECHECK_INTERVAL_MS));
    }

    stop(): void {
        clearTimeout(this.timer);
        this.unsubscribe?.();
        this.unsubscribe = undefined;
    }

    private handleChange(): void {
        this.stop();
        this.onChange();
    }
}
