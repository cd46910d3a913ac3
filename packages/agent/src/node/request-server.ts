import { createAdaptorServer, type HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import {
    type BodyMemory,
    createInternalServerOptions,
    guardInternalServer,
    isAcceptedSecret,
    listenWhenFree,
    sleep,
} from "@skylarkmill/coordination";
import { HEADERS, type Refusal, type SkylarkmillError } from "@skylarkmill/protocol";
import type Logger from "bunyan";
import { type Context, Hono } from "hono";
import { err, ok, type Result, type ResultAsync } from "neverthrow";
import type { OutgoingHttpHeaders, Server, ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import { createRefusalResponse } from "../runtime/attempt.ts";
import type { ListenAddress } from "../types/options.ts";
import type { RequestHead } from "../types/request.ts";
import type { AgentResponse } from "../types/response.ts";
import { readRequestBody } from "../utils/read-request-body.ts";
import { REFUSALS } from "../utils/refusals.ts";
import { parseRequestHead } from "../utils/request-head.ts";

/** Time after a request's deadline for sending the rest of its response. */
const SEND_GRACE_MS = 1000;
/** Time for sending the response to a request that has no deadline. */
const SEND_TIMEOUT_MS = 5000;
/** Interval at which a server that closes looks for open responses. */
const CLOSE_CHECK_INTERVAL_MS = 20;

/** Retry delay sent while there is no memory for a body. */
const NO_MEMORY_RETRY_MS = 1000;

/** Routers reuse connections; Node's default of 5 s would close most of them between two requests. */
const KEEP_ALIVE_TIMEOUT_MS = 65_000;

export interface RoutedRequest {
    readonly head: RequestHead;
    readonly method: string;
    /** Path with the query. */
    readonly path: string;
    readonly headers: Headers;
    readonly body: Uint8Array | undefined;
    /** Aborted when the router closes the connection. */
    readonly signal: AbortSignal;
}

export interface RequestServerOptions {
    readonly listen: ListenAddress;
    readonly peerKeys: () => readonly string[];
    readonly maxBodyBytes: number;
    readonly bodyMemory: BodyMemory;
    readonly handle: (request: RoutedRequest) => Promise<AgentResponse>;
    readonly serverLoadHeader: () => string;
    readonly isReady: () => boolean;
    readonly metrics: () => Promise<{ readonly contentType: string; readonly text: string; }>;
    readonly onRefused: (refusal: Refusal) => void;
    readonly logger: Logger;
    /** Ends the wait for the port. */
    readonly signal: AbortSignal;
}

export interface RequestServer {
    readonly port: number;
    /** Stops accepting connections, closes idle ones and resolves when all connections are closed. */
    close(): Promise<void>;
}

/**
 * Starts the HTTP server for requests of routers as soon as its port can be bound. Returns undefined if the signal aborts
 * first; fails with `UnavailableError` if the port can never be bound.
 */
export function startRequestServer(
    options: RequestServerOptions,
): ResultAsync<RequestServer | undefined, SkylarkmillError> {
    const server = createAdaptorServer({
        fetch: createApp(options).fetch,
        serverOptions: createInternalServerOptions(),
    }) as Server;
    server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
    const openResponses = trackOpenResponses(server);
    guardInternalServer(server);
    return listenWhenFree(server, options.listen, { ...options, step: "request.listen" }).map(port =>
        port === undefined ? undefined : { port, close: () => closeServer(server, openResponses) }
    );
}

type RequestContext = Context<{ Bindings: HttpBindings; }>;

function createApp(options: RequestServerOptions): Hono<{ Bindings: HttpBindings; }> {
    const app = new Hono<{ Bindings: HttpBindings; }>();
    app.on("GET", ["/healthz", "/readyz", "/metrics"], (context, next) => {
        if (!hasPeerKey(context)) destroyAfter(context.env.outgoing, SEND_TIMEOUT_MS);
        return next();
    });
    // With a peer key, requests to these paths are for the service of the backend server.
    app.get("/healthz", (context, next) => hasPeerKey(context) ? next() : context.text("ok"));
    app.get("/readyz", (context, next) => {
        if (hasPeerKey(context)) return next();
        return options.isReady() ? context.text("ready") : context.text("not ready", 503);
    });
    app.get("/metrics", async (context, next) => {
        if (hasPeerKey(context)) return next();
        const { contentType, text } = await options.metrics();
        return context.body(text, 200, { "content-type": contentType });
    });
    app.all("*", context => handleRequest(context, options));
    return app;
}

function hasPeerKey(context: Context): boolean {
    return context.req.header(HEADERS.peerKey) !== undefined;
}

async function handleRequest(context: RequestContext, options: RequestServerOptions): Promise<Response> {
    const { incoming, outgoing } = context.env;
    try {
        const response = await readAndHandle(context, options);
        if (response.isOk()) return sendResponse(response.value, context, options);
        options.onRefused(response.error);
        destroyAfter(outgoing, SEND_TIMEOUT_MS);
        if (!incoming.complete) outgoing.setHeader("connection", "close");
        return sendResponse(createRefusalResponse(response.error), context, options);
    }
    catch (error) {
        options.logger.error(
            { step: "request.answer", peer: "router", err: error },
            "request could not be handled; closing the connection",
        );
        // Closing the connection also aborts the dispatched request.
        outgoing.destroy();
        return RESPONSE_ALREADY_SENT;
    }
}

async function readAndHandle(
    context: RequestContext,
    options: RequestServerOptions,
): Promise<Result<AgentResponse, Refusal>> {
    const { incoming, outgoing } = context.env;
    const header = (name: string): string | undefined => context.req.header(name);
    if (!isAcceptedSecret(header(HEADERS.peerKey), options.peerKeys())) return err(REFUSALS.unauthorized());
    const head = parseRequestHead(header, Date.now());
    if (head.isErr()) return err(REFUSALS.badRequestHead(head.error));
    const share = options.bodyMemory.open();
    const signal = createDisconnectSignal(outgoing, head.value.deadlineAtMs, () => share.release());
    const body = await readRequestBody(incoming, options.maxBodyBytes, share);
    if (body.isErr()) {
        if (body.error === "too_large") return err(REFUSALS.bodyTooLarge());
        if (body.error === "no_memory") return err(REFUSALS.overloaded("no_memory", NO_MEMORY_RETRY_MS));
        return err(REFUSALS.badRequestHead("The body broke off."));
    }
    return ok(
        await options.handle({
            head: head.value,
            method: incoming.method ?? "GET",
            path: incoming.url ?? "/",
            headers: context.req.raw.headers,
            body: body.value,
            signal,
        }),
    );
}

/**
 * Returns a signal that aborts when the connection closes before the response has been sent; `onEnd` is called at the end
 * of the response in any case. Also closes the connection some time after the deadline, for routers that have stopped
 * reading.
 */
function createDisconnectSignal(outgoing: ServerResponse, deadlineAtMs: number, onEnd: () => void): AbortSignal {
    const controller = new AbortController();
    destroyAfter(outgoing, Math.max(0, deadlineAtMs - Date.now()) + SEND_GRACE_MS);
    const onClose = (): void => {
        onEnd();
        if (!outgoing.writableFinished) controller.abort();
    };
    outgoing.once("close", onClose);
    if (outgoing.destroyed) onClose();
    return controller.signal;
}

/** Closes the connection of a response that is still open after the delay. */
function destroyAfter(outgoing: ServerResponse, delayMs: number): void {
    if (outgoing.destroyed) return;
    const timer = setTimeout(() => outgoing.destroy(), delayMs);
    outgoing.once("close", () => clearTimeout(timer));
}

function sendResponse(response: AgentResponse, context: RequestContext, options: RequestServerOptions): Response {
    const { status, headers, body } = response;
    const { outgoing } = context.env;
    const attemptId = context.req.header(HEADERS.attemptId);
    if (attemptId !== undefined) headers.set(HEADERS.attemptId, attemptId);
    headers.set(HEADERS.load, options.serverLoadHeader());
    if (!headers.has(HEADERS.execution)) headers.set(HEADERS.execution, "run");
    if (body === undefined || typeof body === "string" || body instanceof Uint8Array) {
        return new Response(body, { status, headers });
    }
    // Written without a web stream, whose overhead would add processor time to every token.
    outgoing.writeHead(status, toNodeHeaders(headers));
    outgoing.flushHeaders();
    // If the body fails, `pipeline` destroys the connection, so that the router detects the incomplete response.
    pipeline(body, outgoing).catch(() => undefined);
    return RESPONSE_ALREADY_SENT;
}

function toNodeHeaders(headers: Headers): OutgoingHttpHeaders {
    const cookies = headers.getSetCookie();
    return { ...Object.fromEntries(headers), ...(cookies.length > 0 ? { "set-cookie": cookies } : {}) };
}

function trackOpenResponses(server: Server): Set<ServerResponse> {
    const openResponses = new Set<ServerResponse>();
    server.on("request", (_request, response) => {
        openResponses.add(response);
        response.once("close", () => openResponses.delete(response));
    });
    return openResponses;
}

/** Closes the connections once the last response has been sent. */
async function closeServer(server: Server, openResponses: ReadonlySet<ServerResponse>): Promise<void> {
    const closed = new Promise<void>(resolve => server.close(() => resolve()));
    // Of pipelined requests whose connection breaks, Node.js closes only the response that is being sent.
    while ([...openResponses].some(({ req }) => !req.socket.destroyed)) await sleep(CLOSE_CHECK_INTERVAL_MS);
    server.closeAllConnections();
    await closed;
}
