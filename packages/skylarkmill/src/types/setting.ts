import type { z } from "zod";

/** One setting, which is set by a flag or an environment variable. */
export interface Setting<Schema extends z.ZodType = z.ZodType> {
    /** Name in kebab case; `host-id` is the flag `--host-id` and the environment variable `SKYLARKMILL_HOST_ID`. */
    readonly name: string;
    readonly description: string;
    /** Parses the setting's text; accepts `undefined` only when the setting is optional. */
    readonly schema: Schema;
    /** Describes the accepted values, such as `HOST:PORT`. */
    readonly accepted: string;
    readonly defaultText?: string;
    /** Whether the flag takes no value. */
    readonly isSwitch?: boolean;
    /**
     * Whether the setting is a secret: its value is never printed, and only its environment variable sets it, since other
     * users of a host can read command lines.
     */
    readonly isSecret?: boolean;
}

export type SettingTable = Readonly<Record<string, Setting>>;

export type SettingValues<Table extends SettingTable> = {
    readonly [Name in keyof Table]: z.output<Table[Name]["schema"]>;
};

/** The settings of one command. */
export interface CommandSettings<Table extends SettingTable = SettingTable> {
    readonly table: Table;
    /** Secrets, each of which must come from exactly one of an environment variable and a file. */
    readonly secrets?: readonly SecretDefinition[];
}

/** A secret that is given either directly in an environment variable or as the path of a file. */
export interface SecretDefinition {
    /** Key of the setting in the table that holds the secret itself. */
    readonly valueSettingKey: string;
    /** Key of the setting in the table that holds the path of the secret's file. */
    readonly fileSettingKey: string;
    /** Throws a `RangeError` when the text is invalid; its message contains no part of the secret. */
    readonly parse: (text: string) => unknown;
}

export interface SettingIssue {
    /** Flag and environment variable of the setting, or `argument` for a surplus argument. */
    readonly setting: string;
    /** What is wrong, such as `not set`. */
    readonly problem: string;
    readonly expected: string;
    /** Set if the issue may end by itself, since another program may still be writing the secret's file. */
    readonly awaitedFile?: AwaitedSecretFile;
}

export interface AwaitedSecretFile {
    readonly path: string;
    /** See `SecretDefinition`. */
    readonly parse: (text: string) => unknown;
}

export interface ParsedArguments {
    readonly input: readonly string[];
    readonly flags: Readonly<Record<string, string | boolean | undefined>>;
}
