import { COMMAND_SETTINGS } from "../settings/commands.ts";
import type { CommandSettings, ParsedArguments } from "../types/setting.ts";

export interface CommandInput {
    readonly args: ParsedArguments;
    /** Unparsed arguments after the command's name. */
    readonly argv: readonly string[];
}

export interface Command {
    /** One or more words that select the command, such as `config get`. */
    readonly name: string;
    readonly summary: string;
    /** Omitted for commands that parse their arguments themselves. */
    readonly settings?: CommandSettings;
    /** Runs the command and resolves with its exit code; imports its modules only when called, to save memory. */
    run(input: CommandInput): Promise<number>;
}

function defineCommandWithSettings(commandName: string, summary: string, run: Command["run"]): Command {
    return { name: commandName, summary, settings: COMMAND_SETTINGS[commandName]!, run };
}

function defineOperatorCommand(commandName: string, summary: string): Command {
    const run: Command["run"] = async ({ argv }) => {
        const { runOperatorCommandLine } = await import("../commands/operator.ts");
        return runOperatorCommandLine([...commandName.split(" "), ...argv]);
    };
    return { name: commandName, summary, run };
}

const importStandIns = () => import("../commands/stand-ins.ts");

/** All commands. Of commands that share their first word, those with more words come first, as the first match wins. */
export const COMMANDS: readonly Command[] = [
    defineCommandWithSettings(
        "router",
        "Runs a router.",
        async input => (await import("../commands/router.ts")).runRouter(input.args),
    ),
    defineCommandWithSettings(
        "gateway",
        "Runs a gateway on the platform.",
        async input => (await import("../commands/gateway.ts")).runGateway(input.args),
    ),
    defineCommandWithSettings(
        "agent",
        "Runs an agent.",
        async input => (await import("../commands/agent.ts")).runAgent(input.args),
    ),
    defineCommandWithSettings(
        "dev",
        "Runs all roles in one process on embedded stand-ins.",
        async input => (await import("../commands/dev.ts")).runDev(input.args),
    ),
    defineCommandWithSettings(
        "stand-in kv",
        "Runs a stand-in for the key-value service.",
        async i => (await importStandIns()).runKeyValueStandIn(i.args),
    ),
    defineCommandWithSettings(
        "stand-in hosts",
        "Runs a stand-in for the host list.",
        async i => (await importStandIns()).runHostListStandIn(i.args),
    ),
    defineCommandWithSettings(
        "stand-in engine",
        "Runs a stand-in for a model engine.",
        async i => (await importStandIns()).runEngineStandIn(i.args),
    ),
    defineCommandWithSettings(
        "stand-in service",
        "Runs a stand-in for a plain service.",
        async i => (await importStandIns()).runServiceStandIn(i.args),
    ),
    defineCommandWithSettings(
        "stand-in proxy",
        "Runs a TCP proxy that injects faults.",
        async i => (await importStandIns()).runFaultProxy(i.args),
    ),
    defineCommandWithSettings(
        "stand-in load",
        "Sends requests to routers and prints their outcomes.",
        async i => (await importStandIns()).runLoadTestCommand(i.args),
    ),
    defineOperatorCommand("config get", "Prints the configuration in force."),
    defineOperatorCommand("config apply", "Edits one section of the configuration."),
    defineOperatorCommand("config status", "Prints which versions are in force in which process."),
    {
        name: "config check",
        summary: "Checks a gateway's configuration document before it is sent.",
        run: async ({ argv }) => (await import("../commands/config-check.ts")).checkConfigurationFile(argv),
    },
    defineOperatorCommand("audit", "Prints the changes of the configuration."),
    defineOperatorCommand("status", "Prints the state of the system."),
    defineOperatorCommand("drain", "Starts or ends the drain of a host."),
    {
        name: "explain",
        summary: "Prints the history of one request from the logs of all processes.",
        run: async ({ argv }) => (await import("../commands/explain.ts")).explainRequest(argv),
    },
    {
        name: "settings",
        summary: "Prints the settings of all commands; --markdown as a page.",
        run: async ({ argv }) => (await import("../commands/settings.ts")).printSettings(argv),
    },
];

export function findCommand(argv: readonly string[]): Command | undefined {
    return COMMANDS.find(command => command.name.split(" ").every((word, index) => argv[index] === word));
}
