import { COMMAND_SETTINGS } from "../settings/commands.ts";
import type { CommandSettings, ParsedArguments } from "../types/setting.ts";

export interface CommandInput {
    readonly args: ParsedArguments;
    /** Unparsed arguments after the command's words. */
    readonly argv: readonly string[];
}

export interface Command {
    /** Words that select the command, such as `config get`. */
    readonly words: string;
    readonly summary: string;
    /** Omitted for commands that parse their arguments themselves. */
    readonly settings?: CommandSettings;
    /** Runs the command and resolves with its exit code; imports its modules only when called, to save memory. */
    run(input: CommandInput): Promise<number>;
}

function settingsCommand(words: string, summary: string, run: Command["run"]): Command {
    return { words, summary, settings: COMMAND_SETTINGS[words]!, run };
}

function operatorCommand(words: string, summary: string): Command {
    const run: Command["run"] = async ({ argv }) => {
        const { runOperator } = await import("../commands/operator.ts");
        return runOperator([...words.split(" "), ...argv]);
    };
    return { words, summary, run };
}

const importStandIns = () => import("../commands/stand-ins.ts");

/** All commands. Of commands that share their first word, those with more words come first, as the first match wins. */
export const COMMANDS: readonly Command[] = [
    settingsCommand(
        "router",
        "Runs a router.",
        async input => (await import("../commands/router.ts")).runRouter(input.args),
    ),
    settingsCommand(
        "gateway",
        "Runs a gateway on the platform.",
        async input => (await import("../commands/gateway.ts")).runGateway(input.args),
    ),
    settingsCommand(
        "agent",
        "Runs an agent.",
        async input => (await import("../commands/agent.ts")).runAgent(input.args),
    ),
    settingsCommand(
        "dev",
        "Runs all roles in one process on embedded stand-ins.",
        async input => (await import("../commands/dev.ts")).runDev(input.args),
    ),
    settingsCommand(
        "stand-in kv",
        "Runs a stand-in for the key-value service.",
        async i => (await importStandIns()).runKeyValueStandIn(i.args),
    ),
    settingsCommand(
        "stand-in hosts",
        "Runs a stand-in for the host list.",
        async i => (await importStandIns()).runHostListStandIn(i.args),
    ),
    settingsCommand(
        "stand-in engine",
        "Runs a stand-in for a model engine.",
        async i => (await importStandIns()).runEngineStandIn(i.args),
    ),
    settingsCommand(
        "stand-in service",
        "Runs a stand-in for a plain service.",
        async i => (await importStandIns()).runServiceStandIn(i.args),
    ),
    settingsCommand(
        "stand-in proxy",
        "Runs a TCP proxy that injects faults.",
        async i => (await importStandIns()).runFaultProxy(i.args),
    ),
    settingsCommand(
        "stand-in load",
        "Sends requests to routers and prints their outcomes.",
        async i => (await importStandIns()).runLoadTool(i.args),
    ),
    operatorCommand("config get", "Prints the configuration in force."),
    operatorCommand("config apply", "Edits one section of the configuration."),
    operatorCommand("config status", "Prints which versions are in force in which process."),
    operatorCommand("audit", "Prints the changes of the configuration."),
    operatorCommand("status", "Prints the state of the system."),
    operatorCommand("drain", "Starts or ends the drain of a host."),
    {
        words: "explain",
        summary: "Prints the history of one request from the logs of all processes.",
        run: async ({ argv }) => (await import("../commands/explain.ts")).explainRequest(argv),
    },
    {
        words: "settings",
        summary: "Prints the settings of all commands; --markdown as a page.",
        run: async ({ argv }) => (await import("../commands/settings.ts")).printSettings(argv),
    },
];

export function findCommand(argv: readonly string[]): Command | undefined {
    return COMMANDS.find(command => command.words.split(" ").every((word, index) => argv[index] === word));
}
