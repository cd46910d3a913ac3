import meow from "meow";
import packageJson from "../../package.json" with { type: "json" };
import type { ParsedArguments, SettingTable } from "../types/setting.ts";
import { toEnvironmentVariableName, toFlagName } from "../utils/setting-names.ts";
import { type Command, COMMANDS, findCommand } from "./command-registry.ts";

const USAGE_ERROR_EXIT_CODE = 2;

function formatOverview(): string {
    const width = Math.max(...COMMANDS.map(command => command.name.length));
    const lines = COMMANDS.map(command => `  ${command.name.padEnd(width)}  ${command.summary}`);
    return ["Usage: skylarkmill <command> [flags]", "", ...lines, "", "skylarkmill <command> --help lists its flags."]
        .join("\n");
}

function formatCommandHelp(command: Command): string {
    const settings = Object.values(command.settings?.table ?? {});
    const lines = settings.flatMap(setting => {
        const name = setting.isSecret === true
            ? toEnvironmentVariableName(setting)
            : `${toFlagName(setting)}, ${toEnvironmentVariableName(setting)}`;
        const fallback = setting.defaultText === undefined ? "" : ` Default: ${setting.defaultText || "empty"}.`;
        return [`  ${name}`, `      ${setting.description} Accepts ${setting.accepted}.${fallback}`];
    });
    return [`Usage: skylarkmill ${command.name} [flags]`, "", command.summary, "", ...lines].join("\n");
}

/** Parses the arguments after the command's name into flags in kebab case; the last value of a repeated flag wins. */
function parseFlags(argv: readonly string[], table: SettingTable, help: string): ParsedArguments {
    const flagDefinitions = Object.values(table).map(setting =>
        [
            setting.name.replace(/-(\w)/g, (_, letter: string) => letter.toUpperCase()),
            { type: setting.isSwitch === true ? "boolean" : "string" },
        ] as const
    );
    const cli = meow(help, {
        importMeta: { url: import.meta.url } as ImportMeta,
        pkg: { name: "skylarkmill", version: packageJson.version },
        argv: [...argv],
        description: false,
        flags: Object.fromEntries(flagDefinitions),
        booleanDefault: undefined,
        // Unknown flags are reported later, together with all other invalid settings.
        allowUnknownFlags: true,
    });
    const flags = Object.entries(cli.flags as Record<string, unknown>).flatMap(([key, value]) => {
        if (value === undefined) return [];
        const last: unknown = Array.isArray(value) ? value.at(-1) : value;
        return [[key.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`), last as string | boolean]];
    });
    return { input: cli.input, flags: Object.fromEntries(flags) as ParsedArguments["flags"] };
}

/**
 * Parses a command line and runs its command; resolves with the exit code.
 *
 * @example
 * process.exitCode = await runCommandLine(["router", "--host-id", "h1"]);
 */
export async function runCommandLine(argv: readonly string[]): Promise<number> {
    const command = findCommand(argv);
    if (command === undefined) {
        if (argv[0] === "--version") {
            process.stdout.write(`${packageJson.version}\n`);
            return 0;
        }
        const isHelpRequested = argv.length === 0 || argv[0] === "--help" || argv[0] === "help";
        if (!isHelpRequested) {
            process.stderr.write(`skylarkmill: unknown command ${JSON.stringify(argv.slice(0, 2).join(" "))}\n\n`);
        }
        (isHelpRequested ? process.stdout : process.stderr).write(`${formatOverview()}\n`);
        return isHelpRequested ? 0 : USAGE_ERROR_EXIT_CODE;
    }
    const rest = argv.slice(command.name.split(" ").length);
    const args = command.settings === undefined
        ? { input: [], flags: {} }
        : parseFlags(rest, command.settings.table, formatCommandHelp(command));
    return command.run({ args, argv: rest });
}
