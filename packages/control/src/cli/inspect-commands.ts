import type { AuditResult } from "../runtime/audit-log.ts";
import type { ConfigStatus } from "../utils/config-status.ts";
import type { toFleetStatus } from "../utils/fleet-status.ts";
import type { CommandResult, OperatorCommandOptions } from "./command-options.ts";
import { formatError, formatErrorResponse, formatResponse, formatTable } from "./format.ts";
import { OperatorClient, type RouterRequest } from "./operator-client.ts";

/** Calls a router and formats its response as the command's result. */
async function callAndFormat<Body>(
    options: OperatorCommandOptions,
    request: RouterRequest,
    formatBody: (body: Body) => string,
): Promise<CommandResult> {
    const response = await new OperatorClient(options).call(request);
    if (response.isErr()) return formatError(options.json, response.error);
    if (response.value.status >= 300) return formatErrorResponse(options.json, response.value);
    const { body } = response.value;
    return formatResponse(options.json, body, () => formatBody(body as unknown as Body));
}

const createGetRequest = (path: string): RouterRequest => ({ method: "GET", path });

export interface ConfigGetOptions extends OperatorCommandOptions {
    /** @default all sections */
    readonly section?: string | undefined;
}

/**
 * Prints the configuration in force. The output is always JSON, since `config apply` reads it.
 *
 * @example
 * const { text } = await runConfigGet({ routers, token, json: false, timeoutMs: 5000, section: "parts" });
 */
export function runConfigGet(options: ConfigGetOptions): Promise<CommandResult> {
    const path = options.section === undefined ? "" : `/${encodeURIComponent(options.section)}`;
    return callAndFormat({ ...options, json: true }, createGetRequest(`/operator/config${path}`), () => "");
}

/**
 * Prints the section versions that are in force in each process.
 *
 * @example
 * const { text } = await runConfigStatus({ routers, token, json: false, timeoutMs: 5000 });
 */
export function runConfigStatus(options: OperatorCommandOptions): Promise<CommandResult> {
    return callAndFormat<ConfigStatus>(options, createGetRequest("/operator/config/status"), status => {
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
            : "The newest versions are not confirmed to be in force in every process.";
        return `${formatTable(headers, [newest, ...rows])}\n\n${summary}`;
    });
}

export interface AuditOptions extends OperatorCommandOptions {
    /** A section, `grants:<model>`, `drains:<host>` or a pattern with a trailing `*`. @default all sections */
    readonly section?: string | undefined;
    /** Team that made the changes. @default all teams */
    readonly team?: string | undefined;
    /** Earliest time, in milliseconds since 1970. */
    readonly fromMs?: number | undefined;
    /** Latest time, in milliseconds since 1970. */
    readonly toMs?: number | undefined;
    /** Maximum number of entries. */
    readonly limit?: number | undefined;
}

/**
 * Prints audit entries, newest first.
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
    return callAndFormat<AuditResult>(
        options,
        createGetRequest(`/operator/audit?${query.toString()}`),
        ({ entries, truncated }) => {
            const blocks = entries.map(entry =>
                [
                    `${
                        new Date(entry.atMs).toISOString()
                    }  ${entry.section}  ${entry.versionBefore} -> ${entry.versionAfter}`
                    + `  ${entry.who}  edit ${entry.editId}`,
                    ...entry.changes.map(change => `    ${change}`),
                ].join("\n")
            );
            const more = truncated ? ["More entries match; raise the limit or narrow the time range."] : [];
            return [...blocks, ...more].join("\n") || "No matching entries.";
        },
    );
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
        status.problems.length === 0 ? "No problems found." : `Problems:\n  ${status.problems.join("\n  ")}`,
    ].join("\n\n");
}

/**
 * Prints the services, models, backend servers with their queues, leaving hosts and problems.
 *
 * @example
 * const { text } = await runStatus({ routers, token, json: true, timeoutMs: 5000 });
 */
export function runStatus(options: OperatorCommandOptions): Promise<CommandResult> {
    return callAndFormat<FleetStatus>(options, createGetRequest("/operator/status"), formatFleet);
}

export interface DrainOptions extends OperatorCommandOptions {
    readonly host: string;
    /** Whether to end the drain instead of starting it. */
    readonly end: boolean;
}

interface DrainResponseBody {
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
    return callAndFormat<DrainResponseBody>(options, { method: options.end ? "DELETE" : "PUT", path }, body => {
        const done = options.end ? `The drain of ${options.host} has ended.` : `Host ${options.host} is draining.`;
        if (body.agent === "informed") return `${done} Requests in progress: ${body.inProgressCount ?? 0}.`;
        if (body.agent === "none") return `${done} The host has no agent to notify.`;
        return `${done} Its agent could not be notified; it will apply the change when it reads the record.`;
    });
}
