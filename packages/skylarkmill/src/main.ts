import { limitYoungGeneration } from "./node/young-generation.ts";

process.on("unhandledRejection", cause => {
    const text = cause instanceof Error ? cause.stack ?? cause.message : String(cause);
    process.stderr.write(`skylarkmill: unhandled rejection: ${text}\n`);
    process.exit(1);
});

limitYoungGeneration();

// The exit is explicit, since kept connections of a stopped role could hold the process.
void import("./node/command-line.ts")
    .then(({ runCommandLine }) => runCommandLine(process.argv.slice(2)))
    .then(exitCode => process.exit(exitCode));
