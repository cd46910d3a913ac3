import type { OutcomeUnknownError, ProtocolError, UnavailableError } from "@skylarkmill/protocol";
import type { ResultAsync } from "neverthrow";

/** One key with its value. */
export interface KeyValueEntry {
    readonly key: string;
    readonly value: string;
    /** Revision of the service at which the key last changed; 0 for an absent key. */
    readonly modRevision: number;
}

/** Condition of a transaction. */
export interface Compare {
    readonly key: string;
    /** Expected revision; 0 expects the key to be absent. */
    readonly modRevision: number;
}

export interface Put {
    readonly key: string;
    readonly value: string;
    /** Lease whose end deletes the key. */
    readonly leaseId?: string;
}

/** Applies all puts and deletes if all comparisons hold; otherwise reads the keys of `readOnFailure`. */
export interface Transaction {
    readonly compare: readonly Compare[];
    readonly puts: readonly Put[];
    readonly deletes?: readonly string[];
    readonly readOnFailure?: readonly string[];
}

export interface TransactionResult {
    /** Whether all comparisons held and the writes were applied. */
    readonly succeeded: boolean;
    readonly revision: number;
    /** Entries of `readOnFailure` that exist; empty on success. */
    readonly entries: readonly KeyValueEntry[];
}

export interface RangeResult {
    readonly entries: readonly KeyValueEntry[];
    readonly revision: number;
    /**
     * Number of times that the service has been restored from an older copy of its data. All revisions of a generation
     * are higher than those of the generations before.
     *
     * @default 0
     */
    readonly generation?: number;
}

export interface WatchEvent {
    readonly kind: "put" | "delete";
    readonly entry: KeyValueEntry;
}

export interface Lease {
    readonly leaseId: string;
    readonly ttlMs: number;
}

/**
 * `UnavailableError`: the call had no effect. `OutcomeUnknownError`: a write may have taken effect.
 * `ProtocolError`: the service rejected the call, which had no effect, or sent a malformed response to a read.
 */
export type KeyValueError = UnavailableError | OutcomeUnknownError | ProtocolError;

/** Client of the platform's key-value service. */
export interface KeyValueStore {
    get(key: string): ResultAsync<KeyValueEntry | undefined, KeyValueError>;
    /** Reads all keys under a prefix, in key order. */
    range(prefix: string, options?: { readonly limit?: number; }): ResultAsync<RangeResult, KeyValueError>;
    /** Executes a transaction; failed comparisons are reported in the result, not as an error. */
    commit(transaction: Transaction): ResultAsync<TransactionResult, KeyValueError>;
    grantLease(ttlMs: number): ResultAsync<Lease, KeyValueError>;
    /** Renews a lease; `undefined` when the lease no longer exists. */
    keepLeaseAlive(leaseId: string): ResultAsync<Lease | undefined, KeyValueError>;
    /** Ends a lease and deletes its keys. */
    revokeLease(leaseId: string): ResultAsync<void, KeyValueError>;
    /**
     * Yields the changes under a prefix in order, from `fromRevision` (inclusive) until the signal aborts.
     * Throws `UnavailableError` when the stream breaks; the changes missed since then can be watched from the last known
     * revision. Throws any other error when they are not known, for example after a compaction; the range must then be
     * read again.
     */
    watch(prefix: string, fromRevision: number, signal: AbortSignal): AsyncIterable<readonly WatchEvent[]>;
}
