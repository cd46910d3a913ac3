import type { SkylarkmillError } from "@skylarkmill/protocol";
import { type CommandResult, EXIT } from "./command-options.ts";
import type { OperatorResponse } from "./operator-client.ts";

export type Cell = string | number | boolean | undefined;

/**
 * Formats rows as a table with aligned columns.
 *
 * @example
 * formatTable(["model", "loaded"], [["bench-diagnosis-01", 1]]);
 */
export function formatTable(headers: readonly string[], rows: readonly (readonly Cell[])[]): string {
    const cells = [headers, ...rows.map(row => row.map(cell => (cell === undefined ? "-" : String(cell))))];
    const widths = headers.map((_, column) => Math.max(...cells.map(row => row[column]?.length ?? 0)));
    return cells.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join("  ").trimEnd()).join("\n");
}

export function toJson(value: unknown): string {
    return JSON.stringify(value, undefined, 2);
}

/** Prints a router's answer as JSON or with the given text. */
export function printResponse(json: boolean, body: unknown, text: () => string): CommandResult {
    return { exitCode: EXIT.done, text: json ? toJson(body) : text() };
}

interface ErrorBody {
    readonly error?: {
        readonly code?: string;
        readonly message?: string;
        readonly faults?: readonly { readonly path: string; readonly message: string; }[];
    };
}

/** Reports a refusal by a router, with every fault of the input. */
export function printRefusal(json: boolean, response: OperatorResponse): CommandResult {
    const exitCode = response.status === 400 ? EXIT.invalidInput : EXIT.failed;
    if (json) return { exitCode, text: toJson(response.body) };
    const { error } = response.body as ErrorBody;
    const faults = (error?.faults ?? []).map(fault => `  ${fault.path}: ${fault.message}`);
    return { exitCode, text: [`${error?.code ?? response.status}: ${error?.message ?? ""}`, ...faults].join("\n") };
}

export function printError(json: boolean, error: SkylarkmillError): CommandResult {
    const text = json ? toJson({ error: { code: error.code, message: error.message } }) : error.message;
    return { exitCode: EXIT.failed, text };
}
