import type { EditId } from "@skylarkmill/protocol";

/** A value with its own version counter, which survives a restore of the key-value service. */
export interface VersionedRecord<T> {
    readonly key: string;
    /** Starts at 1 and grows by 1 with each change. */
    readonly version: number;
    /** Tells apart two records that were written with the same version. */
    readonly nonce: string;
    readonly editId: EditId;
    /** Wall-clock time of the write, in milliseconds since 1970. */
    readonly writtenAtMs: number;
    /** `undefined` marks a deletion. */
    readonly value: T | undefined;
}

export type RecordListener = (record: VersionedRecord<unknown>) => void;

/** Read side of the records that a process has in force. */
export interface RecordReader {
    get<T>(key: string): VersionedRecord<T> | undefined;
    list<T>(prefix: string): readonly VersionedRecord<T>[];
    /** Calls back after each applied record; returns the function that ends it. */
    subscribe(prefix: string, listener: RecordListener): () => void;
}
