import { ConflictError, type EditId, OutcomeUnknownError, UnavailableError } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import type { KeyValueEntry, KeyValueError, KeyValueStore, Put } from "../types/key-value-store.ts";
import type { EditOutcome, RecordChange, RecordWriteError } from "../types/record-store.ts";
import type { VersionedRecord } from "../types/versioned-record.ts";
import {
    encodeStoredRecord,
    listPreviousEditIds,
    parseStoredRecord,
    type StoredRecord,
} from "../utils/record-codec.ts";
import { sleep } from "../utils/sleep.ts";
import type { RecordTable } from "./record-table.ts";

const KEY_VALUE_SERVICE = "key-value-service";
/** Delays before the attempts to read back a write with an unknown outcome; together they span about 1.5 s. */
const READ_BACK_DELAYS_MS = [0, 100, 400, 1000];

/** State of one key in the key-value service. */
interface StoredState {
    readonly modRevision: number;
    readonly record: StoredRecord | undefined;
}

type WriteOutcome = "accepted" | "not_accepted" | "superseded";

/** Writes versioned records by compare-and-swap and resolves writes whose response was lost. */
export class RecordWriter {
    constructor(private readonly store: KeyValueStore, private readonly table: RecordTable) {}

    async write<T>(change: RecordChange<T>): Promise<Result<VersionedRecord<T>, RecordWriteError>> {
        const current = await this.readStored(change.key);
        if (current.isErr()) return err(toUnavailableError(current.error));
        const conflict = this.findConflict(change, current.value.record);
        if (conflict !== undefined) return err(conflict);

        const record = this.createNextVersion(change, current.value.record);
        const committed = await this.commit(record, current.value.modRevision, change.extraPuts ?? []);
        if (committed.isErr()) {
            if (committed.error instanceof OutcomeUnknownError) return this.resolveWrite(change, record);
            return err(toUnavailableError(committed.error));
        }
        if (committed.value) return ok(this.applyAcceptedRecord(record));
        // The comparison also fails if a retry below this client, such as by a proxy, already applied this edit.
        return this.resolveWrite(change, record);
    }

    async resolveEdit(
        key: string,
        editId: EditId,
    ): Promise<Result<EditOutcome, UnavailableError | OutcomeUnknownError>> {
        const outcome = await this.readBackOutcome(key, editId, Infinity);
        return outcome.map(value => (value === "accepted" ? "accepted" : "not_accepted"));
    }

    /** Overwrites an older entry with a newer record; returns false when the write failed or the entry changed. */
    async writeBack(record: VersionedRecord<unknown>, modRevision: number): Promise<boolean> {
        const committed = await this.commit({ ...record, previousEditIds: [] }, modRevision, []);
        return committed.unwrapOr(false);
    }

    private findConflict<T>(change: RecordChange<T>, stored: StoredRecord | undefined): ConflictError | undefined {
        if (stored !== undefined) this.table.apply(stored);
        const newest = this.table.get(change.key);
        const isExpectedAbsent = change.expectedVersion === 0 && newest?.value === undefined;
        if (isExpectedAbsent || (newest?.version ?? 0) === change.expectedVersion) return undefined;
        return new ConflictError(
            `${change.key} is at version ${newest?.version ?? 0}, not at ${change.expectedVersion}.`,
            { step: "record.write", peer: KEY_VALUE_SERVICE },
        );
    }

    private createNextVersion<T>(change: RecordChange<T>, stored: StoredRecord | undefined): StoredRecord<T> {
        return {
            key: change.key,
            version: (this.table.get(change.key)?.version ?? 0) + 1,
            nonce: randomUUID(),
            editId: change.editId,
            writtenAtMs: Date.now(),
            previousEditIds: listPreviousEditIds(stored),
            value: change.value,
        };
    }

    private applyAcceptedRecord<T>(record: StoredRecord<T>): VersionedRecord<T> {
        this.table.apply(record);
        return record;
    }

    /** Determines the result of a write whose response was lost or whose comparison failed. */
    private async resolveWrite<T>(
        change: RecordChange<T>,
        record: StoredRecord<T>,
    ): Promise<Result<VersionedRecord<T>, RecordWriteError>> {
        const outcome = await this.readBackOutcome(change.key, change.editId, record.version);
        if (outcome.isErr()) return err(outcome.error);
        if (outcome.value === "accepted") return ok(this.applyAcceptedRecord(record));
        if (outcome.value === "superseded") {
            return err(
                new ConflictError(`${change.key} was changed by another writer.`, {
                    step: "record.write",
                    peer: KEY_VALUE_SERVICE,
                }),
            );
        }
        return err(
            new UnavailableError(`The write of ${change.key} did not take effect.`, {
                step: "record.write",
                peer: KEY_VALUE_SERVICE,
            }),
        );
    }

    /**
     * Reads the record back until the outcome of an edit is certain; an edit without effect is fenced off.
     * A record of at least `version` that does not contain the edit id was written by another process.
     */
    private async readBackOutcome(
        key: string,
        editId: EditId,
        version: number,
    ): Promise<Result<WriteOutcome, UnavailableError | OutcomeUnknownError>> {
        let lastError: unknown;
        for (const delayMs of READ_BACK_DELAYS_MS) {
            await sleep(delayMs);
            const current = await this.readStored(key);
            if (current.isErr()) {
                lastError = current.error;
                continue;
            }
            const { record, modRevision } = current.value;
            if (record !== undefined) this.table.apply(record);
            if (record?.editId === editId || record?.previousEditIds.includes(editId) === true) return ok("accepted");
            const isSuperseded = record !== undefined && record.version >= version;
            const wasFenced = await this.fenceOffEdit(key, record, modRevision);
            if (wasFenced) return ok(isSuperseded ? "superseded" : "not_accepted");
        }
        return err(
            new OutcomeUnknownError(`Whether edit ${editId} of ${key} took effect is not known yet.`, {
                step: "record.read-back",
                peer: KEY_VALUE_SERVICE,
                cause: lastError,
            }),
        );
    }

    /**
     * Rewrites the current record, or writes a deletion marker when there is none, so that the changed revision makes
     * any delayed compare-and-swap fail.
     */
    private async fenceOffEdit(key: string, record: StoredRecord | undefined, modRevision: number): Promise<boolean> {
        const fenceRecord: StoredRecord = record ?? {
            key,
            version: (this.table.get(key)?.version ?? 0) + 1,
            nonce: randomUUID(),
            editId: `fence-${randomUUID()}` as EditId,
            writtenAtMs: Date.now(),
            previousEditIds: [],
            value: undefined,
        };
        const committed = await this.commit(fenceRecord, modRevision, []);
        if (!committed.unwrapOr(false)) return false;
        this.table.apply(fenceRecord);
        return true;
    }

    private async readStored(key: string): Promise<Result<StoredState, KeyValueError>> {
        const entry = await this.store.get(key);
        return entry.andThen(toStoredState);
    }

    private async commit(
        record: StoredRecord,
        modRevision: number,
        extraPuts: readonly Put[],
    ): Promise<Result<boolean, KeyValueError>> {
        const result = await this.store.commit({
            compare: [{ key: record.key, modRevision }],
            puts: [{ key: record.key, value: encodeStoredRecord(record) }, ...extraPuts],
        });
        return result.map(({ succeeded }) => succeeded);
    }
}

function toStoredState(entry: KeyValueEntry | undefined): Result<StoredState, KeyValueError> {
    if (entry === undefined) return ok({ modRevision: 0, record: undefined });
    return parseStoredRecord(entry).map(record => ({ modRevision: entry.modRevision, record }));
}

function toUnavailableError(error: KeyValueError): UnavailableError {
    if (error instanceof UnavailableError) return error;
    return new UnavailableError(error.message, { step: error.step, peer: error.peer, cause: error });
}
