import type { EngineProfile, GatewayConfiguration, Route, Workspace } from "../types/configuration.ts";

/**
 * Something in a configuration that its author should look at.
 *
 * - `error`: the configuration means something else than it seems to.
 * - `never_matches`: an entry that no request can reach or use.
 * - `contradiction`: limits that exclude each other, or that have no effect together.
 */
export interface ConfigurationFinding {
    readonly kind: "error" | "never_matches" | "contradiction";
    /** Entry, such as `route r-1`. */
    readonly subject: string;
    readonly message: string;
}

/** A difference between two configurations. */
export interface ConfigurationChange {
    readonly kind: "added" | "removed" | "changed";
    readonly subject: string;
    /** Changed fields, with their values before and after; keys of callers are only counted. */
    readonly fields: readonly string[];
}

type Report = (kind: ConfigurationFinding["kind"], subject: string, message: string) => void;

/**
 * Checks a valid configuration before it is sent.
 *
 * @example
 * checkConfiguration(configuration); // [{ kind: "never_matches", subject: "route r-2", message: "..." }]
 */
export function checkConfiguration(configuration: GatewayConfiguration): ConfigurationFinding[] {
    const findings: ConfigurationFinding[] = [];
    const report: Report = (kind, subject, message) => void findings.push({ kind, subject, message });
    checkRoutes(configuration, report);
    for (const { serviceId, engine } of configuration.services.values()) {
        if (engine !== undefined) checkEngines(`service ${serviceId}`, engine, report);
    }
    checkWorkspaces(configuration.workspaces ?? [], report);
    const { maxHeaderBytes } = configuration.limits;
    if (maxHeaderBytes === 0) report("contradiction", "limits", "heads may have no bytes, so every request is refused");
    return findings;
}

/** Checks whether gateways take a configuration over from the one that is in force. */
export function checkSuccession(inForce: GatewayConfiguration, next: GatewayConfiguration): ConfigurationFinding[] {
    if (next.version > inForce.version) return [];
    const message = `is not above ${inForce.version}, the version in force`;
    return [{ kind: "error", subject: `version ${next.version}`, message }];
}

function checkRoutes({ routes, services }: GatewayConfiguration, report: Report): void {
    const firstByPath = new Map<string, Route>();
    const names = new Set<string>();
    for (const route of routes) {
        const subject = `route ${route.name}`;
        if (names.has(route.name)) report("error", subject, "another route has the same name");
        names.add(route.name);
        const path = `${route.host.toLowerCase()} ${route.prefix}`;
        const first = firstByPath.get(path);
        if (first === undefined) firstByPath.set(path, route);
        else report("never_matches", subject, `route ${first.name} before it has the same host and prefix`);
        if (/[:/\s]/.test(route.host)) {
            report(
                "never_matches",
                subject,
                `no request has the host "${route.host}": a host is compared without its port`,
            );
        }
        for (const { serviceId } of route.services) {
            if (!services.has(serviceId)) report("error", subject, `there is no service ${serviceId}`);
        }
        checkRouteLimits(subject, route, report);
    }
}

function checkRouteLimits(subject: string, route: Route, report: Report): void {
    const { timeoutMs, targetLatencyMs, callerSilenceTimeoutMs = 0, maxAttempts, kind } = route;
    if (timeoutMs < targetLatencyMs) {
        report("contradiction", subject, `its timeout of ${timeoutMs} ms is below its target of ${targetLatencyMs} ms`);
    }
    if (timeoutMs < callerSilenceTimeoutMs) {
        const message = `callers wait ${callerSilenceTimeoutMs} ms for an event, but its timeout is ${timeoutMs} ms`;
        report("contradiction", subject, message);
    }
    const isRepeatable = kind === "idempotent" || kind === "streaming" && route.isResumable;
    if (maxAttempts > 1 && !isRepeatable) {
        report("contradiction", subject, `${maxAttempts} attempts have no effect, since its requests run at most once`);
    }
    if (kind !== "streaming" && route.isResumable) report("contradiction", subject, "only streams can be resumed");
}

function checkEngines(subject: string, engine: EngineProfile, report: Report): void {
    for (const { modelId, sizeMb, adapterIds, adapterSizeMb } of engine.models.values()) {
        const model = `${subject}, model ${modelId}`;
        if (sizeMb > engine.memoryMb) {
            report("never_matches", model, `its ${sizeMb} MB don't fit into an engine's ${engine.memoryMb} MB`);
        }
        else if (adapterIds.length > 0 && sizeMb + adapterSizeMb > engine.memoryMb) {
            report("never_matches", model, "an engine that holds it has no memory for an adapter");
        }
        if (adapterIds.length > 0 && engine.maxAdapters === 0) {
            report("never_matches", model, "its adapters can't be loaded, since engines take none");
        }
    }
    if (engine.storeLoadsPerSecond === 0) {
        report("contradiction", subject, "engines may load nothing from the weight store");
    }
}

function checkWorkspaces(workspaces: readonly Workspace[], report: Report): void {
    const ownerByKey = new Map<string, string>();
    const names = new Set<string>();
    for (const { workspaceId, keyDigests, quota } of workspaces) {
        const subject = `workspace ${workspaceId}`;
        if (names.has(workspaceId)) report("error", subject, "another workspace has the same name");
        names.add(workspaceId);
        if (keyDigests.length === 0) report("never_matches", subject, "it has no key, so no request belongs to it");
        for (const digest of keyDigests) {
            const owner = ownerByKey.get(digest);
            if (owner !== undefined && owner !== workspaceId) {
                report("error", subject, `workspace ${owner} has one of its keys too`);
            }
            ownerByKey.set(digest, workspaceId);
        }
        if (quota === undefined) continue;
        if (quota.unit === "tokens" && quota.burst < quota.defaultTokenCount) {
            const message = `a request without token counts is counted as ${quota.defaultTokenCount} tokens, more than `
                + `its burst of ${quota.burst}`;
            report("contradiction", subject, message);
        }
    }
}

/**
 * Compares two configurations; the later one comes second.
 *
 * @example
 * compareConfigurations(inForce, next); // [{ kind: "changed", subject: "route r-1", fields: ["timeoutMs: 500 -> 800"] }]
 */
export function compareConfigurations(
    before: GatewayConfiguration,
    after: GatewayConfiguration,
): ConfigurationChange[] {
    return [
        ...compareEntries("route", byName(before.routes), byName(after.routes)),
        ...compareEntries("service", before.services, after.services),
        ...compareEntries("workspace", byWorkspace(before.workspaces), byWorkspace(after.workspaces)),
        ...compareEntries("limits", new Map([["", before.limits]]), new Map([["", after.limits]])),
    ];
}

function byName(routes: readonly Route[]): Map<string, Route> {
    return new Map(routes.map(route => [route.name, route]));
}

function byWorkspace(workspaces: readonly Workspace[] = []): Map<string, Workspace> {
    return new Map(workspaces.map(workspace => [workspace.workspaceId, workspace]));
}

function compareEntries<K extends string>(
    type: string,
    before: ReadonlyMap<K, object>,
    after: ReadonlyMap<K, object>,
): ConfigurationChange[] {
    const changes: ConfigurationChange[] = [];
    for (const [name, entry] of after) {
        const subject = `${type} ${name}`.trimEnd();
        const previous = before.get(name);
        if (previous === undefined) changes.push({ kind: "added", subject, fields: [] });
        else {
            const fields = compareFields(previous, entry);
            if (fields.length > 0) changes.push({ kind: "changed", subject, fields });
        }
    }
    for (const name of before.keys()) {
        if (!after.has(name)) changes.push({ kind: "removed", subject: `${type} ${name}`, fields: [] });
    }
    return changes;
}

function compareFields(before: object, after: object, path = ""): string[] {
    const [previous, next] = [toFields(before), toFields(after)];
    return [...new Set([...previous.keys(), ...next.keys()])].flatMap(name => {
        const [was, is] = [previous.get(name), next.get(name)];
        const field = path === "" ? name : `${path}.${name}`;
        if (name === "keyDigests") return describeKeyChanges(was as readonly string[], is as readonly string[]);
        if (isNested(was) && isNested(is)) return compareFields(was, is, field);
        return format(was) === format(is) ? [] : [`${field}: ${format(was)} -> ${format(is)}`];
    });
}

function describeKeyChanges(before: readonly string[], after: readonly string[]): string[] {
    const addedCount = after.filter(digest => !before.includes(digest)).length;
    const removedCount = before.filter(digest => !after.includes(digest)).length;
    return addedCount + removedCount === 0 ? [] : [`keys: ${addedCount} added, ${removedCount} removed`];
}

function isNested(value: unknown): value is object {
    return value instanceof Object && !Array.isArray(value);
}

function toFields(value: object): Map<string, unknown> {
    return value instanceof Map
        ? new Map([...value].map(([key, entry]) => [String(key), entry]))
        : new Map(Object.entries(value));
}

function format(value: unknown): string {
    return value === undefined ? "none" : isNested(value) ? "set" : JSON.stringify(value);
}
