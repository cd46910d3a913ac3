import { checkDocument, type ConfigSection, diffSections, parseSection } from "@skylarkmill/config";
import { sleep } from "@skylarkmill/coordination";
import { type InvalidInputError, OutcomeUnknownError, type SectionName, toId } from "@skylarkmill/protocol";
import type { Result } from "neverthrow";
import type { ChangeSince } from "../types/operator.ts";
import { type CommandResult, EXIT, type OperatorCommandOptions } from "./command-options.ts";
import { printError, printRefusal, toJson } from "./format.ts";
import { type Attempts, OperatorClient, type OperatorResponse } from "./operator-client.ts";

export interface ConfigApplyOptions extends OperatorCommandOptions {
    readonly section: string;
    /** The section, or the output of `config get SECTION`, whose version then counts as the one edited. */
    readonly content: unknown;
    /** Version that was edited. @default the file's, else the one in force */
    readonly version?: number | undefined;
    /** Names the edit; an edit that is repeated under its id is carried out once. */
    readonly editId: string;
    /** Check and show the difference only. */
    readonly dryRun: boolean;
    /** Receives the difference before it is written. */
    readonly print: (text: string) => void;
}

interface SectionAnswer {
    readonly version: number;
    readonly section: ConfigSection;
}

/** Attempts to learn the outcome of an edit whose answer was lost, and the time between them. */
const ASK_ATTEMPTS = 5;
const ASK_INTERVAL_MS = 1_000;

/**
 * Edits one section: shows the difference, writes it and says whether it took effect.
 *
 * @example
 * const result = await runConfigApply({ ...options, section: "parts", content, editId, dryRun: false, print });
 */
export async function runConfigApply(options: ConfigApplyOptions): Promise<CommandResult> {
    const client = new OperatorClient(options);
    const all = await client.call({ method: "GET", path: "/operator/config" });
    if (all.isErr()) return printError(options.json, all.error);
    if (all.value.status >= 300) return printRefusal(options.json, all.value);
    const sections = new Map(Object.entries(all.value.body["sections"] as Record<string, SectionAnswer>));
    const current = sections.get(options.section);
    const { content, version } = unwrapFile(options);
    const checked = check(options.section, content, sections);
    if (checked.isErr()) return invalid(options, checked.error);
    const changes = diffSections(current?.section, checked.value);
    const currentVersion = current?.version ?? await absentVersion(client, options.section);
    const ifMatch = version ?? currentVersion;
    const isStale = ifMatch !== currentVersion;
    if (!options.json && !isStale) options.print(changes.join("\n") || "No difference.");
    if (options.dryRun) return dryRun(options, changes, ifMatch, currentVersion);
    if (changes.length === 0 && !isStale) return done(options, ifMatch, []);
    return write(client, options, ifMatch, checked.value);
}

/** A section that is absent has a version when an edit of it was voided. */
async function absentVersion(client: OperatorClient, section: string): Promise<number> {
    const { response } = await client.attempt({
        method: "GET",
        path: `/operator/config/${encodeURIComponent(section)}`,
    });
    const version = response?.body["currentVersion"];
    return typeof version === "number" ? version : 0;
}

/** A file that `config get` printed carries the version that was edited. */
function unwrapFile(options: ConfigApplyOptions): { readonly content: unknown; readonly version: number | undefined; } {
    const file = options.content as { readonly version?: unknown; readonly section?: unknown; } | undefined;
    if (typeof file?.version !== "number" || file.section === undefined) {
        return { content: options.content, version: options.version };
    }
    return { content: file.section, version: options.version ?? file.version };
}

function check(
    name: string,
    content: unknown,
    sections: ReadonlyMap<string, SectionAnswer>,
): Result<ConfigSection, InvalidInputError> {
    return parseSection(content).andThen(section => {
        const document = new Map([...sections].map(([key, value]) => [toId<SectionName>(key), value.section]));
        document.set(toId<SectionName>(name), section);
        return checkDocument(document).map(() => section);
    });
}

async function write(
    client: OperatorClient,
    options: ConfigApplyOptions,
    ifMatch: number,
    section: ConfigSection,
): Promise<CommandResult> {
    const attempts = await client.attempt({
        method: "PUT",
        path: `/operator/config/${encodeURIComponent(options.section)}`,
        headers: { "if-match": String(ifMatch), "x-edit-id": options.editId },
        body: section,
    });
    const { response } = attempts;
    if (response?.body["outcome"] === "accepted") return accepted(options, response);
    if (response?.status === 409) return stale(options, response);
    if (response !== undefined && response.status !== 503) return printRefusal(options.json, response);
    if (response?.body["outcome"] === "not_accepted" || wroteNothing(attempts)) {
        return report(options, EXIT.failed, "The edit did not take effect; nothing was changed.", response?.body);
    }
    return askOutcome(client, options, ifMatch);
}

/** No router can have written: each was not reached or refused before it wrote. */
function wroteNothing({ unavailable, errors }: Attempts): boolean {
    return unavailable.every(response => response.body["thisAttempt"] === "not_written")
        && !errors.some(error => error instanceof OutcomeUnknownError);
}

async function askOutcome(
    client: OperatorClient,
    options: ConfigApplyOptions,
    ifMatch: number,
): Promise<CommandResult> {
    const query = `section=${encodeURIComponent(options.section)}&version=${ifMatch}`;
    const path = `/operator/config/edits/${encodeURIComponent(options.editId)}?${query}`;
    for (let attempt = 1; attempt <= ASK_ATTEMPTS; attempt += 1) {
        const { response } = await client.attempt({ method: "GET", path });
        if (response?.body["outcome"] === "accepted") return accepted(options, response);
        if (response?.body["outcome"] === "not_accepted") {
            return report(options, EXIT.failed, "The edit did not take effect; nothing was changed.", response.body);
        }
        if (attempt < ASK_ATTEMPTS) await sleep(ASK_INTERVAL_MS);
    }
    const again = `--section ${options.section} --version ${ifMatch} --edit-id ${options.editId}`;
    const text = `Whether the edit took effect is not known yet. To ask again, repeat it safely with ${again}.`;
    return report(options, EXIT.unknown, text, { outcome: "unknown", editId: options.editId, version: ifMatch });
}

function accepted(options: ConfigApplyOptions, response: OperatorResponse): CommandResult {
    const { version } = response.body;
    const text = typeof version === "number"
        ? `Section ${options.section} is at version ${version}.`
        : `The edit of section ${options.section} took effect.`;
    return report(options, EXIT.done, text, response.body);
}

function done(options: ConfigApplyOptions, version: number, changes: readonly string[]): CommandResult {
    const body = { outcome: "accepted", section: options.section, version, changes };
    return report(options, EXIT.done, `Section ${options.section} stays at version ${version}.`, body);
}

function dryRun(
    options: ConfigApplyOptions,
    changes: readonly string[],
    ifMatch: number,
    currentVersion: number,
): CommandResult {
    const body = { dryRun: true, section: options.section, version: ifMatch, currentVersion, changes };
    if (ifMatch === currentVersion) return report(options, EXIT.done, "Nothing was written.", body);
    const text = `Section ${options.section} is at version ${currentVersion}, not at ${ifMatch}; nothing was written.`;
    return report(options, EXIT.stale, text, body);
}

function stale(options: ConfigApplyOptions, response: OperatorResponse): CommandResult {
    const { error, changedMeanwhile } = response.body as {
        readonly error?: { readonly message?: string; };
        readonly changedMeanwhile?: readonly ChangeSince[];
    };
    const lines = (changedMeanwhile ?? []).flatMap(change => [
        `  version ${change.version} by ${change.who} at ${new Date(change.atMs).toISOString()}:`,
        ...change.changes.map(line => `    ${line}`),
    ]);
    const meanwhile = lines.length === 0 ? [] : ["Changed meanwhile:", ...lines];
    const text = [error?.message ?? "", ...meanwhile, "Nothing was written."].join("\n");
    return report(options, EXIT.stale, text, response.body);
}

function invalid(options: ConfigApplyOptions, error: InvalidInputError): CommandResult {
    const faults = error.faults.map(fault => `  ${fault.path}: ${fault.message}`);
    const text = ["The section is not valid:", ...faults].join("\n");
    return report(options, EXIT.invalidInput, text, { error: { code: error.code, faults: error.faults } });
}

function report(options: ConfigApplyOptions, exitCode: number, text: string, body: object | undefined): CommandResult {
    return { exitCode, text: options.json ? toJson(body ?? { message: text }) : text };
}
