import type { HttpBindings } from "@hono/node-server";
import { nowMs, type ReservationRequest, type ReservationResponse } from "@skylarkmill/coordination";
import { HEADERS, type Refusal } from "@skylarkmill/protocol";
import { type Context, Hono } from "hono";
import { HTTPException } from "hono/http-exception";
import type { ContentfulStatusCode } from "hono/utils/http-status";
import type { CrashSuspects } from "../runtime/crash-suspects.ts";
import type { EngineCommandRunner } from "../runtime/engine-command-runner.ts";
import type { GatewayMetrics } from "../runtime/gateway-metrics.ts";
import type { PlacementPlanner } from "../runtime/placement-planner.ts";
import type { ServerDirectory } from "../runtime/server-directory.ts";
import type { ServerRates } from "../runtime/server-rates.ts";
import type { StoreView } from "../runtime/store-view.ts";
import type { WorkspaceQuotas } from "../runtime/workspace-quotas.ts";
import type { DemandResponse } from "../types/placement.ts";
import { commandSchema, demandSchema, quotaRequestSchema, reservationRequestSchema } from "../utils/peer-schemas.ts";
import { refusals } from "../utils/refusals.ts";
import { type BodyMemory, BodyReader } from "./body-reader.ts";
import { PLACEMENT_LONG_POLL_MS, VIEW_LONG_POLL_MS } from "./peer-client.ts";

/** Shortest time between two placement responses to a gateway that waits for no change, per gateway of the cluster. */
const RESPONSE_MS_PER_GATEWAY = 3;
/** Limits of a message's body. */
const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;
const MESSAGE_TIMEOUT_MS = 10_000;

export interface PeerAppOptions {
    readonly planner: PlacementPlanner;
    readonly commandRunner: EngineCommandRunner;
    readonly directory: Pick<ServerDirectory, "recordLeaving" | "listLeaving">;
    readonly view: StoreView;
    readonly crashSuspects: CrashSuspects;
    readonly serverRates: Pick<ServerRates, "mergeStatements" | "listStatements">;
    readonly quotas: Pick<WorkspaceQuotas, "answer" | "recordContact">;
    /** Grants reservations; undefined if this gateway is not the planner. */
    readonly grantReservations: (request: ReservationRequest) => ReservationResponse | undefined;
    readonly metrics: GatewayMetrics;
    /** Lists why the gateway isn't ready; empty if it is. */
    readonly listNotReadyReasons: () => readonly string[];
    readonly getStatus: () => object;
    readonly bodyMemory: BodyMemory;
}

type PeerContext = Context<{ Bindings: HttpBindings; }>;

/** Creates the HTTP interface for other gateways and for operators. */
export function createPeerApp(options: PeerAppOptions): Hono<{ Bindings: HttpBindings; }> {
    const { planner, commandRunner, directory, view, crashSuspects, serverRates, metrics } = options;
    const app = new Hono<{ Bindings: HttpBindings; }>();
    const readJson = (c: PeerContext): Promise<unknown> => readMessage(c, options.bodyMemory);
    app.use(async (c, next) => {
        await next();
        const callId = c.req.header(HEADERS.callId);
        if (callId !== undefined) c.header(HEADERS.callId, callId);
    });
    app.post("/v1/demand", async c => {
        if (!planner.isActive) return respondNotPlanner(c);
        const message = demandSchema.safeParse(await readJson(c));
        if (!message.success) return c.json({ error: "the demand breaks its schema" }, 400);
        planner.receiveDemand(message.data);
        options.quotas.recordContact(message.data.gateway);
        crashSuspects.mergeEvidence(message.data.crashEvidence);
        for (const start of message.data.leaving) directory.recordLeaving(start);
        serverRates.mergeStatements(message.data.rates);
        const etas = await planner.estimateWaiting(message.data);
        const totals = planner.countRunningTotals();
        const response: DemandResponse = {
            totals,
            etas,
            crashEvidence: crashSuspects.listEvidence(),
            leaving: directory.listLeaving(),
            rates: serverRates.listStatements(),
        };
        return c.json(response);
    });
    app.post("/v1/reservations", async c => {
        const request = reservationRequestSchema.safeParse(await readJson(c));
        if (!request.success) return c.json({ error: "the request for reservations breaks its schema" }, 400);
        const response = options.grantReservations(request.data);
        return response === undefined ? respondNotPlanner(c) : c.json(response);
    });
    app.post("/v1/quotas", async c => {
        const request = quotaRequestSchema.safeParse(await readJson(c));
        if (!request.success) return c.json({ error: "the request for quotas breaks its schema" }, 400);
        const response = options.quotas.answer(request.data);
        return response === undefined ? respondNotPlanner(c) : c.json(response);
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
        const gateway = c.req.query("gateway") ?? "";
        if (!planner.isActive) return respondNotPlanner(c);
        const current = planner.getState({ term, version });
        if (current.isPartial) await waitForChange(planner, gateway, version);
        return planner.isActive ? c.json(planner.getState({ term, version })) : respondNotPlanner(c);
    });
    app.get("/v1/view", c => {
        const revision = Number(c.req.query("revision"));
        return view.isLoaded && view.storeRevision > revision ? c.json(view.snapshot()) : c.text("");
    });
    app.get("/v1/view/changes", async c => {
        const revision = Number(c.req.query("revision"));
        if (view.storeRevision <= revision) await waitForEntries(view);
        return view.isLoaded ? c.json(view.listChanges(revision)) : c.text("");
    });
    app.get("/healthz", c => c.json({ status: "ok" }));
    app.get("/readyz", c => {
        const reasons = options.listNotReadyReasons();
        return reasons.length === 0 ? c.json({ status: "ready" }) : c.json({ status: "not_ready", reasons }, 503);
    });
    app.get("/v1/status", c => c.json(options.getStatus()));
    app.get(
        "/metrics",
        async c => c.text(await metrics.registry.metrics(), 200, { "content-type": metrics.registry.contentType }),
    );
    return app;
}

/**
 * Reads the body as JSON; returns undefined, which no schema accepts, if it is not JSON. Throws `HTTPException` if the body
 * isn't taken.
 */
async function readMessage(c: PeerContext, memory: BodyMemory): Promise<unknown> {
    const { incoming } = c.env;
    const reader = new BodyReader(incoming, MAX_MESSAGE_BYTES, memory);
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<undefined>(resolve => timer = setTimeout(resolve, MESSAGE_TIMEOUT_MS, undefined));
    try {
        const body = await Promise.race([reader.read(), timeout]);
        if (body === undefined) throw toException(refusals.bodyTimeout());
        if (body.isErr()) throw toException(body.error ?? refusals.bodyTimeout());
        return JSON.parse(Buffer.concat(body.value?.parts ?? []).toString("utf8"));
    }
    catch (error) {
        if (error instanceof SyntaxError) return undefined;
        throw error;
    }
    finally {
        clearTimeout(timer);
        reader.discard();
    }
}

function toException({ status, message }: Refusal): HTTPException {
    return new HTTPException(status as ContentfulStatusCode, { message });
}

function respondNotPlanner(c: PeerContext): Response {
    return c.json({ error: "this gateway is not the planner" }, 409);
}

/**
 * Waits until the placement has changed since a version. A change that the gateway's requests wait for resolves at once,
 * other changes after a delay that grows with the number of gateways, so that the planner's total rate of responses does
 * not.
 */
function waitForChange(planner: PlacementPlanner, gateway: string, version: number): Promise<void> {
    return new Promise(resolve => {
        const startedAtMs = nowMs();
        let timer: NodeJS.Timeout | undefined;
        const finish = (): void => {
            clearTimeout(timer);
            removeListener();
            resolve();
        };
        const finishAt = (delayMs: number): void => {
            clearTimeout(timer);
            timer = setTimeout(finish, Math.max(0, startedAtMs + delayMs - nowMs()));
        };
        const check = (): void => {
            if (!planner.isActive || planner.hasChangeFor(gateway, version)) return finish();
            if (planner.placementVersion !== version) finishAt(planner.gatewayCount * RESPONSE_MS_PER_GATEWAY);
        };
        const removeListener = planner.onChange(check);
        finishAt(PLACEMENT_LONG_POLL_MS);
        check();
    });
}

function waitForEntries(view: StoreView): Promise<void> {
    return new Promise(resolve => {
        const finish = (): void => {
            clearTimeout(timer);
            removeListener();
            resolve();
        };
        const timer = setTimeout(finish, VIEW_LONG_POLL_MS);
        const removeListener = view.onChange(finish);
    });
}
