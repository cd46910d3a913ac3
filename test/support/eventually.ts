import { setTimeout as sleep } from "node:timers/promises";

/** Polls `read` until it returns a value; fails after the timeout with the last error. */
export async function eventually<T>(
    description: string,
    read: () => Promise<T | undefined> | T | undefined,
    timeoutMs = 15_000,
): Promise<T> {
    const endMs = performance.now() + timeoutMs;
    let reason = "";
    while (performance.now() < endMs) {
        try {
            const value = await read();
            if (value !== undefined) return value;
        }
        catch (cause) {
            reason = `; last error: ${cause instanceof Error ? cause.message : String(cause)}`;
        }
        await sleep(20);
    }
    throw new Error(`timed out after ${timeoutMs} ms waiting for ${description}${reason}`);
}
