import type { OutcomeUnknownError, ProtocolError, UnavailableError } from "@skylarkmill/protocol";
import type { ResultAsync } from "neverthrow";

/** One key with its value. */
export interface KeyValueEntry {
    readonly key: string;
    readonly value: string;
    /** Revision of the service at which the key last changed; 0 stands for an absent key. */
    readonly modRevision: number;
}

export interface Compare {
    readonly key: string;
    /** Expected revision; 0 expects the key to be absent. */
    readonly modRevision: number;
}

export interface Put {
    readonly key: string;
    readonly value: string;
    readonly leaseId?: string;
}

/** Applies all writes if all comparisons hold, else reads `readOnFailure`. */
export interface Transaction {
    readonly compare: readonly Compare[];
    readonly puts: readonly Put[];
    readonly deletes?: readonly string[];
    readonly readOnFailure?: readonly string[];
}

export interface TransactionResult {
    readonly succeeded: boolean;
    readonly revision: number;
    /** Entries of `readOnFailure` that exist; empty on success. */
    readonly entries: readonly KeyValueEntry[];
}

export interface RangeResult {
    readonly entries: readonly KeyValueEntry[];
    readonly revision: number;
}

export interface WatchEvent {
    readonly kind: "put" | "delete";
    readonly entry: KeyValueEntry;
}

export interface Lease {
    readonly leaseId: string;
    readonly ttlMs: number;
}

/** `UnavailableError`: no effect. `OutcomeUnknownError`: a write may have taken effect. */
export type KeyValueError = UnavailableError | OutcomeUnknownError | ProtocolError;

/** The platform's key-value service. */
export interface KeyValueStore {
    get(key: string): ResultAsync<KeyValueEntry | undefined, KeyValueError>;
    /** Reads all keys under a prefix, in key order. */
    range(prefix: string, options?: { readonly limit?: number; }): ResultAsync<RangeResult, KeyValueError>;
    commit(transaction: Transaction): ResultAsync<TransactionResult, KeyValueError>;
    grantLease(ttlMs: number): ResultAsync<Lease, KeyValueError>;
    keepLeaseAlive(leaseId: string): ResultAsync<Lease | undefined, KeyValueError>;
    revokeLease(leaseId: string): ResultAsync<void, KeyValueError>;
    /**
     * Watches a prefix until the signal aborts or the stream breaks; yields events in order.
     * The stream ends with an error when it breaks; the caller reads the range again.
     */
    watch(prefix: string, fromRevision: number, signal: AbortSignal): AsyncIterable<readonly WatchEvent[]>;
}
