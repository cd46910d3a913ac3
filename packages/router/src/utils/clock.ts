/** Returns the time of the monotonic clock in milliseconds. Deadlines and ages are measured with it. */
export function nowMs(): number {
    return performance.now();
}
