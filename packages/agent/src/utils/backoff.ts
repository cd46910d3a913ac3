/**
 * Returns an exponential delay whose upper half is random.
 *
 * @example
 * backoffMs(3, 100, 5000); // between 200 and 400
 */
export function backoffMs(failureCount: number, minMs: number, maxMs: number): number {
    const longest = Math.min(maxMs, minMs * 2 ** Math.max(0, failureCount - 1));
    return longest / 2 + Math.random() * longest / 2;
}
