import { OutcomeUnknownError, UnavailableError } from "@skylarkmill/protocol";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { type Dispatcher, Pool } from "undici";
import { type SendTracker, trackSend } from "../runtime/tracked-dispatch.ts";
import type { BackendClient, BackendRequest } from "../types/engine.ts";

export interface BackendClientOptions {
    /** Base URL of the backend server, such as `http://127.0.0.1:9000`. */
    readonly baseUrl: string;
    /** Maximum number of connections to the server; further requests wait for a free one. @default 64 */
    readonly maxConnections?: number;
    /** Timeout for opening a connection. @default 1000 */
    readonly connectTimeoutMs?: number;
}

export interface ClosableBackendClient extends BackendClient {
    close(): Promise<void>;
}

/**
 * Creates a client that sends requests to one backend server over a pool of persistent connections.
 *
 * A request fails with `UnavailableError` if no byte of it was sent, and with `OutcomeUnknownError` if it may have run.
 * Only the request's signal limits its duration; the client sets no timeout after the connection is open.
 *
 * @example
 * const client = createBackendClient({ baseUrl: "http://127.0.0.1:9000", maxConnections: 32 });
 * const response = await client.send({ method: "GET", path: "/stock/hub", headers: {}, body: undefined, signal });
 */
export function createBackendClient(options: BackendClientOptions): ClosableBackendClient {
    const url = new URL(options.baseUrl);
    const pool = new Pool(url.origin, {
        connections: options.maxConnections ?? 64,
        pipelining: 1,
        connectTimeout: options.connectTimeoutMs ?? 1000,
        headersTimeout: 0,
        bodyTimeout: 0,
    });
    const dispatcher = pool.compose(trackSend);
    const errorContext = { step: "backend.send", peer: url.host };

    async function send(
        request: BackendRequest,
    ): Promise<Result<Dispatcher.ResponseData, UnavailableError | OutcomeUnknownError>> {
        const sendTracker: SendTracker = { hasStarted: false };
        const { method, path, headers, body, signal } = request;
        const requestOptions = {
            method: method,
            path,
            headers: { ...headers },
            signal,
            sendTracker,
            ...(body === undefined ? {} : { body }),
        };
        try {
            const response = await dispatcher.request(requestOptions);
            // A body that is discarded or aborted before it is read emits `error`, which ends the process if there
            // is no listener.
            response.body.on("error", () => undefined);
            return ok(response);
        }
        catch (cause) {
            const message = `${method} ${path} failed: ${cause instanceof Error ? cause.message : String(cause)}`;
            if (sendTracker.hasStarted) return err(new OutcomeUnknownError(message, { ...errorContext, cause }));
            return err(new UnavailableError(message, { ...errorContext, cause }));
        }
    }

    return { send: request => new ResultAsync(send(request)), close: () => pool.destroy() };
}
