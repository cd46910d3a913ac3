/** Milliseconds on a clock that never steps; deadlines and ages are measured on it. */
export function nowMs(): number {
    return performance.now();
}
