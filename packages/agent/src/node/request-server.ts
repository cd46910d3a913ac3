import { serve, type ServerType } from "@hono/node-server";
import { acceptsKey } from "@skylarkmill/coordination";
import { HEADERS, type Refusal, type SkylarkmillError, UnavailableError } from "@skylarkmill/protocol";
import { type Context, Hono } from "hono";
import { ResultAsync } from "neverthrow";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { refusalAnswer } from "../runtime/attempt.ts";
import type { AgentAnswer } from "../types/answer.ts";
import type { ListenAddress } from "../types/options.ts";
import type { RequestHead } from "../types/request.ts";
import { REFUSALS } from "../utils/refusals.ts";
import { parseRequestHead } from "../utils/request-head.ts";

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

function createApp(options: RequestServerOptions): Hono {
    const app = new Hono();
    app.get("/healthz", context => context.text("ok"));
    app.get("/readyz", context => (options.isReady() ? context.text("ready") : context.text("not ready", 503)));
    app.get("/metrics", async context => {
        const { contentType, text } = await options.metrics();
        return context.body(text, 200, { "content-type": contentType });
    });
    app.all("*", context => handleRequest(context, options));
    return app;
}

async function handleRequest(context: Context, options: RequestServerOptions): Promise<Response> {
    const refuse = (refusal: Refusal): Response => {
        options.onRefused(refusal);
        return toResponse(refusalAnswer(refusal), options);
    };
    const { raw } = context.req;
    const header = (name: string): string | undefined => context.req.header(name);
    if (!acceptsKey(header("authorization"), options.peerKeys())) return refuse(REFUSALS.unauthorized());
    const head = parseRequestHead(header, Date.now());
    if (head.isErr()) return refuse(REFUSALS.badHead(head.error));
    if (Number(header("content-length") ?? 0) > options.maxBodyBytes) return refuse(REFUSALS.bodyTooLarge());
    const body = raw.method === "GET" || raw.method === "HEAD" ? undefined : new Uint8Array(await raw.arrayBuffer());
    if (body !== undefined && body.length > options.maxBodyBytes) return refuse(REFUSALS.bodyTooLarge());
    const url = new URL(raw.url);
    const answer = await options.handle({
        head: head.value,
        method: raw.method,
        path: url.pathname + url.search,
        headers: raw.headers,
        body: body?.length === 0 ? undefined : body,
        signal: raw.signal,
    });
    return toResponse(answer, options);
}

function toResponse(answer: AgentAnswer, options: RequestServerOptions): Response {
    const { status, headers, body } = answer;
    headers.set(HEADERS.load, options.loadHeader());
    if (!headers.has(HEADERS.execution)) headers.set(HEADERS.execution, "run");
    if (body === undefined || typeof body === "string" || body instanceof Uint8Array) {
        return new Response(body, { status, headers });
    }
    return new Response(ReadableStream.from(body), { status, headers });
}

function listen(app: Hono, address: ListenAddress): Promise<RequestServer> {
    return new Promise((resolve, reject) => {
        const server: ServerType = serve({ fetch: app.fetch, hostname: address.host, port: address.port });
        server.once("error", reject);
        server.once("listening", () => {
            server.off("error", reject);
            resolve({ port: (server.address() as AddressInfo).port, close: () => close(server as Server) });
        });
    });
}

function close(server: Server): Promise<void> {
    return new Promise(resolve => {
        server.close(() => resolve());
        server.closeIdleConnections();
    });
}
