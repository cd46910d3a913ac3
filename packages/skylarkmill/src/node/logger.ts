import { SkylarkmillError } from "@skylarkmill/protocol";
import bunyan, { type LogLevel } from "bunyan";
import { LogOutput, openStandardOutput } from "./log-output.ts";

export interface LoggerOptions {
    readonly role: string;
    readonly hostId: string;
    readonly level: LogLevel;
    /** Returns the current secrets, which are redacted from every log line. */
    readonly secrets: () => Iterable<string>;
    /** @default The standard output, without waiting for its reader. */
    readonly output?: { write(line: string): unknown; };
}

const REDACTED = "[redacted]";
const SECRET_HEADERS = new Set(["authorization", "cookie", "idempotency-key", "x-skylarkmill-peer-key"]);
// Shorter secrets are not redacted, since they could be part of ordinary words.
const MIN_SECRET_LENGTH = 4;

function toHeaderFields(headers: unknown): unknown {
    if (typeof headers !== "object" || headers === undefined) return undefined;
    const entries = Object.entries(headers ?? {});
    return Object.fromEntries(
        entries.map(([name, value]) => [name, SECRET_HEADERS.has(name.toLowerCase()) ? REDACTED : value as unknown]),
    );
}

function toErrorFields(error: unknown): unknown {
    if (!(error instanceof Error)) return error;
    const base = { name: error.name, message: error.message, stack: error.stack };
    if (!(error instanceof SkylarkmillError)) return base;
    const cause = error.cause instanceof Error ? { cause: error.cause.message } : {};
    return { ...base, code: error.code, step: error.step, peer: error.peer, ...cause };
}

/** Replaces bearer tokens and known secrets in one log line. */
function redact(line: string, secrets: Iterable<string>): string {
    let redacted = line.replace(/Bearer [^\s"\\]+/gi, `Bearer ${REDACTED}`);
    for (const secret of secrets) {
        if (secret.length >= MIN_SECRET_LENGTH) {
            redacted = redacted.replaceAll(JSON.stringify(secret).slice(1, -1), REDACTED);
        }
    }
    return redacted;
}

/**
 * Creates the logger of a process, which writes one JSON object per line and redacts tokens and keys.
 *
 * @example
 * const logger = createLogger({ role: "router", hostId: "h1", level: "info", secrets: () => keys });
 */
export function createLogger(options: LoggerOptions): bunyan {
    const output = options.output ?? openStandardOutput();
    const stream = { write: (line: string) => output.write(redact(line, options.secrets())) };
    const logger = bunyan.createLogger({
        name: "skylarkmill",
        hostname: options.hostId,
        role: options.role,
        streams: [{ level: options.level, type: "stream", stream: stream as unknown as NodeJS.WritableStream }],
        serializers: { err: toErrorFields, error: toErrorFields, headers: toHeaderFields },
    });
    if (output instanceof LogOutput) {
        output.onDropped = lineCount =>
            logger.warn({ step: "log.write", lineCount }, "log lines were dropped, since the log was not read");
    }
    return logger;
}
