import type { SkylarkmillError } from "@skylarkmill/protocol";
import { type CommandResult, EXIT } from "./command-options.ts";
import type { RouterResponse } from "./operator-client.ts";

export type TableCell = string | number | boolean | undefined;

/**
 * Formats rows as a table with aligned columns.
 *
 * @example
 * formatTable(["model", "loaded"], [["bench-diagnosis-01", 1]]);
 */
export function formatTable(headers: readonly string[], rows: readonly (readonly TableCell[])[]): string {
    const cells = [headers, ...rows.map(row => row.map(cell => (cell === undefined ? "-" : String(cell))))];
    const widths = headers.map((_, column) => Math.max(...cells.map(row => row[column]?.length ?? 0)));
    return cells.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join("  ").trimEnd()).join("\n");
}

/** Serializes a value as indented JSON. */
export function toJson(value: unknown): string {
    return JSON.stringify(value, undefined, 2);
}

/** Formats a successful response as JSON or as the given text. */
export function formatResponse(json: boolean, body: unknown, formatText: () => string): CommandResult {
    return { exitCode: EXIT.done, text: json ? toJson(body) : formatText() };
}

interface ErrorBody {
    readonly error?: {
        readonly code?: string;
        readonly message?: string;
        readonly faults?: readonly { readonly path: string; readonly message: string; }[];
    };
}

/** Formats an error response of a router, with every fault of the input. */
export function formatErrorResponse(json: boolean, response: RouterResponse): CommandResult {
    const exitCode = response.status === 400 ? EXIT.invalidInput : EXIT.failed;
    if (json) return { exitCode, text: toJson(response.body) };
    const { error } = response.body as ErrorBody;
    const faults = (error?.faults ?? []).map(fault => `  ${fault.path}: ${fault.message}`);
    return { exitCode, text: [`${error?.code ?? response.status}: ${error?.message ?? ""}`, ...faults].join("\n") };
}

/** Formats an error for which there is no response. */
export function formatError(json: boolean, error: SkylarkmillError): CommandResult {
    const text = json ? toJson({ error: { code: error.code, message: error.message } }) : error.message;
    return { exitCode: EXIT.failed, text };
}
