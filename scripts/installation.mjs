/**
 * Decides whether `node_modules` holds what a lock file asks for, from the content of both. Modification times don't tell:
 * a folder that was copied from another machine or left by a killed `npm ci` is newer than the lock file.
 */

/**
 * @typedef {object} LockedPackage
 * @property {string} [version]
 * @property {string} [integrity]
 * @property {boolean} [dev] Only development dependencies need it.
 * @property {boolean} [optional] npm may leave it out.
 * @property {boolean} [link] A link to a workspace.
 * @property {string} [resolved] The folder of the workspace.
 * @property {string[]} [os]
 * @property {string[]} [cpu]
 * @property {string[]} [libc]
 *
 * @typedef {{ packages?: Record<string, LockedPackage> }} LockFile
 *
 * @typedef {object} Platform
 * @property {string} os as in `process.platform`
 * @property {string} cpu as in `process.arch`
 * @property {string | undefined} libc "glibc" or "musl" on Linux
 *
 * @typedef {object} InstalledState
 * @property {LockFile} lockFile package-lock.json
 * @property {LockFile | undefined} installed node_modules/.package-lock.json, which npm writes last; undefined if it is
 * missing or can't be read
 * @property {Platform} platform
 * @property {boolean} needsDev Whether development dependencies are needed too.
 * @property {(path: string) => boolean} hasPackage Tells whether the folder of a package exists.
 * @property {(path: string, target: string) => boolean} leadsTo Tells whether a path leads to the folder of a workspace.
 */

/** @type {(allowed: string[] | undefined, value: string | undefined) => boolean} */
function isAllowed(allowed, value) {
    if (allowed === undefined || allowed.includes("any")) return true;
    if (allowed.includes(`!${value}`)) return false;
    return allowed.includes(value ?? "") || allowed.every(entry => entry.startsWith("!"));
}

/**
 * Tells whether a package may be installed on a platform, as npm decides it.
 *
 * @example fitsPlatform({ os: ["linux"], cpu: ["arm64"] }, { os: "linux", cpu: "x64", libc: "glibc" }); // false
 * @param {LockedPackage} lockedPackage
 * @param {Platform} platform
 */
export function fitsPlatform(lockedPackage, platform) {
    return isAllowed(lockedPackage.os, platform.os) && isAllowed(lockedPackage.cpu, platform.cpu)
        && isAllowed(lockedPackage.libc, platform.libc);
}

/**
 * An optional package that names a platform holds a prebuilt program for it, which the package that asks for it can't do
 * without. Other optional packages may be missing, for example because they failed to compile.
 *
 * @type {(lockedPackage: LockedPackage, platform: Platform) => boolean}
 */
function isRequired(lockedPackage, platform) {
    if (!fitsPlatform(lockedPackage, platform)) return false;
    return lockedPackage.optional !== true || lockedPackage.os !== undefined || lockedPackage.cpu !== undefined;
}

/**
 * Returns why the dependencies have to be installed, or undefined if they are in place.
 *
 * @param {InstalledState} state
 * @returns {string | undefined}
 */
export function findInstallReason({ lockFile, installed, platform, needsDev, hasPackage, leadsTo }) {
    if (installed?.packages === undefined) return "node_modules is missing, or its installation didn't finish";
    const isNeeded = ([path, { dev }]) => path.includes("node_modules/") && (needsDev || dev !== true);
    const lockedPackages = Object.entries(lockFile.packages ?? {}).filter(isNeeded);
    const installedPackages = Object.entries(installed.packages)
        .filter(([path, installedPackage]) => isNeeded([path, lockFile.packages?.[path] ?? installedPackage]));

    for (const [path, lockedPackage] of lockedPackages) {
        const installedPackage = installed.packages[path];
        if (installedPackage === undefined) {
            if (isRequired(lockedPackage, platform)) return `${path} is missing`;
        }
        else if (
            installedPackage.version !== lockedPackage.version || installedPackage.integrity !== lockedPackage.integrity
        ) {
            return `${path} is not the locked version`;
        }
    }
    for (const [path, installedPackage] of installedPackages) {
        if (lockFile.packages?.[path] === undefined) return `${path} is not in package-lock.json`;
        if (!fitsPlatform(installedPackage, platform)) return `${path} is for another platform`;
        if (!hasPackage(path)) return `${path} is missing`;
        // A copy of the folder would bring the sources of another checkout into the bundle.
        const { link, resolved } = installedPackage;
        if (link && resolved !== undefined && !leadsTo(path, resolved)) return `${path} doesn't lead to ${resolved}`;
    }
    return undefined;
}

/**
 * Returns what is wrong with the version of Node.js, or undefined if it is in a range of the form ">=20.18.1".
 *
 * @example findVersionFault("18.20.0", ">=20.18.1"); // "Node.js 20.18.1 or newer is needed, and this is 18.20.0"
 * @param {string} version
 * @param {string} range
 * @returns {string | undefined}
 */
export function findVersionFault(version, range) {
    const oldest = /^>=\s*(\d+(?:\.\d+)*)$/.exec(range)?.[1];
    if (oldest === undefined) throw new Error(`not a range of the form ">=20.18.1": ${range}`);
    const actualParts = version.split(".").map(part => Number.parseInt(part, 10));
    for (const [index, part] of oldest.split(".").map(Number).entries()) {
        const actualPart = actualParts[index] ?? 0;
        if (actualPart > part) return undefined;
        if (actualPart < part) return `Node.js ${oldest} or newer is needed, and this is ${version}`;
    }
    return undefined;
}

/**
 * Returns the range of all versions from the first one with the same major version.
 *
 * @example toMajorRange(">=20.18.1"); // ">=20"
 * @param {string} range
 * @returns {string}
 */
export function toMajorRange(range) {
    return range.replace(/\..*$/, "");
}
