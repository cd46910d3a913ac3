import { spawn, spawnSync } from "node:child_process";
import {
    accessSync,
    chmodSync,
    constants,
    existsSync,
    lstatSync,
    mkdirSync,
    mkdtempSync,
    readFileSync,
    readlinkSync,
    realpathSync,
    renameSync,
    rmdirSync,
    rmSync,
    statSync,
} from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { withLock } from "./install-lock.mjs";
import { findInstallReason, findVersionFault, toMajorRange } from "./installation.mjs";

// `import.meta.dirname` is missing in the versions of Node.js that install() names as too old.
export const rootDir = fileURLToPath(new URL("..", import.meta.url));
const STOP_SIGNALS = ["SIGHUP", "SIGINT", "SIGTERM"];
const READABLE_DIR_MODE = 0o755;
const ownCacheDir = join(rootDir, "target", "npm-cache");

/** Runs a command in the root of the repository and returns its exit code. */
export function run(command, args) {
    const result = spawnSync(command, args, { cwd: rootDir, stdio: ["ignore", "inherit", "inherit"] });
    if (result.error !== undefined) console.error(`${command}: ${result.error.message}`);
    else if (result.signal) console.error(`${command} was ended by ${result.signal}`);
    return result.status ?? 1;
}

/** Runs a command as `run` does, without blocking this process; a signal that asks this process to stop ends the command. */
export function runAsync(command, args) {
    const child = spawn(command, args, { cwd: rootDir, stdio: ["ignore", "inherit", "inherit"] });
    const passOn = signal => child.kill(signal);
    for (const signal of STOP_SIGNALS) process.on(signal, passOn);
    const ended = new Promise(resolve => {
        child.once("error", error => {
            console.error(`${command}: ${error.message}`);
            resolve(1);
        });
        child.once("close", (exitCode, signal) => {
            if (signal) console.error(`${command} was ended by ${signal}`);
            resolve(exitCode ?? 1);
        });
    });
    return ended.finally(() => {
        for (const signal of STOP_SIGNALS) process.off(signal, passOn);
    });
}

/** Runs a program of an installed package and returns its exit code. */
export function runInstalled(program, args) {
    return run(join(rootDir, "node_modules", ".bin", program), args);
}

/**
 * Returns why Node.js can't run a bundle by the command of the deploy file, or undefined if it can. A flag that this version
 * doesn't know would end each process at its start.
 */
export function findRunFault(bundle) {
    const commands = readFileSync(join(rootDir, "deploy", "system.toml"), "utf8").matchAll(/^run = "node (.*)"$/gm);
    const args = [...commands].map(([, text]) => text.split(" ")).find(words => words.at(-1) === bundle);
    if (args === undefined) return `deploy/system.toml has no command that runs ${bundle}`;
    const result = spawnSync(process.execPath, ["--check", ...args], { cwd: rootDir, encoding: "utf8" });
    if (result.error !== undefined) console.error(`the command of ${bundle} isn't checked: ${result.error.message}`);
    if (result.error !== undefined || result.status === 0) return undefined;
    return `Node.js ${process.versions.node} can't run \`node ${args.join(" ")}\`: ${result.stderr.trim()}`;
}

/** Makes a folder that other users can read whatever the umask, since the one who starts a process may not be its builder. */
export function makeOutputDir(name) {
    const dir = join(rootDir, name);
    mkdirSync(dir, { recursive: true });
    const mode = statSync(dir).mode & 0o7777;
    if ((mode | READABLE_DIR_MODE) !== mode) chmodSync(dir, mode | READABLE_DIR_MODE);
    return dir;
}

/**
 * Writes a file of the given mode and moves it into its place, so that a process never loads or runs half of it. `write`
 * gets the path to write to.
 *
 * @example await replaceFile(bundleFile, 0o644, partFile => build({ outfile: partFile }));
 */
export async function replaceFile(file, mode, write) {
    const partFile = `${file}.${process.pid}.part`;
    try {
        await write(partFile);
        chmodSync(partFile, mode);
        renameSync(partFile, file);
    }
    finally {
        rmSync(partFile, { force: true });
    }
}

function readJson(path) {
    return JSON.parse(readFileSync(join(rootDir, path), "utf8"));
}

function readInstalledLockFile() {
    const path = "node_modules/.package-lock.json";
    if (!existsSync(join(rootDir, path))) return undefined;
    try {
        return readJson(path);
    }
    catch (error) {
        console.error(`ignoring ${path}: ${error.message}`);
        return undefined;
    }
}

function detectLibc() {
    if (process.platform !== "linux") return undefined;
    // Looking up the names of open connections can block the report for seconds.
    process.report.excludeNetwork = true;
    const report = process.report.getReport();
    if (report.header.glibcVersionRuntime !== undefined) return "glibc";
    return report.sharedObjects.some(file => /libc\.musl-|ld-musl-/.test(file)) ? "musl" : undefined;
}

function readInstallReason(needsDev) {
    return findInstallReason({
        lockFile: readJson("package-lock.json"),
        installed: readInstalledLockFile(),
        platform: { os: process.platform, cpu: process.arch, libc: detectLibc() },
        needsDev,
        hasPackage: path => existsSync(join(rootDir, path, "package.json")),
        leadsTo: (path, target) => realpathSync(join(rootDir, path)) === realpathSync(join(rootDir, target)),
    });
}

/** Returns why npm can't write to its cache, or undefined if it can. */
function findCacheFault(cacheDir) {
    const contentDir = join(cacheDir, "_cacache");
    try {
        mkdirSync(join(contentDir, "tmp"), { recursive: true });
        rmdirSync(mkdtempSync(join(contentDir, "tmp", "probe-")));
        // Folders that another user made, for example an earlier `sudo npm`.
        for (const folder of ["content-v2", "index-v5"].map(name => join(contentDir, name))) {
            if (existsSync(folder)) accessSync(folder, constants.W_OK);
        }
        return undefined;
    }
    catch (error) {
        return error.message;
    }
}

/** Returns the option that gives npm a cache which it can write. */
function chooseCacheOption() {
    const result = spawnSync("npm", ["config", "get", "cache"], { cwd: rootDir, encoding: "utf8" });
    // A missing npm is reported by the installation itself.
    if (result.error !== undefined) return [];
    const fault = result.status === 0 ? findCacheFault(result.stdout.trim()) : "npm doesn't name it";
    if (fault === undefined) return [];
    console.log(`npm's cache can't be used, so target/npm-cache takes its place: ${fault}`);
    return [`--cache=${ownCacheDir}`];
}

/** Removes a node_modules that leads elsewhere, since npm would empty the folder behind it. */
function removeLinkedFolder() {
    const dir = join(rootDir, "node_modules");
    if (lstatSync(dir, { throwIfNoEntry: false })?.isSymbolicLink() !== true) return;
    console.log(`removing node_modules, a link to ${readlinkSync(dir)}`);
    rmSync(dir);
}

/** Runs `npm ci` and returns its exit code. */
async function installLocked(reason, needsDev) {
    console.log(`installing the dependencies: ${reason}`);
    removeLinkedFolder();
    const exitCode = await runAsync("npm", [
        "ci",
        "--include=dev",
        "--include=optional",
        // The scripts only prepare what the packages do at their first use, or compile modules that aren't used here.
        "--ignore-scripts",
        // The build itself names a version of Node.js that is too old; a tool that it doesn't run may ask for a newer one.
        "--engine-strict=false",
        "--no-audit",
        "--no-fund",
        // A silent level in the user's own configuration would hide why an installation fails.
        "--loglevel=error",
        ...chooseCacheOption(),
    ]);
    rmSync(ownCacheDir, { recursive: true, force: true });
    if (exitCode !== 0) {
        console.error(
            `\`npm ci\` failed (${reason}). Make sure that npm is installed and reaches its registry (\`npm ping\`), `
                + "then run the build again.",
        );
        return exitCode;
    }
    // npm succeeds without an optional package that it couldn't download.
    const remainingReason = readInstallReason(needsDev);
    if (remainingReason !== undefined) console.error(`\`npm ci\` left the dependencies incomplete: ${remainingReason}`);
    return 0;
}

/**
 * Checks the major version of Node.js and installs the locked dependencies unless they are in place; returns the exit code. The
 * development dependencies are installed as well, whatever the caller's environment leaves out, but their state counts
 * only if they are needed.
 */
export async function install({ needsDev }) {
    const { node: supportedRange } = readJson("package.json").engines;
    const versionFault = findVersionFault(process.versions.node, supportedRange);
    if (versionFault !== undefined) {
        if (findVersionFault(process.versions.node, toMajorRange(supportedRange)) !== undefined) {
            console.error(versionFault);
            return 1;
        }
        console.error(`${versionFault}; the build continues, but isn't tested with it`);
    }
    if (readInstallReason(needsDev) === undefined) return 0;
    return withLock(join(makeOutputDir("target"), "install.lock"), () => {
        // Another build may have installed them meanwhile.
        const reason = readInstallReason(needsDev);
        return reason === undefined ? 0 : installLocked(reason, needsDev);
    });
}
