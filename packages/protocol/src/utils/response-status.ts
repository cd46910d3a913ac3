/** Range of the statuses with which an HTTP response ends; those below are informational (RFC 9110, section 15). */
const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;

/**
 * Whether a response with this status can be the answer to a request. HTTP libraries pass on any three digits.
 *
 * @example
 * isFinalStatus(404); // true
 * isFinalStatus(0); // false
 */
export function isFinalStatus(status: number): boolean {
    return status >= MIN_FINAL_STATUS && status <= MAX_FINAL_STATUS;
}
