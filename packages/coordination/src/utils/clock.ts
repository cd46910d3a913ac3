/** Milliseconds on the monotonic clock, which is used for deadlines and ages. */
export function nowMs(): number {
    return performance.now();
}

/**
 * Measures elapsed time including suspensions of the host, which the monotonic clock omits.
 *
 * @example
 * const watch = new Stopwatch();
 * watch.elapsedMs();
 */
export class Stopwatch {
    private readonly steadyStartMs: number;
    private readonly wallStartMs: number;

    /** @param elapsedMs time that has elapsed already */
    constructor(elapsedMs = 0) {
        this.steadyStartMs = performance.now() - elapsedMs;
        this.wallStartMs = Date.now() - elapsedMs;
    }

    /** Returns the larger reading of both clocks; a wall clock that jumps ahead only makes the result too large. */
    elapsedMs(): number {
        return Math.max(performance.now() - this.steadyStartMs, Date.now() - this.wallStartMs);
    }
}
