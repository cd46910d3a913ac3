import type { z } from "zod";

/** One setting: a flag, a variable and what both accept. */
export interface Setting<Schema extends z.ZodType = z.ZodType> {
    /** Name in kebab case; `host-id` is the flag `--host-id` and the variable `SKYLARKMILL_HOST_ID`. */
    readonly name: string;
    readonly description: string;
    /** Reads the setting's text; accepts `undefined` only when the setting may be left out. */
    readonly schema: Schema;
    /** What the setting accepts, such as `HOST:PORT`. */
    readonly accepted: string;
    readonly defaultText?: string;
    /** A switch without a value. */
    readonly isSwitch?: boolean;
    /** Set by the variable alone and never printed, since other users of a host can read command lines. */
    readonly isSecret?: boolean;
}

export type SettingTable = Readonly<Record<string, Setting>>;

export type SettingValues<Table extends SettingTable> = {
    readonly [Name in keyof Table]: z.output<Table[Name]["schema"]>;
};

/** The settings of one command. */
export interface CommandSettings<Table extends SettingTable = SettingTable> {
    readonly table: Table;
    /** Secrets that come from a variable or a file, one of which must be given. */
    readonly secrets?: readonly SecretSetting[];
}

export interface SecretSetting {
    /** Keys of the variable's and of the file's setting in the table. */
    readonly variable: string;
    readonly file: string;
    /** Throws a `RangeError`, which names no part of the secret, when the text can't be used. */
    readonly parse: (text: string) => unknown;
}

export interface SettingFault {
    /** Flag and variable, or what stands in for them. */
    readonly setting: string;
    /** What is wrong, such as `not set`. */
    readonly problem: string;
    readonly expected: string;
}

export interface ParsedArguments {
    readonly input: readonly string[];
    readonly flags: Readonly<Record<string, string | boolean | undefined>>;
}
