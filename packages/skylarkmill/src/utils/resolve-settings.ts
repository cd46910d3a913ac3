import { err, ok, type Result } from "neverthrow";
import { readFileSync } from "node:fs";
import { z } from "zod";
import type {
    CommandSettings,
    ParsedArguments,
    SecretSetting,
    Setting,
    SettingFault,
    SettingTable,
    SettingValues,
} from "../types/setting.ts";
import { toLabel, toVariable } from "./setting-names.ts";

export type Environment = Readonly<Record<string, string | undefined>>;

type Texts = Readonly<Record<string, string | undefined>>;

function readText(setting: Setting, args: ParsedArguments, environment: Environment): string | undefined {
    const flag = setting.isSecret === true ? undefined : args.flags[setting.name];
    if (flag !== undefined) return String(flag);
    const variable = environment[toVariable(setting)];
    return variable ?? setting.defaultText;
}

function toSettingFault(setting: Setting, text: string | undefined): SettingFault {
    const value = setting.isSecret === true ? "[redacted]" : JSON.stringify(text);
    const problem = text === undefined ? "not set" : `${value} is not accepted`;
    return { setting: toLabel(setting), problem, expected: setting.accepted };
}

function findUnknownArguments(args: ParsedArguments, table: SettingTable): SettingFault[] {
    const byName = new Map(Object.values(table).map(setting => [setting.name, setting]));
    const flags = Object.keys(args.flags).flatMap(name => {
        const setting = byName.get(name);
        // The value is omitted, since it may be a secret.
        if (setting === undefined) {
            return [{ setting: `--${name}`, problem: "unknown", expected: "a flag that --help lists" }];
        }
        if (setting.isSecret !== true) return [];
        const expected = `the variable ${toVariable(setting)}, since other users of a host can read command lines`;
        return [{ setting: `--${name}`, problem: "not a flag", expected }];
    });
    const words = args.input.map(word => ({
        setting: "argument",
        problem: `${JSON.stringify(word)} is not accepted`,
        expected: "no further argument",
    }));
    return [...flags, ...words];
}

function findSecretFault(secret: SecretSetting, table: SettingTable, texts: Texts): SettingFault | undefined {
    const variable = table[secret.variable]!;
    const file = table[secret.file]!;
    const text = texts[secret.variable];
    const path = texts[secret.file];
    if ((text === undefined) === (path === undefined)) {
        const problem = text === undefined ? "neither is set" : "both are set";
        return { setting: `${toLabel(variable)} or ${toLabel(file)}`, problem, expected: "exactly one of them" };
    }
    try {
        secret.parse(text ?? readFileSync(path!, "utf8"));
        return undefined;
    }
    catch (cause) {
        const reason = cause instanceof Error ? cause.message : String(cause);
        const setting = text === undefined ? file : variable;
        const shown = text === undefined ? JSON.stringify(path) : "[redacted]";
        return { setting: toLabel(setting), problem: `${shown} can't be used: ${reason}`, expected: variable.accepted };
    }
}

/**
 * Reads the settings of a command. A flag takes precedence over its variable, and a variable over the default. Returns
 * either all values or all faults.
 *
 * @example
 * const values = resolveSettings(routerSettings, { input: [], flags: { "host-id": "h1" } }, process.env);
 */
export function resolveSettings<Table extends SettingTable>(
    settings: CommandSettings<Table>,
    args: ParsedArguments,
    environment: Environment,
): Result<SettingValues<Table>, readonly SettingFault[]> {
    const entries = Object.entries(settings.table);
    const texts = Object.fromEntries(entries.map(([key, setting]) => [key, readText(setting, args, environment)]));
    const schema = z.object(Object.fromEntries(entries.map(([key, setting]) => [key, setting.schema])));
    const parsed = schema.safeParse(texts);
    const faultyKeys = new Set((parsed.error?.issues ?? []).map(issue => String(issue.path[0])));
    const faults = [
        ...findUnknownArguments(args, settings.table),
        ...[...faultyKeys].map(key => toSettingFault(settings.table[key]!, texts[key])),
        ...(settings.secrets ?? []).flatMap(secret => findSecretFault(secret, settings.table, texts) ?? []),
    ];
    if (!parsed.success || faults.length > 0) return err(faults);
    return ok(parsed.data as SettingValues<Table>);
}

/** Formats faults for the terminal, one per line. */
export function formatFaults(command: string, faults: readonly SettingFault[]): string {
    const lines = faults.map(({ setting, problem, expected }) => `  ${setting}: ${problem}; expected ${expected}`);
    const count = `${faults.length} invalid setting${faults.length === 1 ? "" : "s"}`;
    return [`skylarkmill ${command}: ${count}`, ...lines].join("\n");
}
