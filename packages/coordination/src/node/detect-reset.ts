import type { Socket } from "node:net";

const NO_BYTES = Buffer.alloc(0);

/**
 * Reports a connection that its peer reset although Node reports a regular end. libuv takes a reset that arrives together
 * with the last bytes for the end of the connection, so that a response without a length looks complete. The error stays
 * with the socket, and the next write fails with it; a write of no bytes sends nothing.
 *
 * The listener is called before a response on the connection emits `end`, or within the same turn of the event loop if a
 * request is still being written. A connection that its peer ended before it reset it isn't reported.
 *
 * @example
 * request.once("socket", socket => detectReset(socket, error => response.destroy(error)));
 */
export function detectReset(socket: Socket, onReset: (error: Error) => void): void {
    // Comes before the listener of Node's HTTP client, which ends the response and the writable side.
    socket.prependOnceListener("end", () => {
        socket.write(NO_BYTES, error => {
            if (error instanceof Error && "code" in error && error.code === "ECONNRESET") onReset(error);
        });
    });
}
