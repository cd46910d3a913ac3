import type { InvalidInputError } from "@skylarkmill/protocol";
import { type InputFault } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import {
    createInvalidFlagsError,
    type FlagValues,
    formatHelp,
    readFlags,
    type SplitArguments,
    splitArguments,
} from "./command-flags.ts";
import { type CommandResult, EXIT, type OperatorCommandOptions } from "./command-options.ts";
import { runConfigApply } from "./config-apply.ts";
import { runAudit, runConfigGet, runConfigStatus, runDrain, runStatus } from "./inspect-commands.ts";

/** Inputs and outputs of a command other than its calls to routers. */
export interface CommandIo {
    readonly environment: Readonly<Record<string, string | undefined>>;
    readonly readFile: (path: string) => string;
    readonly print: (text: string) => void;
    readonly printError: (text: string) => void;
}

/** A command's parsed flags and positional argument. */
interface Invocation {
    readonly common: OperatorCommandOptions;
    readonly values: FlagValues;
    readonly positional: string | undefined;
    readonly io: CommandIo;
}

interface Command {
    /** Usage text of the positional argument and the required flags, with a leading space; empty if there are none. */
    readonly argumentUsage: string;
    readonly run: (invocation: Invocation) => Promise<CommandResult>;
}

const COMMANDS: Readonly<Record<string, Command>> = {
    "config get": {
        argumentUsage: " [SECTION]",
        run: ({ common, positional }) => runConfigGet({ ...common, section: positional }),
    },
    "config apply": { argumentUsage: " FILE --section NAME", run: runConfigApplyFile },
    "config status": { argumentUsage: "", run: ({ common }) => runConfigStatus(common) },
    "audit": {
        argumentUsage: "",
        run: ({ common, values }) => {
            const { from, to, ...rest } = values as Record<"from" | "to" | "limit", number | undefined>;
            return runAudit({ ...rest, ...common, fromMs: from, toMs: to });
        },
    },
    "status": { argumentUsage: "", run: ({ common }) => runStatus(common) },
    "drain": {
        argumentUsage: " HOST",
        run: ({ common, positional, values }) =>
            runDrain({ ...common, host: positional!, end: values["end"] === true }),
    },
};

const PROCESS_IO: CommandIo = {
    environment: process.env,
    readFile: path => readFileSync(path, "utf8"),
    print: text => void process.stdout.write(`${text}\n`),
    printError: text => void process.stderr.write(`${text}\n`),
};

/**
 * Runs one of the operators' commands and returns its exit code (see `EXIT`).
 *
 * @example
 * process.exitCode = await runOperatorCommand(["config", "get", "parts", "--router", "127.0.0.1:8081"]);
 */
export async function runOperatorCommand(argv: readonly string[], io: CommandIo = PROCESS_IO): Promise<number> {
    const name = [argv.slice(0, 2).join(" "), argv[0] ?? ""].find(candidate => Object.hasOwn(COMMANDS, candidate));
    if (name === undefined) {
        io.printError(`unknown command ${JSON.stringify(argv.slice(0, 2).join(" "))}`);
        return EXIT.invalidInput;
    }
    const command = COMMANDS[name]!;
    const rest = argv.slice(name.split(" ").length);
    if (rest.includes("--help")) {
        io.print(formatHelp(name, command.argumentUsage));
        return EXIT.done;
    }
    const invocation = readInvocation(name, splitArguments(name, rest), io);
    if (invocation.isErr()) {
        io.printError(invocation.error.message);
        return EXIT.invalidInput;
    }
    const { exitCode, text } = await command.run(invocation.value);
    if (exitCode === EXIT.done || invocation.value.common.json) io.print(text);
    else io.printError(text);
    return exitCode;
}

function readInvocation(name: string, parsed: SplitArguments, io: CommandIo): Result<Invocation, InvalidInputError> {
    const values = readFlags(name, parsed, io.environment);
    const token = readToken(parsed, io);
    const faults: InputFault[] = [
        ...values.match(() => [], error => [...error.faults]),
        ...token.match(() => [], fault => [fault]),
        ...findPositionalFaults(COMMANDS[name]!.argumentUsage, parsed.positionals),
    ];
    if (faults.length > 0) return err(createInvalidFlagsError(faults));
    const flags = values._unsafeUnwrap();
    const { router, timeoutMs, json } = flags as { router: readonly string[]; timeoutMs: number; json: boolean; };
    const common = { routers: router, timeoutMs, json, token: token._unsafeUnwrap() };
    return ok({ common, values: flags, positional: parsed.positionals[0], io });
}

function findPositionalFaults(usage: string, positionals: readonly string[]): InputFault[] {
    const [, first] = usage.split(" ");
    const maxCount = first === undefined ? 0 : 1;
    const faults = positionals.slice(maxCount).map(argument => ({
        path: "argument",
        message: `unexpected argument ${JSON.stringify(argument)}`,
    }));
    const isMissing = first !== undefined && !first.startsWith("[") && positionals.length === 0;
    return isMissing ? [{ path: first, message: "not set" }, ...faults] : faults;
}

/**
 * Reads the token from a file or the environment. No flag takes the token itself, since other users of the host can
 * read the command line.
 */
function readToken({ flagTexts }: SplitArguments, { environment, readFile }: CommandIo): Result<string, InputFault> {
    const path = flagTexts["token-file"] ?? environment["SKYLARKMILL_TOKEN_FILE"];
    const fault = (message: string) => err({ path: "--token-file or SKYLARKMILL_TOKEN", message });
    try {
        const token = (path === undefined ? environment["SKYLARKMILL_TOKEN"] ?? "" : readFile(path)).trim();
        return /^\S+$/.test(token) ? ok(token) : fault("must contain exactly one token without white space");
    }
    catch (error) {
        return fault(error instanceof Error ? error.message : String(error));
    }
}

async function runConfigApplyFile({ common, values, positional, io }: Invocation): Promise<CommandResult> {
    const { section, version, editId, dryRun } = values as {
        section: string;
        version: number | undefined;
        editId: string | undefined;
        dryRun: boolean;
    };
    let content: unknown;
    try {
        content = JSON.parse(io.readFile(positional!));
    }
    catch (error) {
        const text = `Failed to read ${positional} as JSON: ${error instanceof Error ? error.message : String(error)}`;
        return { exitCode: EXIT.invalidInput, text };
    }
    const options = { section, version, dryRun, content, editId: editId ?? randomUUID(), print: io.print };
    return runConfigApply({ ...common, ...options });
}
