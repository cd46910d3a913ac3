import { type Context, Hono } from "hono";
import type { EngineCommandRunner } from "../runtime/engine-command-runner.ts";
import type { GatewayMetrics } from "../runtime/gateway-metrics.ts";
import type { PlacementPlanner } from "../runtime/placement-planner.ts";
import type { StoreView } from "../runtime/store-view.ts";
import type { DemandResponse } from "../types/placement.ts";
import { commandSchema, demandSchema } from "../utils/peer-schemas.ts";
import { PLACEMENT_LONG_POLL_MS } from "./peer-client.ts";

export interface PeerAppOptions {
    readonly planner: PlacementPlanner;
    readonly commandRunner: EngineCommandRunner;
    readonly view: StoreView;
    readonly metrics: GatewayMetrics;
    readonly isReady: () => boolean;
    readonly getStatus: () => object;
}

/** Creates the HTTP interface for other gateways and for operators. */
export function createPeerApp(options: PeerAppOptions): Hono {
    const { planner, commandRunner, view, metrics } = options;
    const app = new Hono();
    app.post("/v1/demand", async c => {
        if (!planner.isActive) return respondNotPlanner(c);
        const message = demandSchema.safeParse(await readJson(c));
        if (!message.success) return c.json({ error: "the demand breaks its schema" }, 400);
        planner.receiveDemand(message.data);
        return c.json({ totals: planner.countRunningTotals() } satisfies DemandResponse);
    });
    app.post("/v1/commands", async c => {
        const command = commandSchema.safeParse(await readJson(c));
        if (!command.success) return c.json({ error: "the command breaks its schema" }, 400);
        commandRunner.runCommand(command.data);
        return c.body(null, 204); // eslint-disable-line no-restricted-syntax -- hono takes null for no body
    });
    app.get("/v1/placement", async c => {
        const term = Number(c.req.query("term"));
        const version = Number(c.req.query("version"));
        if (!planner.isActive) return respondNotPlanner(c);
        const current = planner.getState({ term, version });
        if (current.term === term && current.version === version) await waitForChange(planner);
        return planner.isActive ? c.json(planner.getState({ term, version })) : respondNotPlanner(c);
    });
    app.get("/v1/view", c => {
        const revision = Number(c.req.query("revision"));
        return view.isLoaded && view.storeRevision > revision ? c.json(view.snapshot()) : c.text("");
    });
    app.get("/healthz", c => c.json({ status: "ok" }));
    app.get("/readyz", c => options.isReady() ? c.json({ status: "ready" }) : c.json({ status: "not_ready" }, 503));
    app.get("/v1/status", c => c.json(options.getStatus()));
    app.get(
        "/metrics",
        async c => c.text(await metrics.registry.metrics(), 200, { "content-type": metrics.registry.contentType }),
    );
    return app;
}

/** Reads the body as JSON; returns undefined, which no schema accepts, if it is not JSON. */
async function readJson(c: Context): Promise<unknown> {
    try {
        return await c.req.json();
    }
    catch (error) {
        if (error instanceof SyntaxError) return undefined;
        throw error;
    }
}

function respondNotPlanner(c: Context): Response {
    return c.json({ error: "this gateway is not the planner" }, 409);
}

function waitForChange(planner: PlacementPlanner): Promise<void> {
    return new Promise(resolve => {
        const finish = (): void => {
            clearTimeout(timer);
            removeListener();
            resolve();
        };
        const timer = setTimeout(finish, PLACEMENT_LONG_POLL_MS);
        const removeListener = planner.onChange(finish);
    });
}
