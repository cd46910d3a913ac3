import type { Readable } from "node:stream";

/**
 * Discards the rest of a backend server's response. Destroying an unread body emits an error event,
 * which ends the process if there is no listener.
 */
export function discardBody(body: Readable): void {
    body.on("error", () => undefined);
    body.destroy();
}
