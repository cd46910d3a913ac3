import { ConflictError, type EditId, OutcomeUnknownError, UnavailableError } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import type { KeyValueEntry, KeyValueError, KeyValueStore, Put } from "../types/key-value-store.ts";
import type { EditOutcome, RecordChange, RecordWriteError } from "../types/record-store.ts";
import type { VersionedRecord } from "../types/versioned-record.ts";
import { encodeStoredRecord, parseStoredRecord, type StoredRecord, toPreviousEditIds } from "../utils/record-codec.ts";
import { sleep } from "../utils/sleep.ts";
import type { RecordTable } from "./record-table.ts";

const SERVICE = "key-value-service";
/** Attempts to read back a write whose answer was lost; together they span about 1.5 s. */
const READ_BACK_DELAYS_MS = [0, 100, 400, 1000];

interface Current {
    readonly modRevision: number;
    readonly record: StoredRecord | undefined;
}

type LostAnswer = "accepted" | "not_accepted" | "superseded";

/** Writes versioned records by compare-and-swap and resolves lost answers. */
export class RecordWriter {
    constructor(private readonly store: KeyValueStore, private readonly table: RecordTable) {}

    async write<T>(change: RecordChange<T>): Promise<Result<VersionedRecord<T>, RecordWriteError>> {
        const current = await this.read(change.key);
        if (current.isErr()) return err(toUnavailable(current.error));
        const conflict = this.findConflict(change, current.value.record);
        if (conflict !== undefined) return err(conflict);

        const record = this.createSuccessor(change, current.value.record);
        const committed = await this.commit(record, current.value.modRevision, change.extraPuts ?? []);
        if (committed.isErr()) {
            if (committed.error instanceof OutcomeUnknownError) return this.settle(change, record);
            return err(toUnavailable(committed.error));
        }
        if (committed.value) return ok(this.accept(record));
        // A retry below the client, such as one by a proxy, may have applied this very edit already.
        return this.settle(change, record);
    }

    async resolveEdit(
        key: string,
        editId: EditId,
    ): Promise<Result<EditOutcome, UnavailableError | OutcomeUnknownError>> {
        const outcome = await this.resolve(key, editId, Infinity);
        return outcome.map(value => (value === "accepted" ? "accepted" : "not_accepted"));
    }

    /** Writes a newer record back over an older one; returns false when another writer came first. */
    async repair(record: VersionedRecord<unknown>, modRevision: number): Promise<boolean> {
        const committed = await this.commit({ ...record, previousEditIds: [] }, modRevision, []);
        return committed.unwrapOr(false);
    }

    private findConflict<T>(change: RecordChange<T>, stored: StoredRecord | undefined): ConflictError | undefined {
        if (stored !== undefined) this.table.apply(stored);
        const newest = this.table.get(change.key);
        const expectsNone = change.expectedVersion === 0 && newest?.value === undefined;
        if (expectsNone || (newest?.version ?? 0) === change.expectedVersion) return undefined;
        return new ConflictError(
            `${change.key} is at version ${newest?.version ?? 0}, not at ${change.expectedVersion}.`,
            { step: "record.write", peer: SERVICE },
        );
    }

    private createSuccessor<T>(change: RecordChange<T>, stored: StoredRecord | undefined): StoredRecord<T> {
        return {
            key: change.key,
            version: (this.table.get(change.key)?.version ?? 0) + 1,
            nonce: randomUUID(),
            editId: change.editId,
            writtenAtMs: Date.now(),
            previousEditIds: toPreviousEditIds(stored),
            value: change.value,
        };
    }

    private accept<T>(record: StoredRecord<T>): VersionedRecord<T> {
        this.table.apply(record);
        return record;
    }

    private async settle<T>(
        change: RecordChange<T>,
        record: StoredRecord<T>,
    ): Promise<Result<VersionedRecord<T>, RecordWriteError>> {
        const outcome = await this.resolve(change.key, change.editId, record.version);
        if (outcome.isErr()) return err(outcome.error);
        if (outcome.value === "accepted") return ok(this.accept(record));
        if (outcome.value === "superseded") {
            return err(
                new ConflictError(`${change.key} was changed by another writer.`, {
                    step: "record.write",
                    peer: SERVICE,
                }),
            );
        }
        return err(
            new UnavailableError(`The write of ${change.key} did not take effect.`, {
                step: "record.write",
                peer: SERVICE,
            }),
        );
    }

    /**
     * Reads back until the outcome is certain; an edit without effect is fenced off.
     * A record of at least `version` with another edit id was written by another process.
     */
    private async resolve(
        key: string,
        editId: EditId,
        version: number,
    ): Promise<Result<LostAnswer, UnavailableError | OutcomeUnknownError>> {
        let lastError: unknown;
        for (const delayMs of READ_BACK_DELAYS_MS) {
            await sleep(delayMs);
            const current = await this.read(key);
            if (current.isErr()) {
                lastError = current.error;
                continue;
            }
            const { record, modRevision } = current.value;
            if (record !== undefined) this.table.apply(record);
            if (record?.editId === editId || record?.previousEditIds.includes(editId) === true) return ok("accepted");
            const superseded = record !== undefined && record.version >= version;
            const fenced = await this.fence(key, record, modRevision);
            if (fenced) return ok(superseded ? "superseded" : "not_accepted");
        }
        return err(
            new OutcomeUnknownError(`Whether edit ${editId} of ${key} took effect is not known yet.`, {
                step: "record.read-back",
                peer: SERVICE,
                cause: lastError,
            }),
        );
    }

    /** Rewrites the same content: its new revision makes any delayed compare-and-swap fail. */
    private async fence(key: string, record: StoredRecord | undefined, modRevision: number): Promise<boolean> {
        const content: StoredRecord = record ?? {
            key,
            version: (this.table.get(key)?.version ?? 0) + 1,
            nonce: randomUUID(),
            editId: `fence-${randomUUID()}` as EditId,
            writtenAtMs: Date.now(),
            previousEditIds: [],
            value: undefined,
        };
        const committed = await this.commit(content, modRevision, []);
        if (!committed.unwrapOr(false)) return false;
        this.table.apply(content);
        return true;
    }

    private async read(key: string): Promise<Result<Current, KeyValueError>> {
        const entry = await this.store.get(key);
        return entry.andThen(toCurrent);
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

function toCurrent(entry: KeyValueEntry | undefined): Result<Current, KeyValueError> {
    if (entry === undefined) return ok({ modRevision: 0, record: undefined });
    return parseStoredRecord(entry).map(record => ({ modRevision: entry.modRevision, record }));
}

function toUnavailable(error: KeyValueError): UnavailableError {
    if (error instanceof UnavailableError) return error;
    return new UnavailableError(error.message, { step: error.step, peer: error.peer, cause: error });
}
