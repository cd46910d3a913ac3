/** One line of a process's log. */
export interface LogLine {
    readonly atMs: number;
    readonly host: string;
    readonly step: string;
    readonly message: string;
    readonly requestId: string | undefined;
    /** The line's other fields. */
    readonly fields: Readonly<Record<string, unknown>>;
}

const COMMON_FIELDS = new Set(["name", "hostname", "role", "pid", "level", "time", "v", "msg", "step", "requestId"]);

/**
 * Reads one line of a log; undefined when it is none. Text before the JSON, such as a collector's own time, is skipped.
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
        // Collectors mix logs with other output.
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
