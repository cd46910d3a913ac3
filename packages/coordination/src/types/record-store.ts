import type {
    ConflictError,
    EditId,
    ExchangeRequest,
    ExchangeResponse,
    OutcomeUnknownError,
    ProcessId,
    PushRequest,
    PushResponse,
    RecordVersion,
    UnavailableError,
} from "@skylarkmill/protocol";
import type { ResultAsync } from "neverthrow";
import type { Put } from "./key-value-store.ts";
import type { RecordReader, VersionedRecord } from "./versioned-record.ts";

/** A change of one record. */
export interface RecordChange<T> {
    readonly key: string;
    /** Version that the change is based on; 0 expects that the record does not exist or was deleted. */
    readonly expectedVersion: number;
    /** New value; `undefined` deletes the value, and the version is still incremented. */
    readonly value: T | undefined;
    readonly editId: EditId;
    /** Further keys written in the same transaction, such as an audit entry. */
    readonly extraPuts?: readonly Put[];
}

/**
 * `ConflictError`: the record has another version than expected. `UnavailableError`: the write had no effect.
 * `OutcomeUnknownError`: the write may have taken effect; call `resolveEdit` later.
 */
export type RecordWriteError = ConflictError | UnavailableError | OutcomeUnknownError;

export type EditOutcome = "accepted" | "not_accepted";

/** Another process with which records are exchanged. */
export interface RecordPeer {
    readonly processId: ProcessId;
    exchange(request: ExchangeRequest): Promise<ExchangeResponse>;
    push(request: PushRequest): Promise<PushResponse>;
}

/** Replicated versioned records of one process; a version older than the current one is never applied. */
export interface RecordStore extends RecordReader {
    /** Starts reading, watching and exchanging records in the background. */
    start(): void;
    /** Stops the background work. */
    stop(): Promise<void>;
    /** Whether the key-value service has been read completely since the start. */
    readonly hasReadKeyValueService: boolean;
    /** Whether an exchange with a peer has succeeded since the start. */
    readonly hasExchangedWithPeer: boolean;
    /** Reads all records from the key-value service, applies newer ones and writes back those that are older there. */
    refresh(): ResultAsync<void, UnavailableError>;
    /** Writes one record by compare-and-swap; a lost response is resolved by reading back the edit id. */
    write<T>(change: RecordChange<T>): ResultAsync<VersionedRecord<T>, RecordWriteError>;
    /**
     * Returns whether an edit took effect. An edit that did not is fenced off first,
     * so that a delayed write can't take effect after `not_accepted` was returned.
     */
    resolveEdit(key: string, editId: EditId): ResultAsync<EditOutcome, UnavailableError | OutcomeUnknownError>;
    /** Lists the versions of all records. */
    versions(): readonly RecordVersion[];
    /** Handles a peer's exchange request. */
    handleExchange(request: ExchangeRequest): ExchangeResponse;
    /** Applies records that a peer pushed and forwards the newer ones. */
    handlePush(request: PushRequest): PushResponse;
}
