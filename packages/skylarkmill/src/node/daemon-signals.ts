import type { Logger } from "@skylarkmill/coordination";
import process from "node:process";

/** Commands that run until a signal asks them to stop. */
const DAEMON_COMMANDS = new Set(["router", "agent", "gateway"]);

/** Signals that ask a daemon to stop in order. */
export const DAEMON_STOP_SIGNALS = ["SIGTERM", "SIGINT", "SIGQUIT"] as const;

/**
 * Signals that mean nothing to a daemon, but end a process by default, or open a debugger's port (SIGUSR1). Signals of
 * faults in the program keep their default actions, as do those of a terminal's job control. Node.js itself ignores
 * SIGPIPE and SIGXFSZ.
 */
export const IGNORED_SIGNALS = [
    "SIGHUP",
    "SIGUSR1",
    "SIGUSR2",
    "SIGALRM",
    "SIGVTALRM",
    "SIGPROF",
    "SIGXCPU",
    "SIGIO",
    "SIGPWR",
    "SIGSTKFLT",
] as const satisfies readonly NodeJS.Signals[];

/** Shortest time between two log lines on the same ignored signal. */
const LOG_INTERVAL_MS = 10_000;

/** Logs ignored signals, those that arrive before there is a logger as soon as there is one. */
export class IgnoredSignalLog {
    private logger: Logger | undefined;
    private readonly states = new Map<NodeJS.Signals, { unloggedCount: number; nextLogMs: number; }>();

    add(signal: NodeJS.Signals): void {
        const { unloggedCount = 0, nextLogMs = 0 } = this.states.get(signal) ?? {};
        this.states.set(signal, { unloggedCount: unloggedCount + 1, nextLogMs });
        this.logDue(signal);
    }

    start(logger: Logger): void {
        this.logger = logger;
        for (const signal of this.states.keys()) this.logDue(signal);
    }

    private logDue(signal: NodeJS.Signals): void {
        const { unloggedCount: count, nextLogMs } = this.states.get(signal)!;
        const nowMs = performance.now();
        if (this.logger === undefined || nowMs < nextLogMs) return;
        this.states.set(signal, { unloggedCount: 0, nextLogMs: nowMs + LOG_INTERVAL_MS });
        this.logger.info(
            { step: "signal", signal, count },
            "signal received and ignored; changed settings take effect after a restart",
        );
    }
}

const ignoredSignalLog = new IgnoredSignalLog();

/** Logs the signals that the daemon ignores, at most one line per signal and interval. */
export function logIgnoredSignals(logger: Logger): void {
    ignoredSignalLog.start(logger);
}

function exitBeforeStart(signal: NodeJS.Signals): void {
    process.stderr.write(`skylarkmill: ${signal} received before the start; the process exits\n`);
    process.exit(0);
}

/**
 * Replaces the default actions of signals. It must be called before the other modules are loaded, since signals may
 * arrive while the process starts. A stop signal exits the process with code 0 until `endEarlyExit` is called.
 */
export function installDaemonSignals(): void {
    for (const signal of IGNORED_SIGNALS) process.on(signal, () => ignoredSignalLog.add(signal));
    for (const signal of DAEMON_STOP_SIGNALS) process.on(signal, exitBeforeStart);
}

/** Must be called once there are other listeners of the stop signals, since a signal without one ends the process. */
export function endEarlyExit(): void {
    for (const signal of DAEMON_STOP_SIGNALS) process.off(signal, exitBeforeStart);
}

/** Whether the command is a daemon; a command of an operator ends with its terminal. */
export function isDaemonCommand(command: string | undefined): boolean {
    return command !== undefined && DAEMON_COMMANDS.has(command);
}
