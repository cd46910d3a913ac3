import { type ConfigSection, KEYS } from "@skylarkmill/config";
import { BodyMemory, silentLogger } from "@skylarkmill/coordination";
import { type EditId, type TeamId, toId } from "@skylarkmill/protocol";
import { type Context, Hono } from "hono";
import { randomUUID } from "node:crypto";
import { type Counter, Registry } from "prom-client";
import { type AuditLog, getAuditLog } from "../runtime/audit-log.ts";
import { ConfigEditor } from "../runtime/config-editor.ts";
import { createEditCounter } from "../runtime/control-metrics.ts";
import { DrainController } from "../runtime/drain-controller.ts";
import { FleetReader } from "../runtime/fleet-reader.ts";
import type { OperatorOptions, OperatorResponse, ResolvedOperatorOptions } from "../types/operator.ts";
import { toConfigStatus } from "../utils/config-status.ts";
import { toFleetStatus } from "../utils/fleet-status.ts";
import { createErrorResponse, createUnavailableResponse } from "../utils/operator-responses.ts";
import { readJson } from "../utils/read-json.ts";
import { readAuditQuery, readEditId, readHostId, readIfMatch, readSectionName } from "../utils/request-input.ts";
import { findTeam } from "../utils/team-tokens.ts";

interface OperatorEnv {
    readonly Variables: { readonly team: TeamId; };
}

type OperatorContext = Context<OperatorEnv>;

/** Maximum size of a request body. A stored section takes at most 1 MB; indented JSON takes more. */
const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** Memory for the request bodies that are read at the same time; edits are short and rare. */
export const MAX_BUFFERED_BODY_BYTES = 16 * 1024 * 1024;

const DEFAULTS = { peerTimeoutMs: 1_000, maxConcurrentCalls: 32, logger: silentLogger };

/**
 * Creates the operators' HTTP interface of a router; it serves the paths under `/operator`.
 *
 * @example
 * app.route("/", createOperatorApp({ records, store, config, membership, peers, teamTokens }));
 */
export function createOperatorApp(options: OperatorOptions): Hono<OperatorEnv> {
    const resolved: ResolvedOperatorOptions = { ...DEFAULTS, registry: new Registry(), ...options };
    const editCounter = createEditCounter(resolved.registry);
    const audit = getAuditLog(resolved.store);
    const app = new Hono<OperatorEnv>();
    app.use("/operator/*", async (context, next) => {
        const team = findTeam(context.req.header("authorization"), resolved.teamTokens());
        if (team === undefined) {
            const errorResponse = createErrorResponse(
                401,
                "unauthorized",
                "A team's token is needed: Authorization: Bearer <token>.",
            );
            return send(context, { ...errorResponse, headers: { "www-authenticate": "Bearer" } });
        }
        context.set("team", team);
        return next();
    });
    app.onError((error, context) => {
        resolved.logger.error({ step: "operator", path: context.req.path, err: error }, "operator request failed");
        return send(
            context,
            createErrorResponse(500, "internal", "The request failed; the router's log has the cause."),
        );
    });
    addConfigRoutes(app, resolved, new ConfigEditor(resolved, audit), editCounter);
    addInspectionRoutes(app, resolved, audit);
    addDrainRoutes(app, new DrainController(resolved, audit));
    app.all(
        "/operator/*",
        context => send(context, createErrorResponse(404, "not_found", `No such path: ${context.req.path}.`)),
    );
    return app;
}

function send(context: Pick<Context, "json">, response: OperatorResponse): Response {
    return context.json(response.body, response.status, response.headers);
}

function okResponse(body: object, headers?: Record<string, string>): OperatorResponse {
    return { status: 200, body, ...(headers === undefined ? {} : { headers }) };
}

function toOutcomeLabel({ status, body }: OperatorResponse): string {
    if (status === 409) return "stale";
    return (body as { readonly outcome?: string; }).outcome ?? "not_accepted";
}

function addConfigRoutes(
    app: Hono<OperatorEnv>,
    options: ResolvedOperatorOptions,
    editor: ConfigEditor,
    editCounter: Counter<"outcome">,
): void {
    const { records, config } = options;
    const bodyMemory = new BodyMemory(MAX_BUFFERED_BODY_BYTES);
    app.get("/operator/config", context => {
        const sections = config.sections().map(({ name, version, section }) => [name, { version, section }]);
        return send(
            context,
            okResponse({ sections: Object.fromEntries(sections) as object, problems: config.problems() }),
        );
    });
    app.get("/operator/config/status", async context => {
        const reports = await new FleetReader(options).read();
        return send(context, okResponse(toConfigStatus(reports, records.versions())));
    });
    app.get("/operator/config/edits/:editId", async context => {
        const editId = readEditId(context.req.param("editId"));
        const section = readSectionName(context.req.query("section"));
        if (editId.isErr()) return send(context, editId.error);
        if (section.isErr()) return send(context, section.error);
        const version = context.req.query("version");
        const ifMatch = version === undefined ? undefined : readIfMatch(version);
        if (ifMatch?.isErr() === true) return send(context, ifMatch.error);
        return send(
            context,
            await editor.resolveOutcome({
                team: context.get("team"),
                section: section.value,
                editId: editId.value,
                ifMatch: ifMatch?.unwrapOr(undefined),
            }),
        );
    });
    app.get("/operator/config/:section", context => {
        const name = context.req.param("section");
        const record = records.get<ConfigSection>(KEYS.config(name));
        if (record?.value === undefined) {
            const currentVersion = record?.version ?? 0;
            return send(
                context,
                createErrorResponse(404, "unknown_section", `There is no section ${name}.`, { currentVersion }),
            );
        }
        const { version, editId, writtenAtMs, value } = record;
        return send(
            context,
            okResponse({ name, version, editId, writtenAtMs, section: value }, { etag: `"${version}"` }),
        );
    });
    app.put("/operator/config/:section", async context => {
        const section = readSectionName(context.req.param("section"));
        const editId = readEditId(context.req.header("x-edit-id"));
        const ifMatch = readIfMatch(context.req.header("if-match"));
        for (const input of [section, editId, ifMatch]) if (input.isErr()) return send(context, input.error);
        const body = await readJson(context.req.raw, MAX_BODY_BYTES, bodyMemory);
        if (body.isErr()) return send(context, body.error);
        const response = await editor.applyEdit({
            team: context.get("team"),
            section: section._unsafeUnwrap(),
            editId: editId._unsafeUnwrap(),
            ifMatch: ifMatch._unsafeUnwrap(),
            input: body.value,
        });
        editCounter.inc({ outcome: toOutcomeLabel(response) });
        return send(context, response);
    });
}

function addInspectionRoutes(app: Hono<OperatorEnv>, options: ResolvedOperatorOptions, audit: AuditLog): void {
    const { records, config, membership } = options;
    app.get("/operator/status", async context => {
        const reports = await new FleetReader(options).read();
        const { hasReadKeyValueService } = records;
        return send(
            context,
            okResponse(toFleetStatus({ config, records, membership, reports, hasReadKeyValueService })),
        );
    });
    app.get("/operator/audit", async context => {
        const configKeys = records.list(KEYS.configPrefix).map(record => record.key);
        const query = readAuditQuery(context.req.query(), configKeys);
        if (query.isErr()) return send(context, query.error);
        const result = await audit.findEntries(query.value);
        return send(context, result.match<OperatorResponse>(okResponse, error => createUnavailableResponse(error)));
    });
}

function addDrainRoutes(app: Hono<OperatorEnv>, drains: DrainController): void {
    const setDraining = async (context: OperatorContext, draining: boolean) => {
        const hostId = readHostId(context.req.param("host") ?? "");
        const editId = readEditId(context.req.header("x-edit-id") ?? randomUUID());
        if (hostId.isErr()) return send(context, hostId.error);
        if (editId.isErr()) return send(context, editId.error);
        const team = context.get("team");
        const response = await drains.setDraining({
            team,
            draining,
            hostId: hostId.value,
            editId: toId<EditId>(editId.value),
        });
        return send(context, response);
    };
    app.put("/operator/drains/:host", context => setDraining(context, true));
    app.delete("/operator/drains/:host", context => setDraining(context, false));
}
