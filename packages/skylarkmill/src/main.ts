import { installDaemonSignals, isDaemonCommand } from "./node/daemon-signals.ts";
import { exitProcess } from "./node/log-output.ts";
import { limitYoungGeneration } from "./node/young-generation.ts";

if (isDaemonCommand(process.argv[2])) installDaemonSignals();
limitYoungGeneration();

// Exits explicitly, because keep-alive connections of a stopped role could keep the process running.
void import("./node/command-line.ts")
    .then(({ runCommandLine }) => runCommandLine(process.argv.slice(2)))
    .then(exitProcess);
