/**
 * Waits until the duration has elapsed or the signal aborts; never rejects.
 *
 * @example
 * await sleep(200, signal);
 */
export function sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted === true) return Promise.resolve();
    return new Promise(resolve => {
        const finish = () => {
            clearTimeout(timer);
            signal?.removeEventListener("abort", finish);
            resolve();
        };
        const timer = setTimeout(finish, durationMs);
        signal?.addEventListener("abort", finish, { once: true });
    });
}
