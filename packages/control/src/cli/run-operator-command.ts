import type { InvalidInputError } from "@skylarkmill/protocol";
import { type InputFault } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import {
    type FlagValues,
    helpOf,
    invalidFlags,
    type ParsedCommand,
    readFlags,
    splitArguments,
} from "./command-flags.ts";
import { type CommandResult, EXIT, type OperatorCommandOptions } from "./command-options.ts";
import { runConfigApply } from "./config-apply.ts";
import { runAudit, runConfigGet, runConfigStatus, runDrain, runStatus } from "./inspect-commands.ts";

/** What a command reads and writes beside the network. */
export interface CommandIo {
    readonly environment: Readonly<Record<string, string | undefined>>;
    readonly readFile: (path: string) => string;
    readonly print: (text: string) => void;
    readonly printError: (text: string) => void;
}

interface Invocation {
    readonly common: OperatorCommandOptions;
    readonly values: FlagValues;
    readonly word: string | undefined;
    readonly io: CommandIo;
}

interface Command {
    /** Words after the command, for the help text. */
    readonly words: string;
    readonly run: (invocation: Invocation) => Promise<CommandResult>;
}

const COMMANDS: Readonly<Record<string, Command>> = {
    "config get": { words: " [SECTION]", run: ({ common, word }) => runConfigGet({ ...common, section: word }) },
    "config apply": { words: " FILE --section NAME", run: applyFile },
    "config status": { words: "", run: ({ common }) => runConfigStatus(common) },
    "audit": {
        words: "",
        run: ({ common, values }) => {
            const { from, to, ...rest } = values as Record<"from" | "to" | "limit", number | undefined>;
            return runAudit({ ...rest, ...common, fromMs: from, toMs: to });
        },
    },
    "status": { words: "", run: ({ common }) => runStatus(common) },
    "drain": {
        words: " HOST",
        run: ({ common, word, values }) => runDrain({ ...common, host: word!, end: values["end"] === true }),
    },
};

const PROCESS_IO: CommandIo = {
    environment: process.env,
    readFile: path => readFileSync(path, "utf8"),
    print: text => void process.stdout.write(`${text}\n`),
    printError: text => void process.stderr.write(`${text}\n`),
};

/**
 * Runs one of the operators' commands; resolves with the exit code (see `EXIT`).
 *
 * @example
 * process.exitCode = await runOperatorCommand(["config", "get", "parts", "--router", "127.0.0.1:8081"]);
 */
export async function runOperatorCommand(argv: readonly string[], io: CommandIo = PROCESS_IO): Promise<number> {
    const name = [argv.slice(0, 2).join(" "), argv[0] ?? ""].find(words => Object.hasOwn(COMMANDS, words));
    if (name === undefined) {
        io.printError(`unknown command ${JSON.stringify(argv.slice(0, 2).join(" "))}`);
        return EXIT.invalidInput;
    }
    const command = COMMANDS[name]!;
    const rest = argv.slice(name.split(" ").length);
    if (rest.includes("--help")) {
        io.print(helpOf(name, command.words));
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

function readInvocation(name: string, parsed: ParsedCommand, io: CommandIo): Result<Invocation, InvalidInputError> {
    const values = readFlags(name, parsed, io.environment);
    const token = readToken(parsed, io);
    const faults: InputFault[] = [
        ...values.match(() => [], error => [...error.faults]),
        ...token.match(() => [], fault => [fault]),
        ...wordFaults(COMMANDS[name]!.words, parsed.words),
    ];
    if (faults.length > 0) return err(invalidFlags(faults));
    const flags = values._unsafeUnwrap();
    const { router, timeoutMs, json } = flags as { router: readonly string[]; timeoutMs: number; json: boolean; };
    const common = { routers: router, timeoutMs, json, token: token._unsafeUnwrap() };
    return ok({ common, values: flags, word: parsed.words[0], io });
}

function wordFaults(expected: string, words: readonly string[]): InputFault[] {
    const [, first] = expected.split(" ");
    const maxCount = first === undefined ? 0 : 1;
    const faults = words.slice(maxCount).map(word => ({
        path: "argument",
        message: `${JSON.stringify(word)} is one too many`,
    }));
    const isMissing = first !== undefined && !first.startsWith("[") && words.length === 0;
    return isMissing ? [{ path: first, message: "not set" }, ...faults] : faults;
}

/** The token is never a flag, since other users of a host can read command lines. */
function readToken({ texts }: ParsedCommand, { environment, readFile }: CommandIo): Result<string, InputFault> {
    const path = texts["token-file"] ?? environment["SKYLARKMILL_TOKEN_FILE"];
    const fault = (message: string) => err({ path: "--token-file or SKYLARKMILL_TOKEN", message });
    try {
        const token = (path === undefined ? environment["SKYLARKMILL_TOKEN"] ?? "" : readFile(path)).trim();
        return /^\S+$/.test(token) ? ok(token) : fault("must hold one token");
    }
    catch (error) {
        return fault(error instanceof Error ? error.message : String(error));
    }
}

async function applyFile({ common, values, word, io }: Invocation): Promise<CommandResult> {
    const { section, version, editId, dryRun } = values as {
        section: string;
        version: number | undefined;
        editId: string | undefined;
        dryRun: boolean;
    };
    let content: unknown;
    try {
        content = JSON.parse(io.readFile(word!));
    }
    catch (error) {
        const text = `${word} can't be read as JSON: ${error instanceof Error ? error.message : String(error)}`;
        return { exitCode: EXIT.invalidInput, text };
    }
    const options = { section, version, dryRun, content, editId: editId ?? randomUUID(), print: io.print };
    return runConfigApply({ ...common, ...options });
}
