import { spawnSync } from "node:child_process";
import { existsSync, statSync } from "node:fs";
import { join } from "node:path";

export const rootDir = join(import.meta.dirname, "..");

/** Runs a command in the root of the repository and returns its exit code. */
export function run(command, args) {
    const result = spawnSync(command, args, { cwd: rootDir, stdio: ["ignore", "inherit", "inherit"] });
    return result.status ?? 1;
}

/** Runs a program of an installed package and returns its exit code. */
export function runInstalled(program, args) {
    return run(join(rootDir, "node_modules", ".bin", program), args);
}

/** Installs the locked dependencies if they are missing or older than the lock file; returns the exit code. */
export function install() {
    const marker = join(rootDir, "node_modules", ".package-lock.json");
    const lockFile = join(rootDir, "package-lock.json");
    if (existsSync(marker) && statSync(marker).mtimeMs >= statSync(lockFile).mtimeMs) return 0;
    return run("npm", ["ci", "--no-audit", "--no-fund"]);
}
