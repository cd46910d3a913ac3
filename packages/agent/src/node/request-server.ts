import { type HttpBindings, serve, type ServerType } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { acceptsKey } from "@skylarkmill/coordination";
import { HEADERS, type Refusal, type SkylarkmillError, UnavailableError } from "@skylarkmill/protocol";
import type Logger from "bunyan";
import { type Context, Hono } from "hono";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { once } from "node:events";
import type { OutgoingHttpHeaders, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { pipeline } from "node:stream/promises";
import { refusalAnswer } from "../runtime/attempt.ts";
import type { AgentAnswer } from "../types/answer.ts";
import type { ListenAddress } from "../types/options.ts";
import type { RequestHead } from "../types/request.ts";
import { readBody } from "../utils/read-body.ts";
import { REFUSALS } from "../utils/refusals.ts";
import { parseRequestHead } from "../utils/request-head.ts";

/** Time after a request's deadline to send what is left of its answer. */
const SEND_GRACE_MS = 1000;

/** Routers keep connections for the next request; Node's default of 5 s would close most of them in between. */
const KEEP_ALIVE_MS = 65_000;

export interface RoutedRequest {
    readonly head: RequestHead;
    readonly method: string;
    /** Path with the query. */
    readonly path: string;
    readonly headers: Headers;
    readonly body: Uint8Array | undefined;
    /** Aborted when the router goes away. */
    readonly signal: AbortSignal;
}

export interface RequestServerOptions {
    readonly listen: ListenAddress;
    readonly peerKeys: () => readonly string[];
    readonly maxBodyBytes: number;
    readonly handle: (request: RoutedRequest) => Promise<AgentAnswer>;
    readonly loadHeader: () => string;
    readonly isReady: () => boolean;
    readonly metrics: () => Promise<{ readonly contentType: string; readonly text: string; }>;
    readonly onRefused: (refusal: Refusal) => void;
    readonly logger: Logger;
}

export interface RequestServer {
    readonly port: number;
    /** Takes no new connection and ends idle ones; resolves when the last has ended. */
    close(): Promise<void>;
}

/** Starts the HTTP interface for routers. */
export function startRequestServer(options: RequestServerOptions): ResultAsync<RequestServer, SkylarkmillError> {
    return ResultAsync.fromPromise(
        listen(createApp(options), options.listen),
        cause =>
            new UnavailableError(`The request interface can't bind ${options.listen.host}:${options.listen.port}.`, {
                step: "request.listen",
                peer: `${options.listen.host}:${options.listen.port}`,
                cause,
            }),
    );
}

type AgentContext = Context<{ Bindings: HttpBindings; }>;

function createApp(options: RequestServerOptions): Hono<{ Bindings: HttpBindings; }> {
    const app = new Hono<{ Bindings: HttpBindings; }>();
    // With a peer key these paths are requests of the service that the backend server runs.
    app.get("/healthz", (context, next) => isPeer(context) ? next() : context.text("ok"));
    app.get("/readyz", (context, next) => {
        if (isPeer(context)) return next();
        return options.isReady() ? context.text("ready") : context.text("not ready", 503);
    });
    app.get("/metrics", async (context, next) => {
        if (isPeer(context)) return next();
        const { contentType, text } = await options.metrics();
        return context.body(text, 200, { "content-type": contentType });
    });
    app.all("*", context => handleRequest(context, options));
    return app;
}

function isPeer(context: Context): boolean {
    return context.req.header(HEADERS.peerKey) !== undefined;
}

async function handleRequest(context: AgentContext, options: RequestServerOptions): Promise<Response> {
    const { incoming, outgoing } = context.env;
    try {
        const answer = await takeRequest(context, options);
        if (answer.isOk()) return sendAnswer(answer.value, outgoing, options);
        options.onRefused(answer.error);
        if (!incoming.complete) outgoing.setHeader("connection", "close");
        return sendAnswer(refusalAnswer(answer.error), outgoing, options);
    }
    catch (error) {
        options.logger.error({ step: "request.answer", peer: "router", err: error }, "answer could not be sent");
        // The closed connection also ends what was dispatched for it.
        outgoing.destroy();
        return RESPONSE_ALREADY_SENT;
    }
}

async function takeRequest(
    context: AgentContext,
    options: RequestServerOptions,
): Promise<Result<AgentAnswer, Refusal>> {
    const { incoming, outgoing } = context.env;
    const header = (name: string): string | undefined => context.req.header(name);
    if (!acceptsKey(header(HEADERS.peerKey), options.peerKeys())) return err(REFUSALS.unauthorized());
    const head = parseRequestHead(header, Date.now());
    if (head.isErr()) return err(REFUSALS.badHead(head.error));
    const signal = signalOf(outgoing, head.value.deadlineAtMs);
    const body = await readBody(incoming, options.maxBodyBytes);
    if (body.isErr()) {
        return err(body.error === "too_large" ? REFUSALS.bodyTooLarge() : REFUSALS.badHead("The body broke off."));
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

/** Aborted when the connection closes before the answer has been sent; a router that stops reading is cut off. */
function signalOf(outgoing: ServerResponse, deadlineAtMs: number): AbortSignal {
    const abort = new AbortController();
    const timer = setTimeout(() => outgoing.destroy(), Math.max(0, deadlineAtMs - Date.now()) + SEND_GRACE_MS);
    const onClose = (): void => {
        clearTimeout(timer);
        if (!outgoing.writableFinished) abort.abort();
    };
    outgoing.once("close", onClose);
    if (outgoing.destroyed) onClose();
    return abort.signal;
}

function sendAnswer(answer: AgentAnswer, outgoing: ServerResponse, options: RequestServerOptions): Response {
    const { status, headers, body } = answer;
    headers.set(HEADERS.load, options.loadHeader());
    if (!headers.has(HEADERS.execution)) headers.set(HEADERS.execution, "run");
    if (body === undefined || typeof body === "string" || body instanceof Uint8Array) {
        return new Response(body, { status, headers });
    }
    // Written without a web stream, which would cost processor time on every token.
    outgoing.writeHead(status, toNodeHeaders(headers));
    outgoing.flushHeaders();
    // A body that breaks off destroys the connection, so that the router sees it.
    pipeline(body, outgoing).catch(() => undefined);
    return RESPONSE_ALREADY_SENT;
}

function toNodeHeaders(headers: Headers): OutgoingHttpHeaders {
    const cookies = headers.getSetCookie();
    return { ...Object.fromEntries(headers), ...(cookies.length > 0 ? { "set-cookie": cookies } : {}) };
}

function listen(app: Hono<{ Bindings: HttpBindings; }>, address: ListenAddress): Promise<RequestServer> {
    return new Promise((resolve, reject) => {
        const server: ServerType = serve({ fetch: app.fetch, hostname: address.host, port: address.port });
        (server as Server).keepAliveTimeout = KEEP_ALIVE_MS;
        const answers = trackAnswers(server as Server);
        server.once("error", reject);
        server.once("listening", () => {
            server.off("error", reject);
            const { port } = server.address() as AddressInfo;
            resolve({ port, close: () => close(server as Server, answers) });
        });
    });
}

function trackAnswers(server: Server): Set<ServerResponse> {
    const answers = new Set<ServerResponse>();
    server.on("request", (_request, answer) => {
        answers.add(answer);
        answer.once("close", () => answers.delete(answer));
    });
    return answers;
}

/** Ends the connections once the last answer has been sent. */
async function close(server: Server, answers: ReadonlySet<ServerResponse>): Promise<void> {
    const closed = new Promise<void>(resolve => server.close(() => resolve()));
    while (answers.size > 0) await Promise.all([...answers].map(answer => once(answer, "close")));
    server.closeAllConnections();
    await closed;
}
