import { UnavailableError } from "@skylarkmill/protocol";
import { ResultAsync } from "neverthrow";
import type { Server, ServerResponse } from "node:http";
import { type AddressInfo, Server as NetServer } from "node:net";
import { sleep } from "../utils/sleep.ts";

/** Address to bind; port 0 selects a free port. */
export interface ListenAddress {
    readonly host: string;
    readonly port: number;
}

/** Interval at which a port that is in use is tried again. */
const BIND_RETRY_INTERVAL_MS = 100;

/**
 * Binds a server exclusively and returns its port. A port that is in use is tried again for `retryMs`, since an outgoing
 * connection of another process may hold it for a moment. Fails with `UnavailableError` when the port can't be bound;
 * `step` is the step of that error.
 *
 * @example
 * const port = await listen(server, { host: "127.0.0.1", port: 0 }, "caller.listen");
 */
export function listen(
    server: Server,
    address: ListenAddress,
    step: string,
    retryMs = 0,
): ResultAsync<number, UnavailableError> {
    return ResultAsync.fromPromise(
        bindWithRetries(server, address, performance.now() + retryMs),
        cause =>
            new UnavailableError(`cannot bind ${address.host}:${address.port}`, {
                step,
                peer: `${address.host}:${address.port}`,
                cause,
            }),
    );
}

async function bindWithRetries(server: Server, address: ListenAddress, retryUntilMs: number): Promise<number> {
    for (;;) {
        try {
            return await bind(server, address);
        }
        catch (error) {
            const isInUse = (error as NodeJS.ErrnoException).code === "EADDRINUSE";
            if (!isInUse || performance.now() >= retryUntilMs) throw error;
            await sleep(BIND_RETRY_INTERVAL_MS);
        }
    }
}

function bind(server: Server, { host, port }: ListenAddress): Promise<number> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen({ host, port, exclusive: true }, () => {
            server.off("error", reject);
            resolve((server.address() as AddressInfo).port);
        });
    });
}

/**
 * Time after which connections that Node.js does not count as idle, such as ones that never carried a request, are
 * closed too; a request in transit can still arrive until then.
 */
const CLOSE_GRACE_MS = 1000;
/** Interval at which connections that became idle are closed. */
const CLOSE_CHECK_INTERVAL_MS = 20;

/**
 * Closes a server that has no requests in progress. Idle connections are closed at once and the rest after a
 * grace period, since Node.js does not count a connection that never carried a request as idle.
 */
export function closeServer(server: Server): Promise<void> {
    return new Promise(resolve => {
        const idleCheckTimer = setInterval(() => server.closeIdleConnections(), CLOSE_CHECK_INTERVAL_MS);
        const forceCloseTimer = setTimeout(() => server.closeAllConnections(), CLOSE_GRACE_MS);
        server.close(() => {
            clearInterval(idleCheckTimer);
            clearTimeout(forceCloseTimer);
            resolve();
        });
    });
}

/**
 * Time after the start of a drain for which idle keep-alive connections stay open, so that a request in transit still
 * gets a response.
 */
const KEEP_ALIVE_GRACE_MS = 500;

/**
 * Stops accepting connections at once and closes open ones when they are idle. A caller whose connection is refused
 * retries at another router; a request that arrives on an open connection still gets a response.
 * `isIdle` returns whether no requests are in progress.
 *
 * @example
 * await drainServer(server, () => counts.total === 0);
 */
export function drainServer(server: Server, isIdle: () => boolean): Promise<void> {
    const drainStartMs = performance.now();
    return new Promise(resolve => {
        const checkTimer = setInterval(() => {
            const elapsedMs = performance.now() - drainStartMs;
            if (elapsedMs < KEEP_ALIVE_GRACE_MS) return;
            server.closeIdleConnections();
            if (elapsedMs >= CLOSE_GRACE_MS && isIdle()) server.closeAllConnections();
        }, CLOSE_CHECK_INTERVAL_MS);
        // `close` of an HTTP server would also close keep-alive connections, on which a request may be in transit.
        NetServer.prototype.close.call(server, () => {
            clearInterval(checkTimer);
            resolve();
        });
    });
}

/**
 * Ends a response that can't be completed, so that its caller can tell it from a complete one. A caller of HTTP/1.0 can't
 * be sent chunks and takes the regular end of the connection for the end of the response, so its connection is reset.
 *
 * @example
 * response.writeHead(200).write("the first part");
 * abortResponse(response);
 */
export function abortResponse(response: ServerResponse): void {
    if (response.headersSent && !response.chunkedEncoding) response.socket?.resetAndDestroy();
    response.destroy();
}
