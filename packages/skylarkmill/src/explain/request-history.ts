import type { LogLine } from "./log-lines.ts";

/** Time before a request's arrival within which a logged decision counts as a possible cause of its outcome. */
const CAUSE_WINDOW_MS = 10_000;
/** Steps of the lines that explain why a server or a model was not available. */
const CAUSE_STEPS = /^(server|right|member|view|configuration|engine|placement|stop|start)/;

/** Steps of the lines that tell whether a process ended in order; they follow the requests that it cut. */
const PROCESS_STEPS = /^(stop|stopped|start)$/;
/** What the line that ends a request says about its end. */
const ENDS: Readonly<Record<string, string>> = {
    "request.answered": "it was answered",
    "request.refused": "it was refused",
    "request.broken": "its response was cut by the gateway",
    "request.stopped": "the stop of its gateway ended it",
    "request.end_unverified": "its stream ended with its server's connection, which may have cut it",
};

/** The log lines of one request, and the lines that may explain its outcome. */
export interface RequestHistory {
    readonly requestId: string;
    /** How the request ended, if a line says so. */
    readonly end: string | undefined;
    /** Lines with the request's id. */
    readonly own: readonly LogLine[];
    /** Decisions about the request's servers, models and hosts around the same time. */
    readonly causes: readonly LogLine[];
}

/**
 * Collects the history of one request from the logs of all processes, sorted by time.
 *
 * @example
 * const history = collectRequestHistory("c33cc7921fd56d8f", lines);
 */
export function collectRequestHistory(requestId: string, lines: readonly LogLine[]): RequestHistory {
    const own = lines.filter(line => line.requestId === requestId).sort(compareByTime);
    if (own.length === 0) return { requestId, end: undefined, own, causes: [] };
    const causesFromMs = findArrivalMs(own) - CAUSE_WINDOW_MS;
    const causesToMs = own.at(-1)!.atMs;
    const servers = collectFieldValues(own, "server");
    const models = collectFieldValues(own, "model");
    const hosts = new Set(own.map(line => line.host));
    const causes = lines.filter(line => {
        const toMs = PROCESS_STEPS.test(line.step) ? causesToMs + CAUSE_WINDOW_MS : causesToMs;
        if (
            line.requestId !== undefined || line.atMs < causesFromMs || line.atMs > toMs
            || !CAUSE_STEPS.test(line.step)
        ) {
            return false;
        }
        const { server, load, unload } = line.fields;
        if (typeof load === "string" && models.has(load) || typeof unload === "string" && models.has(unload)) {
            return true;
        }
        if (typeof server === "string") return servers.has(server) && hosts.has(line.host);
        return hosts.has(line.host);
    });
    const end = own.map(line => ENDS[line.step]).filter(text => text !== undefined).at(-1);
    return { requestId, end, own, causes: causes.sort(compareByTime) };
}

/** Finds the request's arrival time: a line is logged when its step ends, and `waitedMs` is the time since arrival. */
function findArrivalMs(own: readonly LogLine[]): number {
    return Math.min(
        ...own.map(({ atMs, fields }) => atMs - (typeof fields["waitedMs"] === "number" ? fields["waitedMs"] : 0)),
    );
}

function compareByTime(a: LogLine, b: LogLine): number {
    return a.atMs - b.atMs;
}

function collectFieldValues(lines: readonly LogLine[], field: string): Set<string> {
    return new Set(lines.map(({ fields }) => fields[field]).filter(value => typeof value === "string"));
}

/** Formats a history, one line per log line; the lines with the request's id are marked with `*`. */
export function formatRequestHistory({ requestId, end, own, causes }: RequestHistory): string {
    if (own.length === 0) return `no line names request ${requestId}`;
    const originMs = findArrivalMs(own);
    const marked = [...own.map(line => ({ line, mark: "*" })), ...causes.map(line => ({ line, mark: " " }))];
    const rows = marked.sort((a, b) => compareByTime(a.line, b.line)).map(({ line, mark }) => {
        const atS = ((line.atMs - originMs) / 1_000).toFixed(3).padStart(9);
        const fields = Object.entries(line.fields).map(([name, value]) => `${name}=${formatValue(value)}`).join(" ");
        return `${mark} ${atS} s  ${line.host}  ${line.step}: ${line.message}  ${fields}`;
    });
    const heading = [`request ${requestId}`, end, "times count from its arrival", "* marks its own lines"];
    return [heading.filter(part => part !== undefined).join("; "), ...rows].join("\n");
}

function formatValue(value: unknown): string {
    if (typeof value === "string") return value;
    if (typeof value !== "object" || !value) return String(value);
    const error = value as { name?: unknown; message?: unknown; };
    return typeof error.message === "string" ? JSON.stringify(error.message) : JSON.stringify(value);
}
