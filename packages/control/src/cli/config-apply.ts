import { checkDocument, type ConfigSection, diffSections, parseSection } from "@skylarkmill/config";
import { sleep } from "@skylarkmill/coordination";
import { type InvalidInputError, OutcomeUnknownError, type SectionName, toId } from "@skylarkmill/protocol";
import type { Result } from "neverthrow";
import type { SectionChange } from "../types/operator.ts";
import { type CommandResult, EXIT, type OperatorCommandOptions } from "./command-options.ts";
import { formatError, formatErrorResponse, toJson } from "./format.ts";
import { OperatorClient, type RouterAttempts, type RouterResponse } from "./operator-client.ts";

export interface ConfigApplyOptions extends OperatorCommandOptions {
    /** Name of the section. */
    readonly section: string;
    /** The section, or the output of `config get SECTION`, which also contains the version that was edited. */
    readonly content: unknown;
    /** Version that was edited. @default the version in `content`, otherwise the current one */
    readonly version?: number | undefined;
    /** Identifies the edit; requests that repeat the id apply the edit at most once. */
    readonly editId: string;
    /** Whether to only validate the section and show the difference. */
    readonly dryRun: boolean;
    /** Prints the difference before the section is written. */
    readonly print: (text: string) => void;
}

/** A section in a response of the operators' interface. */
interface SectionBody {
    readonly version: number;
    readonly section: ConfigSection;
}

/** Maximum number of requests for the outcome of an edit whose response was lost. */
const MAX_OUTCOME_POLLS = 5;
/** Time between these requests. */
const OUTCOME_POLL_INTERVAL_MS = 1_000;

/**
 * Edits one section: prints the difference, writes the section and reports whether the edit took effect.
 *
 * @example
 * const result = await runConfigApply({ ...options, section: "parts", content, editId, dryRun: false, print });
 */
export async function runConfigApply(options: ConfigApplyOptions): Promise<CommandResult> {
    const client = new OperatorClient(options);
    const configResponse = await client.call({ method: "GET", path: "/operator/config" });
    if (configResponse.isErr()) return formatError(options.json, configResponse.error);
    if (configResponse.value.status >= 300) return formatErrorResponse(options.json, configResponse.value);
    const sections = new Map(Object.entries(configResponse.value.body["sections"] as Record<string, SectionBody>));
    const current = sections.get(options.section);
    const { content, version } = splitContent(options);
    const checked = checkSection(options.section, content, sections);
    if (checked.isErr()) return createInvalidResult(options, checked.error);
    const changes = diffSections(current?.section, checked.value);
    const currentVersion = current?.version ?? await readAbsentSectionVersion(client, options.section);
    const ifMatch = version ?? currentVersion;
    const isStale = ifMatch !== currentVersion;
    if (!options.json && !isStale) options.print(changes.join("\n") || "No changes.");
    if (options.dryRun) return createDryRunResult(options, changes, ifMatch, currentVersion);
    if (changes.length === 0 && !isStale) return createUnchangedResult(options, ifMatch, []);
    return writeSection(client, options, ifMatch, checked.value);
}

/** Reads the version of a section without content; it is not 0 if an edit of the section was voided. */
async function readAbsentSectionVersion(client: OperatorClient, section: string): Promise<number> {
    const { response } = await client.tryRouters({
        method: "GET",
        path: `/operator/config/${encodeURIComponent(section)}`,
    });
    const version = response?.body["currentVersion"];
    return typeof version === "number" ? version : 0;
}

/** Separates the section from the version if the content is output of `config get`. */
function splitContent(
    options: ConfigApplyOptions,
): { readonly content: unknown; readonly version: number | undefined; } {
    const file = options.content as { readonly version?: unknown; readonly section?: unknown; } | undefined;
    if (typeof file?.version !== "number" || file.section === undefined) {
        return { content: options.content, version: options.version };
    }
    return { content: file.section, version: options.version ?? file.version };
}

function checkSection(
    name: string,
    content: unknown,
    sections: ReadonlyMap<string, SectionBody>,
): Result<ConfigSection, InvalidInputError> {
    return parseSection(content).andThen(section => {
        const document = new Map([...sections].map(([key, value]) => [toId<SectionName>(key), value.section]));
        document.set(toId<SectionName>(name), section);
        return checkDocument(document).map(() => section);
    });
}

async function writeSection(
    client: OperatorClient,
    options: ConfigApplyOptions,
    ifMatch: number,
    section: ConfigSection,
): Promise<CommandResult> {
    const attempts = await client.tryRouters({
        method: "PUT",
        path: `/operator/config/${encodeURIComponent(options.section)}`,
        headers: { "if-match": String(ifMatch), "x-edit-id": options.editId },
        body: section,
    });
    const { response } = attempts;
    if (response?.body["outcome"] === "accepted") return createAcceptedResult(options, response);
    if (response?.status === 409) return createStaleResult(options, response);
    if (response !== undefined && response.status !== 503) return formatErrorResponse(options.json, response);
    if (response?.body["outcome"] === "not_accepted" || isCertainlyUnwritten(attempts)) {
        return createResult(options, EXIT.failed, "The edit did not take effect; nothing was changed.", response?.body);
    }
    return pollOutcome(client, options, ifMatch);
}

/** Returns whether no router can have written: each was unreachable or refused the request before writing. */
function isCertainlyUnwritten({ inconclusiveResponses, errors }: RouterAttempts): boolean {
    return inconclusiveResponses.every(response => response.body["thisAttempt"] === "not_written")
        && !errors.some(error => error instanceof OutcomeUnknownError);
}

async function pollOutcome(
    client: OperatorClient,
    options: ConfigApplyOptions,
    ifMatch: number,
): Promise<CommandResult> {
    const query = `section=${encodeURIComponent(options.section)}&version=${ifMatch}`;
    const path = `/operator/config/edits/${encodeURIComponent(options.editId)}?${query}`;
    for (let attempt = 1; attempt <= MAX_OUTCOME_POLLS; attempt += 1) {
        const { response } = await client.tryRouters({ method: "GET", path });
        if (response?.body["outcome"] === "accepted") return createAcceptedResult(options, response);
        if (response?.body["outcome"] === "not_accepted") {
            return createResult(
                options,
                EXIT.failed,
                "The edit did not take effect; nothing was changed.",
                response.body,
            );
        }
        if (attempt < MAX_OUTCOME_POLLS) await sleep(OUTCOME_POLL_INTERVAL_MS);
    }
    const repeatFlags = `--section ${options.section} --version ${ifMatch} --edit-id ${options.editId}`;
    const text = `It is not known whether the edit took effect. To find out, repeat the command with ${repeatFlags}.`;
    return createResult(options, EXIT.unknown, text, { outcome: "unknown", editId: options.editId, version: ifMatch });
}

function createAcceptedResult(options: ConfigApplyOptions, response: RouterResponse): CommandResult {
    const { version } = response.body;
    const text = typeof version === "number"
        ? `Section ${options.section} is at version ${version}.`
        : `The edit of section ${options.section} took effect.`;
    return createResult(options, EXIT.done, text, response.body);
}

function createUnchangedResult(
    options: ConfigApplyOptions,
    version: number,
    changes: readonly string[],
): CommandResult {
    const body = { outcome: "accepted", section: options.section, version, changes };
    return createResult(options, EXIT.done, `Section ${options.section} remains at version ${version}.`, body);
}

function createDryRunResult(
    options: ConfigApplyOptions,
    changes: readonly string[],
    ifMatch: number,
    currentVersion: number,
): CommandResult {
    const body = { dryRun: true, section: options.section, version: ifMatch, currentVersion, changes };
    if (ifMatch === currentVersion) return createResult(options, EXIT.done, "Nothing was written.", body);
    const text = `Section ${options.section} is at version ${currentVersion}, not at ${ifMatch}; nothing was written.`;
    return createResult(options, EXIT.stale, text, body);
}

function createStaleResult(options: ConfigApplyOptions, response: RouterResponse): CommandResult {
    const { error, changedMeanwhile } = response.body as {
        readonly error?: { readonly message?: string; };
        readonly changedMeanwhile?: readonly SectionChange[];
    };
    const lines = (changedMeanwhile ?? []).flatMap(change => [
        `  version ${change.version} by ${change.who} at ${new Date(change.atMs).toISOString()}:`,
        ...change.changes.map(line => `    ${line}`),
    ]);
    const meanwhile = lines.length === 0 ? [] : ["Changes since that version:", ...lines];
    const text = [error?.message ?? "", ...meanwhile, "Nothing was written."].join("\n");
    return createResult(options, EXIT.stale, text, response.body);
}

function createInvalidResult(options: ConfigApplyOptions, error: InvalidInputError): CommandResult {
    const faults = error.faults.map(fault => `  ${fault.path}: ${fault.message}`);
    const text = ["The section is invalid:", ...faults].join("\n");
    return createResult(options, EXIT.invalidInput, text, { error: { code: error.code, faults: error.faults } });
}

function createResult(
    options: ConfigApplyOptions,
    exitCode: number,
    text: string,
    body: object | undefined,
): CommandResult {
    return { exitCode, text: options.json ? toJson(body ?? { message: text }) : text };
}
