import { createHash } from "node:crypto";

export interface VersionStamp {
    readonly version: number;
    readonly nonce: string;
}

/**
 * Orders two states of one record: the higher version wins, and between equal versions the greater nonce.
 * Returns a negative number when `a` is older than `b`, 0 when they are the same.
 *
 * @example
 * compareStamps({ version: 2, nonce: "a" }, { version: 1, nonce: "z" }); // 1
 */
export function compareStamps(a: VersionStamp, b: VersionStamp): number {
    if (a.version !== b.version) return a.version < b.version ? -1 : 1;
    if (a.nonce === b.nonce) return 0;
    return a.nonce < b.nonce ? -1 : 1;
}

/** Hashes one record's key and stamp; the digest of a table is the exclusive or of these. */
export function hashStamp(key: string, stamp: VersionStamp): bigint {
    return createHash("sha256").update(`${key}\0${stamp.version}\0${stamp.nonce}`).digest().readBigUInt64BE(0);
}
