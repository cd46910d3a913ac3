import { type InputFault, InvalidInputError } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";
import { parseArgs } from "node:util";
import { z } from "zod";

/** Arguments of one operators' command, as texts. */
export interface ParsedCommand {
    readonly words: readonly string[];
    readonly texts: Readonly<Record<string, string | undefined>>;
}

export interface Flag {
    readonly name: string;
    readonly description: string;
    readonly accepted: string;
    readonly schema: z.ZodType;
    readonly defaultText?: string;
    readonly isSwitch?: boolean;
}

export type FlagValues = Readonly<Record<string, unknown>>;

const MAX_TIMEOUT_MS = 600_000;
const NAME_ACCEPTED = "a-z, 0-9, '.', '_', '-', starting with a letter or digit";

const switchSchema = z.enum(["true", "false"]).transform(text => text === "true");
const wholeNumber = (min: number, max: number) =>
    z.string().regex(/^\d+$/).transform(Number).pipe(z.int().min(min).max(max));
const time = z.string().transform(text => (/^\d+$/.test(text) ? Number(text) : Date.parse(text))).pipe(z.number());

function flag(name: string, description: string, accepted: string, schema: z.ZodType, defaultText?: string): Flag {
    return { name, description, accepted, schema, ...(defaultText === undefined ? {} : { defaultText }) };
}

function toggle(name: string, description: string): Flag {
    return { ...flag(name, description, "true or false", switchSchema, "false"), isSwitch: true };
}

const routers = z.string().transform(text => text.split(",").map(part => part.trim()).filter(part => part !== ""))
    .pipe(z.array(z.string().regex(/^(\[[0-9a-fA-F:.]+\]|[A-Za-z0-9.-]+):\d{1,5}$/)).min(1));

const COMMON: readonly Flag[] = [
    flag(
        "router",
        "Routers to ask; the next is tried when one does not answer.",
        "HOST:PORT, several separated by commas",
        routers,
        "127.0.0.1:8081",
    ),
    flag(
        "token-file",
        "File with the team's token; else SKYLARKMILL_TOKEN holds it.",
        "a file's path",
        z.string().min(1).optional(),
    ),
    flag(
        "timeout-ms",
        "Time limit of one call, in milliseconds.",
        `a whole number from 1 to ${MAX_TIMEOUT_MS}`,
        wholeNumber(1, MAX_TIMEOUT_MS),
        "10000",
    ),
    toggle("json", "Print JSON for scripts."),
];

const section = flag(
    "section",
    "Section of the document.",
    NAME_ACCEPTED,
    z.string().regex(/^[a-z0-9][A-Za-z0-9._:-]*\*?$/).optional(),
);
const timeAccepted = "an ISO 8601 time or milliseconds since 1970";

/** Flags of each command beside the common ones. */
const SPECIFIC: Readonly<Record<string, readonly Flag[]>> = {
    "config get": [],
    "config apply": [
        { ...section, schema: z.string().regex(/^[a-z0-9][a-z0-9._-]*$/) },
        flag(
            "version",
            "Version that was edited; the file's, else the one in force.",
            "a whole number",
            wholeNumber(0, 9_999_999_999).optional(),
        ),
        flag(
            "edit-id",
            "Id of the edit, to repeat it; a random one by default.",
            "1 to 100 of A-Z, a-z, 0-9, '.', '_', '-'",
            z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$/).optional(),
        ),
        toggle("dry-run", "Check and show the difference only."),
    ],
    "config status": [],
    "audit": [
        { ...section, accepted: "a section, grants:MODEL or drains:HOST; a trailing * matches any rest" },
        flag("team", "Team that made the change.", NAME_ACCEPTED, z.string().min(1).optional()),
        flag("from", "Earliest time.", timeAccepted, time.optional()),
        flag("to", "Latest time.", timeAccepted, time.optional()),
        flag("limit", "Entries to print.", "a whole number from 1 to 1000", wholeNumber(1, 1_000), "100"),
    ],
    "status": [],
    "drain": [toggle("end", "End the drain instead of starting it.")],
};

/** All flags of a command. */
export function flagsOf(command: string): readonly Flag[] {
    return [...SPECIFIC[command] ?? [], ...COMMON];
}

const toVariable = (name: string) => `SKYLARKMILL_${name.toUpperCase().replaceAll("-", "_")}`;
const toCamel = (name: string) => name.replace(/-(\w)/g, (_, letter: string) => letter.toUpperCase());

/** Splits arguments into words and flags; unknown flags are kept, so that they can be reported. */
export function splitArguments(command: string, argv: readonly string[]): ParsedCommand {
    const options = Object.fromEntries(
        flagsOf(command).map(({ name, isSwitch }) => [
            name,
            isSwitch === true ? { type: "boolean" as const } : { type: "string" as const, multiple: true },
        ]),
    );
    const { positionals, values } = parseArgs({ args: [...argv], options, strict: false, allowPositionals: true });
    const texts = Object.entries(values).flatMap(([name, value]) =>
        value === undefined ? [] : [[name, [value].flat().join(",")] as const]
    );
    return { words: positionals, texts: Object.fromEntries(texts) };
}

/** Reads the flags: flag, then variable, then default. Names every fault with its value and what is accepted. */
export function readFlags(
    command: string,
    { texts }: ParsedCommand,
    environment: Readonly<Record<string, string | undefined>>,
): Result<FlagValues, InvalidInputError> {
    const flags = flagsOf(command);
    const faults: InputFault[] = Object.keys(texts).filter(name => !flags.some(known => known.name === name))
        .map(name => ({ path: `--${name}`, message: "unknown; --help lists the flags" }));
    const values: Record<string, unknown> = {};
    for (const { name, schema, accepted, defaultText } of flags) {
        const text = texts[name] ?? environment[toVariable(name)] ?? defaultText;
        const parsed = schema.safeParse(text);
        if (parsed.success) values[toCamel(name)] = parsed.data;
        else {
            const problem = text === undefined ? "not set" : `${JSON.stringify(text)} is not accepted`;
            faults.push({ path: `--${name} (${toVariable(name)})`, message: `${problem}; accepts ${accepted}` });
        }
    }
    return faults.length === 0 ? ok(values) : err(invalidFlags(faults));
}

export function invalidFlags(faults: readonly InputFault[]): InvalidInputError {
    const lines = faults.map(fault => `${fault.path}: ${fault.message}`).join("\n");
    return new InvalidInputError(lines, faults, { step: "command.flags", peer: "local" });
}

/** Help text of one command. */
export function helpOf(command: string, words: string): string {
    const lines = flagsOf(command).flatMap(({ name, description, accepted, defaultText }) => {
        const fallback = defaultText === undefined ? "" : ` Default: ${defaultText}.`;
        return [`  --${name}, ${toVariable(name)}`, `      ${description} Accepts ${accepted}.${fallback}`];
    });
    return [`Usage: skylarkmill ${command}${words} [flags]`, "", ...lines, ""].join("\n");
}
