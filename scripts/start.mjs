import { spawn } from "node:child_process";
import { rootDir, run } from "./steps.mjs";

if (run(process.execPath, ["scripts/build.mjs"]) !== 0) process.exit(1);
const child = spawn(process.execPath, ["dist/skylarkmill.cjs", "dev", ...process.argv.slice(2)], {
    cwd: rootDir,
    stdio: "inherit",
});
for (const signal of ["SIGINT", "SIGTERM"]) process.on(signal, () => child.kill(signal));
child.on("exit", code => process.exit(code ?? 1));
