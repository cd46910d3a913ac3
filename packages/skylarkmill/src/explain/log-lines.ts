/** One parsed line of a process's log. */
export interface LogLine {
    readonly atMs: number;
    readonly host: string;
    readonly step: string;
    readonly message: string;
    readonly requestId: string | undefined;
    /** Fields other than those that every line has. */
    readonly fields: Readonly<Record<string, unknown>>;
}

/** Fields that every line has, and those with a property of their own in `LogLine`. */
const COMMON_FIELDS = new Set(["name", "hostname", "role", "pid", "level", "time", "v", "msg", "step", "requestId"]);

/**
 * Parses one log line; returns `undefined` for text that is not a log line. Text before the JSON object, such as the
 * timestamp of a log collector, is skipped.
 *
 * @example
 * const line = parseLogLine('{"hostname":"h1","step":"start","msg":"gateway started","time":"2026-03-02T11:44:17Z"}');
 */
export function parseLogLine(text: string): LogLine | undefined {
    const start = text.indexOf("{");
    if (start < 0) return undefined;
    let json: unknown;
    try {
        json = JSON.parse(text.slice(start));
    }
    catch (error) {
        // Log collectors mix log lines with other output.
        if (error instanceof SyntaxError) return undefined;
        throw error;
    }
    if (typeof json !== "object" || !json) return undefined;
    const record = json as Record<string, unknown>;
    const atMs = Date.parse(toText(record["time"]));
    if (Number.isNaN(atMs)) return undefined;
    return {
        atMs,
        host: toText(record["hostname"]),
        step: toText(record["step"]),
        message: toText(record["msg"]),
        requestId: typeof record["requestId"] === "string" ? record["requestId"] : undefined,
        fields: Object.fromEntries(Object.entries(record).filter(([name]) => !COMMON_FIELDS.has(name))),
    };
}

function toText(value: unknown): string {
    return typeof value === "string" ? value : "";
}
