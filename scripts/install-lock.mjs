import {
    closeSync,
    linkSync,
    openSync,
    readFileSync,
    renameSync,
    rmSync,
    statSync,
    utimesSync,
    writeSync,
} from "node:fs";
import { hostname } from "node:os";
import { performance } from "node:perf_hooks";
import { clearInterval, setInterval } from "node:timers";
import { setTimeout as sleep } from "node:timers/promises";

const POLL_INTERVAL_MS = 100;
/**
 * Time without a refresh after which a lock belongs to a process that has ended. Whether its process runs doesn't tell:
 * the process id can have a new owner, and one of another host or container can't be looked up.
 */
const LOCK_LIMIT_MS = 15_000;
const REFRESHES_PER_LIMIT = 15;

/**
 * @typedef {object} LockState
 * @property {{ pid: number, host: string } | undefined} holder undefined if the file has no whole content
 * @property {number} unchangedMs time for which this process has seen the lock without a refresh
 */

/**
 * Tells whether the process that made a lock has ended without removing it.
 *
 * @param {LockState} state
 * @param {string} host name of this host; the processes of others can't be looked up
 * @param {(pid: number) => boolean} isRunning
 * @param {number} limitMs
 */
export function isStale({ holder, unchangedMs }, host, isRunning, limitMs = LOCK_LIMIT_MS) {
    return unchangedMs > limitMs || (holder?.host === host && !isRunning(holder.pid));
}

function isRunning(pid) {
    try {
        process.kill(pid, 0);
        return true;
    }
    catch (error) {
        // EPERM: the process runs under another user.
        return error.code === "EPERM";
    }
}

function tryCreate(file, content) {
    let descriptor;
    try {
        descriptor = openSync(file, "wx", 0o644);
    }
    catch (error) {
        if (error.code === "EEXIST") return false;
        throw error;
    }
    writeSync(descriptor, content);
    closeSync(descriptor);
    return true;
}

function parseHolder(content) {
    try {
        return JSON.parse(content);
    }
    catch {
        return undefined;
    }
}

/** Returns the content of the lock and the time of its last refresh, or undefined if it has been removed. */
function readLock(file) {
    try {
        return { refreshedAtMs: statSync(file).mtimeMs, content: readFileSync(file, "utf8") };
    }
    catch (error) {
        if (error.code === "ENOENT") return undefined;
        throw error;
    }
}

function removeStale(file, staleContent) {
    const asideFile = `${file}.${process.pid}`;
    try {
        renameSync(file, asideFile);
        // Another process removed the stale lock first, and this one is new.
        if (readFileSync(asideFile, "utf8") !== staleContent) linkSync(asideFile, file);
    }
    catch (error) {
        if (error.code !== "ENOENT" && error.code !== "EEXIST") throw error;
    }
    finally {
        rmSync(asideFile, { force: true });
    }
}

/** Refreshes a lock until the returned function is called. */
function keepFresh(file, intervalMs) {
    const timer = setInterval(() => {
        try {
            utimesSync(file, new Date(), new Date());
        }
        catch (error) {
            console.error(`${file} can't be refreshed: ${error.message}`);
            clearInterval(timer);
        }
    }, intervalMs);
    return () => clearInterval(timer);
}

/**
 * Runs an action while no other process runs one under the same lock file, and returns its result. The action must not
 * block the process, which refreshes its lock meanwhile.
 *
 * @example const exitCode = await withLock("target/install.lock", () => runAsync("npm", ["ci"]));
 * @template T
 * @param {string} file
 * @param {() => T | Promise<T>} action
 * @param {number} limitMs
 * @returns {Promise<T>}
 */
export async function withLock(file, action, limitMs = LOCK_LIMIT_MS) {
    const ownContent = JSON.stringify({ pid: process.pid, host: hostname() });
    let hasLogged = false;
    let seen;
    let seenAtMs = 0;
    while (!tryCreate(file, ownContent)) {
        const lock = readLock(file);
        if (lock === undefined) continue;
        if (lock.content !== seen?.content || lock.refreshedAtMs !== seen.refreshedAtMs) {
            seen = lock;
            seenAtMs = performance.now();
        }
        const holder = parseHolder(lock.content);
        if (isStale({ holder, unchangedMs: performance.now() - seenAtMs }, hostname(), isRunning, limitMs)) {
            console.log(`removing ${file}, which a process that has ended left`);
            removeStale(file, lock.content);
            continue;
        }
        if (!hasLogged && holder !== undefined) {
            console.log(`waiting for the installation by process ${holder.pid} (${file})`);
            hasLogged = true;
        }
        await sleep(POLL_INTERVAL_MS);
    }
    const endRefreshes = keepFresh(file, limitMs / REFRESHES_PER_LIMIT);
    try {
        return await action();
    }
    finally {
        endRefreshes();
        if (readLock(file)?.content === ownContent) rmSync(file, { force: true });
    }
}
