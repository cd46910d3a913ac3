/** Longest time for which a server is left alone at its own word; it states a new time once that has passed. */
const MAX_RETRY_AFTER_MS = 60_000;
/** Seconds, whole or with a fraction. */
const SECONDS = /^\d{1,15}(\.\d{1,9})?$/;

/**
 * Parses a `Retry-After` header in seconds and limits it to a minute. Returns undefined for any other form, such as a
 * date, since the clocks of two hosts may differ.
 *
 * @example
 * parseRetryAfterMs("1.5"); // 1_500
 */
export function parseRetryAfterMs(value: string): number | undefined {
    return SECONDS.test(value) ? Math.min(MAX_RETRY_AFTER_MS, Number(value) * 1_000) : undefined;
}
