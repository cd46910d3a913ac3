import { detectReset, isCutBy, ResponseFlow } from "@skylarkmill/coordination";
import { isFinalStatus, OutcomeUnknownError, UnavailableError } from "@skylarkmill/protocol";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { Agent, type ClientRequest, request as httpRequest } from "node:http";
import type { Socket } from "node:net";
import { urlToHttpOptions } from "node:url";
import type { BackendClient, BackendRequest, BackendResponse } from "../types/engine.ts";

const DEFAULT_MAX_CONNECTIONS = 64;
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
/** A faulty server may send informational responses without end. */
const MAX_INFORMATIONAL_RESPONSES = 10;

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
 * Creates a client that sends requests to one backend server.
 *
 * No connection is used again: a plain service's response names no request, so a late second copy of one would be taken
 * for the response to the next request. Node's client is used in place of undici, which ends a response without a length
 * normally when its connection is reset.
 *
 * A request fails with `UnavailableError` if no byte of it was sent, and with `OutcomeUnknownError` if it may have run.
 * Only the request's signal limits its duration; the client sets no timeout after the connection is open.
 *
 * A response in very many chunks, whose reads take long, is read in turns with the other costly reads of the process.
 *
 * @example
 * const client = createBackendClient({ baseUrl: "http://127.0.0.1:9000", maxConnections: 32 });
 * const response = await client.send({ method: "GET", path: "/stock/hub", headers: {}, body: undefined, signal });
 */
export function createBackendClient(options: BackendClientOptions): ClosableBackendClient {
    const url = new URL(options.baseUrl);
    const { hostname, port } = urlToHttpOptions(url);
    const agent = new Agent({ keepAlive: false, maxSockets: options.maxConnections ?? DEFAULT_MAX_CONNECTIONS });
    const connectTimeoutMs = options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS;
    const errorContext = { step: "backend.send", peer: url.host };

    function send(
        { method, path, headers, body, signal }: BackendRequest,
    ): Promise<Result<BackendResponse, UnavailableError | OutcomeUnknownError>> {
        return new Promise(resolve => {
            let mayHaveBeenSent = false;
            const fail = (cause: unknown): void => {
                const message = `${method} ${path} failed: ${cause instanceof Error ? cause.message : String(cause)}`;
                const context = { ...errorContext, cause };
                const Failure = mayHaveBeenSent ? OutcomeUnknownError : UnavailableError;
                resolve(err(new Failure(message, context)));
            };
            if (signal.aborted) return fail(signal.reason);
            const request = httpRequest({ agent, host: hostname, port, method, path, headers: { ...headers }, signal });
            let flow: ResponseFlow | undefined;
            request.once("socket", socket => {
                flow = new ResponseFlow(socket);
                watchConnection(request, socket, connectTimeoutMs, () => {
                    mayHaveBeenSent = true;
                });
            });
            limitInformationalResponses(request);
            request.on("error", fail);
            // A switch of protocols closes the connection with neither an error nor a response.
            request.once("close", () => fail(new Error("the connection closed before a response arrived")));
            request.once("response", response => {
                const { statusCode = 0 } = response;
                if (!isFinalStatus(statusCode)) {
                    request.destroy(new Error(`status ${statusCode} is no status of a response`));
                    return;
                }
                // A body that is discarded or aborted before it is read emits `error`, which ends the process if there
                // is no listener.
                response.on("error", () => undefined);
                // Node reports a reset on the request, and then ends a response without a length as if it were complete.
                const destroyIfCut = (error: Error): void => {
                    if (isCutBy(error, response)) response.destroy(error);
                };
                request.on("error", destroyIfCut);
                detectReset(response.socket, destroyIfCut);
                flow?.countChunks(response);
                resolve(ok({ statusCode, headers: response.headers, body: response }));
            });
            request.end(body);
        });
    }

    return {
        send: request => new ResultAsync(send(request)),
        close: () => {
            agent.destroy();
            return Promise.resolve();
        },
    };
}

function watchConnection(request: ClientRequest, socket: Socket, timeoutMs: number, onConnect: () => void): void {
    socket.setNoDelay(true);
    const timer = setTimeout(() => request.destroy(new Error("timed out while connecting")), timeoutMs);
    const finish = (): void => clearTimeout(timer);
    socket.once("connect", () => {
        finish();
        onConnect();
    });
    socket.once("close", finish);
}

function limitInformationalResponses(request: ClientRequest): void {
    let count = 0;
    request.on("information", () => {
        count += 1;
        if (count > MAX_INFORMATIONAL_RESPONSES) request.destroy(new Error("too many informational responses"));
    });
}
