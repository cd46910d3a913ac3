import type { Readable } from "node:stream";

/**
 * Drops what is left of a backend server's answer. Destroying an unread body raises an error
 * event, which would end the process when nobody listens.
 */
export function discardBody(body: Readable): void {
    body.on("error", () => undefined);
    body.destroy();
}
