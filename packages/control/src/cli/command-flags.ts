import { type InputFault, InvalidInputError } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";
import { parseArgs } from "node:util";
import { z } from "zod";

/** Arguments of an operators' command, split into positionals and flags but not yet validated. */
export interface SplitArguments {
    readonly positionals: readonly string[];
    readonly flagTexts: Readonly<Record<string, string | undefined>>;
}

/** Definition of a command-line flag. */
export interface Flag {
    /** Name without the leading dashes. */
    readonly name: string;
    readonly description: string;
    /** Description of the accepted values. */
    readonly accepted: string;
    readonly schema: z.ZodType;
    readonly defaultText?: string;
    /** Whether the flag takes no value. */
    readonly isSwitch?: boolean;
}

/** Validated values by flag name in camel case. */
export type FlagValues = Readonly<Record<string, unknown>>;

const MAX_TIMEOUT_MS = 600_000;
const NAME_ACCEPTED = "a-z, 0-9, '.', '_', '-', starting with a letter or digit";

const switchSchema = z.enum(["true", "false"]).transform(text => text === "true");
const wholeNumberSchema = (min: number, max: number) =>
    z.string().regex(/^\d+$/).transform(Number).pipe(z.int().min(min).max(max));
const timeSchema = z.string().transform(text => (/^\d+$/.test(text) ? Number(text) : Date.parse(text))).pipe(
    z.number(),
);

function createFlag(
    name: string,
    description: string,
    accepted: string,
    schema: z.ZodType,
    defaultText?: string,
): Flag {
    return { name, description, accepted, schema, ...(defaultText === undefined ? {} : { defaultText }) };
}

function createSwitch(name: string, description: string): Flag {
    return { ...createFlag(name, description, "true or false", switchSchema, "false"), isSwitch: true };
}

const routersSchema = z.string().transform(text => text.split(",").map(part => part.trim()).filter(part => part !== ""))
    .pipe(z.array(z.string().regex(/^(\[[0-9a-fA-F:.]+\]|[A-Za-z0-9.-]+):\d{1,5}$/)).min(1));

const COMMON_FLAGS: readonly Flag[] = [
    createFlag(
        "router",
        "Routers to ask; the next is tried when one does not answer.",
        "HOST:PORT, several separated by commas",
        routersSchema,
        "127.0.0.1:8081",
    ),
    createFlag(
        "token-file",
        "File with the team's token; else SKYLARKMILL_TOKEN holds it.",
        "a file's path",
        z.string().min(1).optional(),
    ),
    createFlag(
        "timeout-ms",
        "Time limit of one call, in milliseconds.",
        `a whole number from 1 to ${MAX_TIMEOUT_MS}`,
        wholeNumberSchema(1, MAX_TIMEOUT_MS),
        "10000",
    ),
    createSwitch("json", "Print JSON for scripts."),
];

const sectionFlag = createFlag(
    "section",
    "Section of the document.",
    NAME_ACCEPTED,
    z.string().regex(/^[a-z0-9][A-Za-z0-9._:-]*\*?$/).optional(),
);
const TIME_ACCEPTED = "an ISO 8601 time or milliseconds since 1970";

/** Flags of each command in addition to the common ones. */
const COMMAND_FLAGS: Readonly<Record<string, readonly Flag[]>> = {
    "config get": [],
    "config apply": [
        { ...sectionFlag, schema: z.string().regex(/^[a-z0-9][a-z0-9._-]*$/) },
        createFlag(
            "version",
            "Version that was edited; the file's, else the one in force.",
            "a whole number",
            wholeNumberSchema(0, 9_999_999_999).optional(),
        ),
        createFlag(
            "edit-id",
            "Id of the edit, to repeat it; a random one by default.",
            "1 to 100 of A-Z, a-z, 0-9, '.', '_', '-'",
            z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$/).optional(),
        ),
        createSwitch("dry-run", "Check and show the difference only."),
    ],
    "config status": [],
    "audit": [
        { ...sectionFlag, accepted: "a section, grants:MODEL or drains:HOST; a trailing * matches any rest" },
        createFlag("team", "Team that made the change.", NAME_ACCEPTED, z.string().min(1).optional()),
        createFlag("from", "Earliest time.", TIME_ACCEPTED, timeSchema.optional()),
        createFlag("to", "Latest time.", TIME_ACCEPTED, timeSchema.optional()),
        createFlag(
            "limit",
            "Entries to print.",
            "a whole number from 1 to 1000",
            wholeNumberSchema(1, 1_000),
            "100",
        ),
    ],
    "status": [],
    "drain": [createSwitch("end", "End the drain instead of starting it.")],
};

/** Returns all flags of a command. */
export function listFlags(command: string): readonly Flag[] {
    return [...COMMAND_FLAGS[command] ?? [], ...COMMON_FLAGS];
}

const toVariableName = (name: string) => `SKYLARKMILL_${name.toUpperCase().replaceAll("-", "_")}`;
const toCamelCase = (name: string) => name.replace(/-(\w)/g, (_, letter: string) => letter.toUpperCase());

/** Splits arguments into positionals and flags. Unknown flags are kept, so that `readFlags` can report them. */
export function splitArguments(command: string, argv: readonly string[]): SplitArguments {
    const options = Object.fromEntries(
        listFlags(command).map(({ name, isSwitch }) => [
            name,
            isSwitch === true ? { type: "boolean" as const } : { type: "string" as const, multiple: true },
        ]),
    );
    const { positionals, values } = parseArgs({ args: [...argv], options, strict: false, allowPositionals: true });
    const texts = Object.entries(values).flatMap(([name, value]) =>
        value === undefined ? [] : [[name, [value].flat().join(",")] as const]
    );
    return { positionals: positionals, flagTexts: Object.fromEntries(texts) };
}

/** Validates the flags; a missing one falls back to its environment variable, then to its default. */
export function readFlags(
    command: string,
    { flagTexts }: SplitArguments,
    environment: Readonly<Record<string, string | undefined>>,
): Result<FlagValues, InvalidInputError> {
    const flags = listFlags(command);
    const faults: InputFault[] = Object.keys(flagTexts).filter(name => !flags.some(known => known.name === name))
        .map(name => ({ path: `--${name}`, message: "unknown flag; see --help" }));
    const values: Record<string, unknown> = {};
    for (const { name, schema, accepted, defaultText } of flags) {
        const text = flagTexts[name] ?? environment[toVariableName(name)] ?? defaultText;
        const parsed = schema.safeParse(text);
        if (parsed.success) values[toCamelCase(name)] = parsed.data;
        else {
            const problem = text === undefined ? "not set" : `${JSON.stringify(text)} is not accepted`;
            faults.push({ path: `--${name} (${toVariableName(name)})`, message: `${problem}; accepts ${accepted}` });
        }
    }
    return faults.length === 0 ? ok(values) : err(createInvalidFlagsError(faults));
}

/** Builds the error for invalid arguments; its message lists every fault. */
export function createInvalidFlagsError(faults: readonly InputFault[]): InvalidInputError {
    const lines = faults.map(fault => `${fault.path}: ${fault.message}`).join("\n");
    return new InvalidInputError(lines, faults, { step: "command.flags", peer: "local" });
}

/** Returns the help text of a command. */
export function formatHelp(command: string, argumentUsage: string): string {
    const lines = listFlags(command).flatMap(({ name, description, accepted, defaultText }) => {
        const fallback = defaultText === undefined ? "" : ` Default: ${defaultText}.`;
        return [`  --${name}, ${toVariableName(name)}`, `      ${description} Accepts ${accepted}.${fallback}`];
    });
    return [`Usage: skylarkmill ${command}${argumentUsage} [flags]`, "", ...lines, ""].join("\n");
}
