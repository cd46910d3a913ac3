import { UnavailableError } from "@skylarkmill/protocol";
import { ResultAsync } from "neverthrow";
import type { Server, ServerResponse } from "node:http";
import { type AddressInfo, Server as NetServer } from "node:net";
import { LogLimiter } from "../runtime/log-limiter.ts";
import type { Logger } from "../types/logger.ts";
import { sleep } from "../utils/sleep.ts";

/** Address to bind; port 0 selects a free port. */
export interface ListenAddress {
    readonly host: string;
    readonly port: number;
}

/**
 * Binds a server exclusively and returns its port. Fails with `UnavailableError` when the port can't be bound; `step` is
 * the step of that error.
 *
 * @example
 * const port = await listen(server, { host: "127.0.0.1", port: 0 }, "caller.listen");
 */
export function listen(
    server: NetServer,
    address: ListenAddress,
    step: string,
): ResultAsync<number, UnavailableError> {
    return ResultAsync.fromPromise(bind(server, address), cause => toUnavailableError(address, step, cause));
}

function toUnavailableError(address: ListenAddress, step: string, cause: unknown): UnavailableError {
    const peer = `${address.host}:${address.port}`;
    return new UnavailableError(`cannot bind ${peer}`, { step, peer, cause });
}

/** Interval at which a port that is in use is tried again. */
const BIND_RETRY_INTERVAL_MS = 100;
/** Interval at which a port that is still in use is logged. */
const BIND_REPORT_INTERVAL_MS = 5_000;
/** Largest number of log lines per second and server about connections that can't be accepted. */
const MAX_ACCEPT_ERROR_LINES_PER_SECOND = 1;
const RETRY_MESSAGE = "port can't be bound; it is tried again";
/** Messages about errors of a bind whose cause can end while the process waits; all others are final. */
const TEMPORARY_BIND_ERRORS: ReadonlyMap<string, string> = new Map([
    ["EADDRINUSE", "port is in use; it is taken when it is free"],
    // A host's interfaces come up one by one, and a floating address comes with a failover.
    ["EADDRNOTAVAIL", "address is not one of the host's; the port is taken when it is"],
    ["EMFILE", RETRY_MESSAGE],
    ["ENFILE", RETRY_MESSAGE],
    ["ENOBUFS", RETRY_MESSAGE],
    ["ENOMEM", RETRY_MESSAGE],
]);

export interface ListenWhenFreeOptions {
    /** Step of log lines and of the error. */
    readonly step: string;
    readonly logger: Logger;
    /** Ends the wait. */
    readonly signal: AbortSignal;
}

/**
 * Binds a server exclusively as soon as its port is free and its address is one of the host's, and returns the port, or
 * undefined if the signal aborts first. An outgoing connection of any program may hold a port for as long as it lives.
 * Fails with `UnavailableError` when waiting can't help, such as for a port that needs a permission.
 *
 * @example
 * const port = await listenWhenFree(server, address, { step: "caller.listen", logger, signal });
 */
export function listenWhenFree(
    server: NetServer,
    address: ListenAddress,
    options: ListenWhenFreeOptions,
): ResultAsync<number | undefined, UnavailableError> {
    return ResultAsync.fromPromise(
        bindWhenFree(server, address, options),
        cause => toUnavailableError(address, options.step, cause),
    );
}

async function bindWhenFree(
    server: NetServer,
    address: ListenAddress,
    { step, logger, signal }: ListenWhenFreeOptions,
): Promise<number | undefined> {
    const fields = { step, peer: `${address.host}:${address.port}` };
    const startedAtMs = performance.now();
    let reportedAtMs: number | undefined;
    while (!signal.aborted) {
        try {
            const port = await bind(server, address);
            logAcceptErrors(server, fields, logger);
            if (reportedAtMs !== undefined) {
                const waitedMs = Math.round(performance.now() - startedAtMs);
                logger.info({ ...fields, waitedMs }, "port was taken");
            }
            return port;
        }
        catch (error) {
            const { code } = error as NodeJS.ErrnoException;
            const message = TEMPORARY_BIND_ERRORS.get(code ?? "");
            if (message === undefined) throw error;
            const nowMs = performance.now();
            if (reportedAtMs === undefined || nowMs - reportedAtMs >= BIND_REPORT_INTERVAL_MS) {
                reportedAtMs = nowMs;
                logger.warn(
                    { ...fields, cause: code, sinceMs: Math.round(nowMs - startedAtMs) },
                    message,
                );
            }
            await sleep(BIND_RETRY_INTERVAL_MS, signal);
        }
    }
    return undefined;
}

/** Logs the errors of a server that listens, such as a system without a free file descriptor for a connection. */
function logAcceptErrors(server: NetServer, fields: object, logger: Logger): void {
    const limiter = new LogLimiter(MAX_ACCEPT_ERROR_LINES_PER_SECOND);
    // Without a listener the error would end the process.
    server.on("error", error => {
        const skipped = limiter.admitEvent(performance.now());
        if (skipped !== undefined) logger.error({ ...fields, skipped, err: error }, "a connection can't be accepted");
    });
}

function bind(server: NetServer, { host, port }: ListenAddress): Promise<number> {
    return new Promise((resolve, reject) => {
        const onListening = (): void => {
            server.off("error", onError);
            resolve((server.address() as AddressInfo).port);
        };
        const onError = (error: Error): void => {
            server.off("listening", onListening);
            reject(error);
        };
        server.once("error", onError).once("listening", onListening);
        server.listen({ host, port, exclusive: true });
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
