import { createAdaptorServer, type HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { type Refusal, toRefusalBody, toRefusalHeaders } from "@skylarkmill/protocol";
import { type Context, Hono } from "hono";
import { type Server, STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import type { RequestHandler } from "../runtime/request-handler.ts";
import type { RouterContext } from "../types/context.ts";
import { listModels } from "../utils/model-list.ts";
import { refusals } from "../utils/refusals.ts";
import { splitServicePath } from "../utils/service-path.ts";

type CallerContext = Context<{ Bindings: HttpBindings; }>;

/** Longer than the usual idle timeout of load balancers, so that they close idle connections first. */
const KEEP_ALIVE_TIMEOUT_MS = 75_000;

export interface CallerServerOptions {
    readonly context: RouterContext;
    readonly handler: RequestHandler;
    readonly isReady: () => boolean;
}

/** Creates the HTTP server of the callers' interface; it is not listening yet. */
export function createCallerServer(options: CallerServerOptions): Server {
    const { maxHeaderBytes } = options.context.options.limits;
    const app = createCallerApp(options);
    const server = createAdaptorServer({
        fetch: app.fetch,
        overrideGlobalObjects: false,
        autoCleanupIncoming: false,
        serverOptions: { maxHeaderSize: maxHeaderBytes, keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS, noDelay: true },
    }) as Server;
    const hasOpenResponse = trackOpenResponses(server);
    server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
        // A refusal written during a response would become part of that response.
        if (!socket.writable || error.code === "ECONNRESET" || hasOpenResponse(socket)) return socket.destroy();
        const tooLarge = error.code === "HPE_HEADER_OVERFLOW";
        options.handler.countUnparsedRequest();
        socket.end(formatRawRefusal(tooLarge ? refusals.headersTooLarge(maxHeaderBytes) : refusals.malformedRequest()));
    });
    return server;
}

/** Returns a function that checks whether a response is in progress on a connection. */
function trackOpenResponses(server: Server): (socket: Socket) => boolean {
    const openResponseCounts = new WeakMap<Socket, number>();
    server.prependListener("request", ({ socket }, response) => {
        openResponseCounts.set(socket, (openResponseCounts.get(socket) ?? 0) + 1);
        response.once("close", () => openResponseCounts.set(socket, openResponseCounts.get(socket)! - 1));
    });
    return socket => (openResponseCounts.get(socket) ?? 0) > 0;
}

function createCallerApp(options: CallerServerOptions): Hono<{ Bindings: HttpBindings; }> {
    const { handler, context } = options;
    const app = new Hono<{ Bindings: HttpBindings; }>();
    const handleModel = (c: CallerContext) => {
        const { incoming, outgoing } = c.env;
        handler.handleModelRequest(incoming, outgoing).catch((error: unknown) => handler.failRequest(outgoing, error));
        return RESPONSE_ALREADY_SENT;
    };
    const handlePlain = (c: CallerContext) => {
        const { incoming, outgoing } = c.env;
        const { serviceId, path } = splitServicePath(incoming.url!);
        handler.handlePlainRequest(incoming, outgoing, serviceId, path)
            .catch((error: unknown) => handler.failRequest(outgoing, error));
        return RESPONSE_ALREADY_SENT;
    };
    const createRefusingHandler = (refusal: (c: CallerContext) => Refusal) => (c: CallerContext) => {
        handler.refuseUnrouted(c.env.incoming, c.env.outgoing, refusal(c));
        return RESPONSE_ALREADY_SENT;
    };
    const notAllowed = createRefusingHandler(c => refusals.methodNotAllowed(c.req.method));
    app.post("/v1/chat/completions", handleModel).all(notAllowed);
    app.post("/v1/completions", handleModel).all(notAllowed);
    app.all("/services/:service", handlePlain);
    app.all("/services/:service/*", handlePlain);
    app.get("/v1/models", c => {
        // Without a configuration, the list of models is unknown rather than empty.
        if (context.config.services().size > 0) return c.json(listModels(context.config));
        handler.refuseUnrouted(c.env.incoming, c.env.outgoing, refusals.notReady());
        return RESPONSE_ALREADY_SENT;
    });
    app.get("/healthz", c => c.json({ status: "ok" }));
    app.get("/readyz", c => options.isReady() ? c.json({ status: "ready" }) : c.json({ status: "not_ready" }, 503));
    app.get("/metrics", async c => {
        const { registry } = context.metrics;
        return c.text(await registry.metrics(), 200, { "content-type": registry.contentType });
    });
    app.notFound(createRefusingHandler(c => refusals.unknownPath(c.req.path)));
    return app;
}

/** Formats a refusal as a raw HTTP response: Node provides no response object if the request can't be parsed. */
function formatRawRefusal(refusal: Refusal): string {
    const body = JSON.stringify(toRefusalBody(refusal));
    const headers = {
        ...toRefusalHeaders(refusal),
        "content-length": String(Buffer.byteLength(body)),
        "connection": "close",
    };
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    return `HTTP/1.1 ${refusal.status} ${STATUS_CODES[refusal.status] ?? ""}\r\n${lines}\r\n${body}`;
}
