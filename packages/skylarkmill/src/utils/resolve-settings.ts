import { LocalFileSource, readFileText } from "@skylarkmill/coordination";
import { UnavailableError } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import type {
    CommandSettings,
    ParsedArguments,
    SecretDefinition,
    Setting,
    SettingIssue,
    SettingTable,
    SettingValues,
} from "../types/setting.ts";
import { decodeSecretFile } from "./secrets.ts";
import { toDisplayName, toEnvironmentVariableName } from "./setting-names.ts";

export type Environment = Readonly<Record<string, string | undefined>>;

/** Unparsed values by the setting's key in the table. */
type SettingTexts = Readonly<Record<string, string | undefined>>;

function readSettingText(setting: Setting, args: ParsedArguments, environment: Environment): string | undefined {
    const flagValue = setting.isSecret === true ? undefined : args.flags[setting.name];
    if (flagValue !== undefined) return String(flagValue);
    const variableValue = environment[toEnvironmentVariableName(setting)];
    return variableValue ?? setting.defaultText;
}

function toSettingIssue(setting: Setting, text: string | undefined): SettingIssue {
    const value = setting.isSecret === true ? "[redacted]" : JSON.stringify(text);
    const problem = text === undefined ? "not set" : `${value} is not accepted`;
    return { setting: toDisplayName(setting), problem, expected: setting.accepted };
}

function findUnknownArguments(args: ParsedArguments, table: SettingTable): SettingIssue[] {
    const byName = new Map(Object.values(table).map(setting => [setting.name, setting]));
    const flagIssues = Object.keys(args.flags).flatMap(name => {
        const setting = byName.get(name);
        // The value is omitted, since it may be a secret.
        if (setting === undefined) {
            return [{ setting: `--${name}`, problem: "unknown", expected: "a flag that --help lists" }];
        }
        if (setting.isSecret !== true) return [];
        const expected = `the variable ${
            toEnvironmentVariableName(setting)
        }, since other users of a host can read command lines`;
        return [{ setting: `--${name}`, problem: "not a flag", expected }];
    });
    const positionalIssues = args.input.map(word => ({
        setting: "argument",
        problem: `${JSON.stringify(word)} is not accepted`,
        expected: "no further argument",
    }));
    return [...flagIssues, ...positionalIssues];
}

/** Reads the text of a secret from its variable or its file. */
function readSecret(
    secret: SecretDefinition,
    table: SettingTable,
    settingTexts: SettingTexts,
): Result<string, SettingIssue> {
    const valueSetting = table[secret.valueSettingKey]!;
    const fileSetting = table[secret.fileSettingKey]!;
    const text = settingTexts[secret.valueSettingKey];
    const path = settingTexts[secret.fileSettingKey];
    if ((text === undefined) === (path === undefined)) {
        const problem = text === undefined ? "neither is set" : "both are set";
        return err({
            setting: `${toDisplayName(valueSetting)} or ${toDisplayName(fileSetting)}`,
            problem,
            expected: "exactly one of them",
        });
    }
    const expected = valueSetting.accepted;
    if (path === undefined) {
        return decodeSecretFile(text!, secret.parse).map(() => text!).mapErr(({ message }) => ({
            setting: toDisplayName(valueSetting),
            problem: `[redacted] can't be used: ${message}`,
            expected,
        }));
    }
    const source = new LocalFileSource(path);
    return readFileText(source)
        .andThen(fileText => decodeSecretFile(fileText, secret.parse).map(() => fileText))
        .mapErr(error => {
            const issue = {
                setting: toDisplayName(fileSetting),
                problem: `${JSON.stringify(path)} can't be used: ${error.message}`,
                expected,
            };
            const mayEnd = error instanceof UnavailableError && !source.isReadOnce();
            return mayEnd ? { ...issue, awaitedFile: { path, parse: secret.parse } } : issue;
        });
}

/**
 * Reads the settings of a command. A flag takes precedence over its environment variable, and that over the default.
 * Returns either all values or all issues. The value of a secret is its text also if it comes from a file.
 *
 * @example
 * const values = resolveSettings(routerSettings, { input: [], flags: { "host-id": "h1" } }, process.env);
 */
export function resolveSettings<Table extends SettingTable>(
    settings: CommandSettings<Table>,
    args: ParsedArguments,
    environment: Environment,
): Result<SettingValues<Table>, readonly SettingIssue[]> {
    const entries = Object.entries(settings.table);
    const settingTexts = Object.fromEntries(
        entries.map(([key, setting]) => [key, readSettingText(setting, args, environment)]),
    );
    const schema = z.object(Object.fromEntries(entries.map(([key, setting]) => [key, setting.schema])));
    const parsed = schema.safeParse(settingTexts);
    const invalidKeys = new Set((parsed.error?.issues ?? []).map(issue => String(issue.path[0])));
    const secrets = (settings.secrets ?? []).map(secret => ({
        key: secret.valueSettingKey,
        text: readSecret(secret, settings.table, settingTexts),
    }));
    const issues = [
        ...findUnknownArguments(args, settings.table),
        ...[...invalidKeys].map(key => toSettingIssue(settings.table[key]!, settingTexts[key])),
        ...secrets.flatMap(({ text }) => text.isErr() ? [text.error] : []),
    ];
    if (!parsed.success || issues.length > 0) return err(issues);
    const secretTexts = Object.fromEntries(secrets.map(({ key, text }) => [key, text.unwrapOr(undefined)]));
    return ok({ ...parsed.data, ...secretTexts } as SettingValues<Table>);
}

/** Formats issues for the terminal, one per line. */
export function formatSettingIssues(commandName: string, issues: readonly SettingIssue[]): string {
    const lines = issues.map(({ setting, problem, expected }) => `  ${setting}: ${problem}; expected ${expected}`);
    const count = `${issues.length} invalid setting${issues.length === 1 ? "" : "s"}`;
    return [`skylarkmill ${commandName}: ${count}`, ...lines].join("\n");
}
