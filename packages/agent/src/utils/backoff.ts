/**
 * Returns an exponential backoff delay with jitter: a random value between half of the delay and the whole delay.
 *
 * @example
 * backoffMs(3, 100, 5000); // between 200 and 400
 */
export function backoffMs(failureCount: number, minMs: number, maxMs: number): number {
    const fullDelayMs = Math.min(maxMs, minMs * 2 ** Math.max(0, failureCount - 1));
    return fullDelayMs / 2 + Math.random() * fullDelayMs / 2;
}
