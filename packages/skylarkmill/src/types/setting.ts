import type { z } from "zod";

/** One setting, which is set by a flag or an environment variable. */
export interface Setting<Schema extends z.ZodType = z.ZodType> {
    /** Name in kebab case; `host-id` is the flag `--host-id` and the variable `SKYLARKMILL_HOST_ID`. */
    readonly name: string;
    readonly description: string;
    /** Parses the setting's text; accepts `undefined` only when the setting is optional. */
    readonly schema: Schema;
    /** Describes the accepted values, such as `HOST:PORT`. */
    readonly accepted: string;
    readonly defaultText?: string;
    /** Whether the flag takes no value. */
    readonly isSwitch?: boolean;
    /** Whether only the variable sets it, since other users of a host can read command lines; its value is never printed. */
    readonly isSecret?: boolean;
}

export type SettingTable = Readonly<Record<string, Setting>>;

export type SettingValues<Table extends SettingTable> = {
    readonly [Name in keyof Table]: z.output<Table[Name]["schema"]>;
};

/** The settings of one command. */
export interface CommandSettings<Table extends SettingTable = SettingTable> {
    readonly table: Table;
    /** Secrets, each of which must come from exactly one of a variable and a file. */
    readonly secrets?: readonly SecretSetting[];
}

export interface SecretSetting {
    /** Key of the setting in the table that holds the secret itself. */
    readonly variable: string;
    /** Key of the setting in the table that holds the path of the secret's file. */
    readonly file: string;
    /** Throws a `RangeError` when the text is invalid; its message contains no part of the secret. */
    readonly parse: (text: string) => unknown;
}

export interface SettingFault {
    /** Flag and variable of the setting, or `argument` for a surplus argument. */
    readonly setting: string;
    /** Describes the fault, such as `not set`. */
    readonly problem: string;
    readonly expected: string;
}

export interface ParsedArguments {
    readonly input: readonly string[];
    readonly flags: Readonly<Record<string, string | boolean | undefined>>;
}
