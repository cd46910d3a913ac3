import { limitYoungGeneration } from "./node/young-generation.ts";

limitYoungGeneration();

// The exit is explicit, since kept connections of a stopped role could hold the process.
void import("./node/command-line.ts")
    .then(({ runCommandLine }) => runCommandLine(process.argv.slice(2)))
    .then(exitCode => process.exit(exitCode));
