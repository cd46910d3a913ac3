import { nowMs } from "../utils/clock.ts";
import type { ServerDirectory } from "./server-directory.ts";

/** Also looks again after this time, since a paused server becomes available without a message. */
const LOOK_AGAIN_MS = 250;

/** Waits until servers change, for one request that has none. */
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

    /** Starts to wait once; each change ends the wait and calls back. */
    arm(): void {
        this.stop();
        const leftMs = this.untilMs - nowMs();
        if (leftMs <= 0) return this.onExpired();
        this.unsubscribe = this.directory.subscribe(() => this.wake());
        this.timer = setTimeout(() => this.wake(), Math.min(leftMs, LOOK_AGAIN_MS));
    }

    stop(): void {
        clearTimeout(this.timer);
        this.unsubscribe?.();
        this.unsubscribe = undefined;
    }

    private wake(): void {
        this.stop();
        this.onChange();
    }
}
