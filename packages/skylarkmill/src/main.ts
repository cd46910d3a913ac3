import { runCommandLine } from "./node/command-line.ts";

process.on("unhandledRejection", cause => {
    const text = cause instanceof Error ? cause.stack ?? cause.message : String(cause);
    process.stderr.write(`skylarkmill: unhandled rejection: ${text}\n`);
    process.exit(1);
});

// The exit is explicit, since kept connections of a stopped role could hold the process.
void runCommandLine(process.argv.slice(2)).then(exitCode => process.exit(exitCode));
