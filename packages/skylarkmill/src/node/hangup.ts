import process from "node:process";

/** Commands that run until a signal asks them to stop. */
const DAEMON_COMMANDS = new Set(["router", "agent", "gateway"]);

/**
 * Lets a daemon survive SIGHUP, whose default action ends a process. It must be called before the other modules are
 * loaded, since the signal may arrive while the process starts.
 */
export function ignoreHangup(): void {
    process.on("SIGHUP", () => undefined);
}

/** Whether the command is a daemon; a command of an operator ends with its terminal. */
export function isDaemonCommand(command: string | undefined): boolean {
    return command !== undefined && DAEMON_COMMANDS.has(command);
}
