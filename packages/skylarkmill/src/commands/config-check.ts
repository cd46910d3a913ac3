import {
    checkConfiguration,
    checkSuccession,
    compareConfigurations,
    type ConfigurationChange,
    type ConfigurationFinding,
    type GatewayConfiguration,
} from "@skylarkmill/gateway";
import { readConfiguration } from "@skylarkmill/platform";
import { readFileSync } from "node:fs";
import { parseArgs } from "node:util";

const USAGE = "Usage: skylarkmill config check FILE [--in-force FILE] [--json]   (FILE is the document of gateways)";
const USAGE_ERROR_EXIT_CODE = 2;
const FOUND_EXIT_CODE = 1;

/** What a check found; `changes` is undefined without a version to compare with. */
interface CheckReport {
    readonly findings: readonly ConfigurationFinding[];
    readonly changes: readonly ConfigurationChange[] | undefined;
}

interface CheckArguments {
    readonly file: string;
    readonly inForceFile: string | undefined;
    readonly json: boolean;
}

/** Checks a configuration document and compares it with the one in force; resolves with the exit code. */
export async function checkConfigurationFile(argv: readonly string[]): Promise<number> {
    const parsed = readArguments(argv);
    if (parsed === undefined) {
        process.stderr.write(`${USAGE}\n`);
        return USAGE_ERROR_EXIT_CODE;
    }
    const documents = [parsed.file, ...parsed.inForceFile === undefined ? [] : [parsed.inForceFile]].map(readDocument);
    if (documents.includes(undefined)) return USAGE_ERROR_EXIT_CODE;
    const report = createReport(documents[0]!, documents[1]);
    process.stdout.write(`${parsed.json ? JSON.stringify(report, undefined, 2) : formatReport(report)}\n`);
    return report.findings.length === 0 ? 0 : FOUND_EXIT_CODE;
}

function createReport(text: string, inForceText: string | undefined): CheckReport {
    const next = readConfiguration(text);
    if (next.isErr()) return { findings: toErrors("document", next.error), changes: undefined };
    const findings = checkConfiguration(next.value);
    if (inForceText === undefined) return { findings, changes: undefined };
    const inForce = readConfiguration(inForceText);
    if (inForce.isErr()) {
        return { findings: [...findings, ...toErrors("document in force", inForce.error)], changes: undefined };
    }
    return compare(findings, inForce.value, next.value);
}

function compare(
    findings: readonly ConfigurationFinding[],
    inForce: GatewayConfiguration,
    next: GatewayConfiguration,
): CheckReport {
    return {
        findings: [...checkSuccession(inForce, next), ...findings],
        changes: compareConfigurations(inForce, next),
    };
}

function toErrors(subject: string, messages: readonly string[]): ConfigurationFinding[] {
    return messages.map(message => ({ kind: "error", subject, message }));
}

function formatReport({ findings, changes }: CheckReport): string {
    const lines = findings.map(({ kind, subject, message }) => `${kind.replace("_", " ")}: ${subject}: ${message}`);
    if (findings.length === 0) lines.push("nothing found");
    for (const { kind, subject, fields } of changes ?? []) {
        lines.push([`${kind}: ${subject}`, ...fields.map(field => `    ${field}`)].join("\n"));
    }
    if (changes?.length === 0) lines.push("no difference from the version in force");
    return lines.join("\n");
}

function readDocument(file: string): string | undefined {
    try {
        return readFileSync(file, "utf8");
    }
    catch (error) {
        process.stderr.write(`skylarkmill config check: ${file} can't be read: ${String(error)}\n`);
        return undefined;
    }
}

function readArguments(argv: readonly string[]): CheckArguments | undefined {
    try {
        const { values, positionals } = parseArgs({
            args: [...argv],
            options: { "json": { type: "boolean" }, "in-force": { type: "string" } },
            allowPositionals: true,
        });
        const [file, ...others] = positionals;
        if (file === undefined || others.length > 0) return undefined;
        return { file, inForceFile: values["in-force"], json: values.json ?? false };
    }
    catch (error) {
        // parseArgs throws a TypeError that names the unknown flag.
        process.stderr.write(`skylarkmill config check: ${error instanceof Error ? error.message : String(error)}\n`);
        return undefined;
    }
}
