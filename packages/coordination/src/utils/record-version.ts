import { createHash } from "node:crypto";

/** Identifies one state of a record. */
export interface VersionStamp {
    readonly version: number;
    readonly nonce: string;
}

/**
 * Compares two states of one record by version, then by nonce.
 * Returns -1 when `a` is older than `b`, 1 when it is newer and 0 when both are the same.
 *
 * @example
 * compareVersionStamps({ version: 2, nonce: "a" }, { version: 1, nonce: "z" }); // 1
 */
export function compareVersionStamps(a: VersionStamp, b: VersionStamp): number {
    if (a.version !== b.version) return a.version < b.version ? -1 : 1;
    if (a.nonce === b.nonce) return 0;
    return a.nonce < b.nonce ? -1 : 1;
}

/** Hashes a record's key and version stamp; the digest of a table is the XOR of these hashes. */
export function hashVersionStamp(key: string, stamp: VersionStamp): bigint {
    return createHash("sha256").update(`${key}\0${stamp.version}\0${stamp.nonce}`).digest().readBigUInt64BE(0);
}
