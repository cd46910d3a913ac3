import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { parseArgs } from "node:util";
import { type LogLine, parseLogLine } from "../explain/log-lines.ts";
import { collectRequestHistory, formatRequestHistory } from "../explain/request-history.ts";

const USAGE =
    "Usage: skylarkmill explain REQUEST_ID [FILE...] [--json]   (without a file, logs are read from standard input)";
const USAGE_ERROR_EXIT_CODE = 2;
const NOT_FOUND_EXIT_CODE = 1;

/** Prints the history of one request from the logs of all processes; resolves with the exit code. */
export async function explainRequest(argv: readonly string[]): Promise<number> {
    const parsed = readArguments(argv);
    if (parsed === undefined) {
        process.stderr.write(`${USAGE}\n`);
        return USAGE_ERROR_EXIT_CODE;
    }
    const lines: LogLine[] = [];
    const sources = parsed.files.length === 0 ? [process.stdin] : parsed.files.map(file => createReadStream(file));
    for (const [index, source] of sources.entries()) {
        try {
            for await (const text of createInterface({ input: source })) {
                const line = parseLogLine(text);
                if (line !== undefined) lines.push(line);
            }
        }
        catch (error) {
            process.stderr.write(
                `skylarkmill explain: ${parsed.files[index] ?? "standard input"} can't be read: ${String(error)}\n`,
            );
            return USAGE_ERROR_EXIT_CODE;
        }
    }
    const history = collectRequestHistory(parsed.requestId, lines);
    process.stdout.write(`${parsed.json ? JSON.stringify(history, undefined, 2) : formatRequestHistory(history)}\n`);
    return history.own.length === 0 ? NOT_FOUND_EXIT_CODE : 0;
}

function readArguments(argv: readonly string[]): { requestId: string; files: string[]; json: boolean; } | undefined {
    try {
        const { values, positionals } = parseArgs({
            args: [...argv],
            options: { json: { type: "boolean" } },
            allowPositionals: true,
        });
        const [requestId, ...files] = positionals;
        return requestId === undefined ? undefined : { requestId, files, json: values.json ?? false };
    }
    catch (error) {
        // parseArgs throws a TypeError that names the unknown flag.
        process.stderr.write(`skylarkmill explain: ${error instanceof Error ? error.message : String(error)}\n`);
        return undefined;
    }
}
