import type { IncomingMessage } from "node:http";
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

/**
 * Whether the error of a connection cuts the response. A reset doesn't cut one whose last byte has arrived, if that byte
 * is known by a length, by chunks or by the status.
 */
export function isCutBy(error: Error, response: IncomingMessage): boolean {
    const { complete, headers, statusCode } = response;
    const hasKnownEnd = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined
        || statusCode === 204 || statusCode === 304;
    const isReset = "code" in error && error.code === "ECONNRESET";
    return !(isReset && complete && hasKnownEnd);
}
