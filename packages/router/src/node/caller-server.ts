import { createAdaptorServer, type HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import {
    createHeadGuardServerOptions,
    type HeadFault,
    type RawRefusal,
    RequestHeadGuard,
    type RequestHeadLimits,
} from "@skylarkmill/coordination";
import { type Refusal, toRefusalBody, toRefusalHeaders } from "@skylarkmill/protocol";
import { type Context, Hono } from "hono";
import type { Server } from "node:http";
import type { RequestHandler } from "../runtime/request-handler.ts";
import type { RouterContext } from "../types/context.ts";
import { listModels } from "../utils/model-list.ts";
import { refusals } from "../utils/refusals.ts";
import { splitServicePath } from "../utils/service-path.ts";

type CallerContext = Context<{ Bindings: HttpBindings; }>;

/** Longer than the usual idle timeout of load balancers, so that they close idle connections first. */
const KEEP_ALIVE_TIMEOUT_MS = 75_000;

/** Memory for requests whose responses have not ended, without their bodies; a router has 128 MB. */
const MAX_REQUEST_MEMORY_BYTES = 24 * 1024 * 1024;

export interface CallerServerOptions {
    readonly context: RouterContext;
    readonly handler: RequestHandler;
    readonly isReady: () => boolean;
}

/** Creates the HTTP server of the callers' interface; it is not listening yet. */
export function createCallerServer(options: CallerServerOptions): Server {
    const { limits } = options.context.options;
    const app = createCallerApp(options);
    const server = createAdaptorServer({
        fetch: app.fetch,
        overrideGlobalObjects: false,
        autoCleanupIncoming: false,
        serverOptions: {
            ...createHeadGuardServerOptions(limits),
            keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
            noDelay: true,
        },
    }) as Server;
    // The guard listens to the server for as long as the server exists.
    void new RequestHeadGuard(server, {
        limits,
        maxRequestMemoryBytes: MAX_REQUEST_MEMORY_BYTES,
        createRefusal: createHeadRefusal,
        onFault: () => options.handler.countUnparsedRequest(),
    });
    return server;
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

function createHeadRefusal(fault: HeadFault, limits: RequestHeadLimits): RawRefusal {
    const refusal = toHeadRefusal(fault, limits);
    const headers = Object.entries(toRefusalHeaders(refusal)).flat();
    return { status: refusal.status, headers, body: JSON.stringify(toRefusalBody(refusal)) };
}

function toHeadRefusal(fault: HeadFault, { maxHeaderBytes, headerTimeoutMs }: RequestHeadLimits): Refusal {
    switch (fault) {
        case "late":
            return refusals.headersTimeout(headerTimeoutMs);
        case "no_memory":
            return refusals.noMemory();
        case "ahead":
        case "malformed":
            return refusals.malformedRequest();
        default:
            return refusals.headersTooLarge(maxHeaderBytes);
    }
}
