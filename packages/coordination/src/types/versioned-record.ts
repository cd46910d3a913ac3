import type { EditId } from "@skylarkmill/protocol";

/**
 * A value with its own version counter. Unlike the revision of the key-value service, the version does not decrease
 * when the service is restored from older data.
 */
export interface VersionedRecord<T> {
    readonly key: string;
    /** Starts at 1 and is incremented by each change. */
    readonly version: number;
    /** Random value that distinguishes records written with the same version. */
    readonly nonce: string;
    /** Id of the edit that wrote this version. */
    readonly editId: EditId;
    /** Wall-clock time of the write, in milliseconds since 1970. */
    readonly writtenAtMs: number;
    /** `undefined` marks a deletion. */
    readonly value: T | undefined;
}

export type RecordListener = (record: VersionedRecord<unknown>) => void;

/** Read access to the current records of a process. */
export interface RecordReader {
    get<T>(key: string): VersionedRecord<T> | undefined;
    list<T>(prefix: string): readonly VersionedRecord<T>[];
    /** Calls the listener for each applied record whose key has the prefix; returns a function that unsubscribes it. */
    subscribe(prefix: string, listener: RecordListener): () => void;
}
