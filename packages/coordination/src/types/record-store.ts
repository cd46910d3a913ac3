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

export interface RecordChange<T> {
    readonly key: string;
    /** Version that the change builds on; 0 expects no record. */
    readonly expectedVersion: number;
    /** `undefined` deletes the record's value; the version goes on counting. */
    readonly value: T | undefined;
    readonly editId: EditId;
    /** Written in the same transaction, such as an audit entry. */
    readonly extraPuts?: readonly Put[];
}

/** `ConflictError`: another version is in force. `OutcomeUnknownError`: ask `resolveEdit` later. */
export type RecordWriteError = ConflictError | UnavailableError | OutcomeUnknownError;

export type EditOutcome = "accepted" | "not_accepted";

/** Another process with which records are exchanged. */
export interface RecordPeer {
    readonly processId: ProcessId;
    exchange(request: ExchangeRequest): Promise<ExchangeResponse>;
    push(request: PushRequest): Promise<PushResponse>;
}

/** The versioned records of one process; never applies a lower version than the one it holds. */
export interface RecordStore extends RecordReader {
    start(): void;
    stop(): Promise<void>;
    /** The key-value service has been read once since the start. */
    readonly hasReadService: boolean;
    /** At least one peer has exchanged records since the start. */
    readonly hasExchanged: boolean;
    /** Reads all records from the service, applies newer ones and writes newer own ones back. */
    refresh(): ResultAsync<void, UnavailableError>;
    /** Writes one record by compare-and-swap; a lost answer is read back by edit id. */
    write<T>(change: RecordChange<T>): ResultAsync<VersionedRecord<T>, RecordWriteError>;
    /**
     * Says whether an edit took effect. An edit that did not is fenced off first,
     * so that a delayed write can't take effect after `not_accepted` was answered.
     */
    resolveEdit(key: string, editId: EditId): ResultAsync<EditOutcome, UnavailableError | OutcomeUnknownError>;
    versions(): readonly RecordVersion[];
    handleExchange(request: ExchangeRequest): ExchangeResponse;
    handlePush(request: PushRequest): PushResponse;
}
