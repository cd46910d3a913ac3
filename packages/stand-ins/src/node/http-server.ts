import { createAdaptorServer, type HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { type Context, Hono } from "hono";
import { bodyLimit } from "hono/body-limit";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { z } from "zod";
import type { Journal } from "../runtime/journal.ts";
import type { SocketAddress, StandIn } from "../types/stand-in.ts";

export type StandInEnv = { Bindings: HttpBindings; };
export type StandInContext = Context<StandInEnv>;
export type StandInApp = Hono<StandInEnv>;

const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** Creates an app with the routes that every stand-in has: `GET /journal?after=<seq>` and `GET /healthz`. */
export function createStandInApp(journal: Journal): StandInApp {
    const app = new Hono<StandInEnv>();
    app.use(bodyLimit({ maxSize: MAX_BODY_BYTES }));
    app.get("/journal", context => {
        const after = Number(context.req.query("after") ?? 0);
        return context.json({ events: journal.list(Number.isFinite(after) ? after : 0) });
    });
    app.get("/healthz", context => context.text("ok"));
    return app;
}

/** Reads a JSON body and validates it; returns a response with status 400 if it does not match the schema. */
export async function readJsonBody<Schema extends z.ZodType>(
    context: StandInContext,
    schema: Schema,
): Promise<{ readonly value: z.output<Schema>; } | { readonly response: Response; }> {
    const json: unknown = await context.req.json().catch(() => undefined);
    const parsed = schema.safeParse(json);
    if (parsed.success) return { value: parsed.data };
    return { response: context.json({ error: parsed.error.message }, 400) };
}

/** Closes the connection of a request without sending a response. */
export function dropConnection(context: StandInContext): Response {
    context.env.incoming.socket.destroy();
    return RESPONSE_ALREADY_SENT;
}

/** Keeps the connection of a request open without sending a response, until the client closes it. */
export function holdConnectionOpen(context: StandInContext): Promise<Response> {
    return new Promise(resolve => context.env.outgoing.once("close", () => resolve(RESPONSE_ALREADY_SENT)));
}

/** Starts the HTTP server of a stand-in; `onClose` is called before the server closes. */
export async function startHttpServer(
    app: StandInApp,
    address: SocketAddress,
    journal: Journal,
    onClose: () => void = () => undefined,
): Promise<StandIn> {
    const server = createAdaptorServer({ fetch: app.fetch }) as Server;
    // Keeps idle connections open for long, since a client that reuses a connection just closed would lose its request.
    server.keepAliveTimeout = 120_000;
    server.requestTimeout = 0;
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen({ host: address.host, port: address.port, exclusive: true }, resolve);
    });
    const { port } = server.address() as AddressInfo;
    return {
        url: `http://${address.host}:${port}`,
        host: address.host,
        port,
        journal,
        close: async () => {
            onClose();
            server.closeAllConnections();
            await new Promise(resolve => server.close(resolve));
        },
    };
}
