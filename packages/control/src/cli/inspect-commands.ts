import type { AuditResult } from "../runtime/audit-log.ts";
import type { ConfigStatus } from "../utils/config-status.ts";
import type { toFleetStatus } from "../utils/fleet-status.ts";
import type { CommandResult, OperatorCommandOptions } from "./command-options.ts";
import { formatTable, printError, printRefusal, printResponse } from "./format.ts";
import { OperatorClient, type OperatorRequest } from "./operator-client.ts";

/** Calls a router and prints its answer. */
async function show<Body>(
    options: OperatorCommandOptions,
    request: OperatorRequest,
    text: (body: Body) => string,
): Promise<CommandResult> {
    const response = await new OperatorClient(options).call(request);
    if (response.isErr()) return printError(options.json, response.error);
    if (response.value.status >= 300) return printRefusal(options.json, response.value);
    const { body } = response.value;
    return printResponse(options.json, body, () => text(body as unknown as Body));
}

const get = (path: string): OperatorRequest => ({ method: "GET", path });

export interface ConfigGetOptions extends OperatorCommandOptions {
    /** All sections when left out. */
    readonly section?: string | undefined;
}

/**
 * Prints the configuration in force, as JSON also without `json`: it is what `config apply` reads.
 *
 * @example
 * const { text } = await runConfigGet({ routers, token, json: false, timeoutMs: 5000, section: "parts" });
 */
export function runConfigGet(options: ConfigGetOptions): Promise<CommandResult> {
    const path = options.section === undefined ? "" : `/${encodeURIComponent(options.section)}`;
    return show({ ...options, json: true }, get(`/operator/config${path}`), () => "");
}

/**
 * Prints which versions are in force in which process.
 *
 * @example
 * const { text } = await runConfigStatus({ routers, token, json: false, timeoutMs: 5000 });
 */
export function runConfigStatus(options: OperatorCommandOptions): Promise<CommandResult> {
    return show<ConfigStatus>(options, get("/operator/config/status"), status => {
        const sections = Object.keys(status.newest).sort();
        const rows = status.processes.map(process => [
            process.hostId,
            process.role,
            process.dataCentre,
            process.reachable ? "yes" : `no: ${process.reason ?? ""}`,
            ...sections.map(name => process.versions?.[name]),
            process.lastChangeMs,
        ]);
        const newest = [
            "(newest)",
            undefined,
            undefined,
            undefined,
            ...sections.map(name => status.newest[name]),
            undefined,
        ];
        const headers = ["host", "role", "data centre", "reachable", ...sections, "last change ms"];
        const summary = status.inForceEverywhere
            ? "The newest versions are in force in every process."
            : "The newest versions are not confirmed in every process.";
        return `${formatTable(headers, [newest, ...rows])}\n\n${summary}`;
    });
}

export interface AuditOptions extends OperatorCommandOptions {
    /** A section, `grants:<model>`, `drains:<host>` or a pattern with `*` at the end; all sections when left out. */
    readonly section?: string | undefined;
    readonly team?: string | undefined;
    readonly fromMs?: number | undefined;
    readonly toMs?: number | undefined;
    readonly limit?: number | undefined;
}

/**
 * Prints changes, newest first.
 *
 * @example
 * const { text } = await runAudit({ routers, token, json: false, timeoutMs: 5000, section: "parts", limit: 20 });
 */
export function runAudit(options: AuditOptions): Promise<CommandResult> {
    const query = new URLSearchParams();
    for (const name of ["section", "team", "fromMs", "toMs", "limit"] as const) {
        const value = options[name];
        if (value !== undefined) query.set(name, String(value));
    }
    return show<AuditResult>(options, get(`/operator/audit?${query.toString()}`), ({ entries, truncated }) => {
        const blocks = entries.map(entry =>
            [
                `${
                    new Date(entry.atMs).toISOString()
                }  ${entry.section}  ${entry.versionBefore} -> ${entry.versionAfter}`
                + `  ${entry.who}  edit ${entry.editId}`,
                ...entry.changes.map(change => `    ${change}`),
            ].join("\n")
        );
        const more = truncated ? ["There are more entries; raise the limit or narrow the time."] : [];
        return [...blocks, ...more].join("\n") || "No entries.";
    });
}

type FleetStatus = ReturnType<typeof toFleetStatus>;

function formatFleet(status: FleetStatus): string {
    const services = status.services.map(
        service => [service.serviceId, service.kind, service.section, service.servers],
    );
    const models = status.models.map(model => [
        model.modelId,
        model.decided,
        model.granted,
        model.revoking,
        model.loaded,
        model.loading,
    ]);
    const servers = status.servers.map(server => [
        server.serverId,
        server.dataCentre,
        server.queued,
        `${server.running}/${server.slots}`,
        server.backlogMs,
        server.slowness,
        server.draining,
    ]);
    const leaving = status.leaving.map(host => [host.hostId, host.state, host.drainedBy, host.running]);
    return [
        formatTable(["service", "kind", "section", "servers"], services),
        formatTable(["model", "decided", "granted", "revoking", "loaded", "loading"], models),
        formatTable(["server", "data centre", "queued", "running", "backlog ms", "slowness", "draining"], servers),
        leaving.length === 0
            ? "No host is leaving."
            : formatTable(["leaving", "state", "drained by", "running"], leaving),
        status.problems.length === 0 ? "Nothing is out of order." : `Out of order:\n  ${status.problems.join("\n  ")}`,
    ].join("\n\n");
}

/**
 * Prints services, models, queues, leaving hosts and what is out of order.
 *
 * @example
 * const { text } = await runStatus({ routers, token, json: true, timeoutMs: 5000 });
 */
export function runStatus(options: OperatorCommandOptions): Promise<CommandResult> {
    return show<FleetStatus>(options, get("/operator/status"), formatFleet);
}

export interface DrainOptions extends OperatorCommandOptions {
    readonly host: string;
    /** End the drain instead of starting it. */
    readonly end: boolean;
}

interface DrainBody {
    readonly agent: "informed" | "not_reached" | "none";
    readonly inProgressCount?: number;
}

/**
 * Starts or ends the drain of a host.
 *
 * @example
 * const { exitCode } = await runDrain({ routers, token, json: false, timeoutMs: 5000, host: "host-7", end: false });
 */
export function runDrain(options: DrainOptions): Promise<CommandResult> {
    const path = `/operator/drains/${encodeURIComponent(options.host)}`;
    return show<DrainBody>(options, { method: options.end ? "DELETE" : "PUT", path }, body => {
        const done = options.end ? `The drain of ${options.host} has ended.` : `Host ${options.host} is draining.`;
        if (body.agent === "informed") return `${done} Requests in progress: ${body.inProgressCount ?? 0}.`;
        if (body.agent === "none") return `${done} It has no agent to inform.`;
        return `${done} Its agent did not answer; it follows the record once it reads it.`;
    });
}
