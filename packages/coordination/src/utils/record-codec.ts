import { type EditId, ProtocolError, toId, type VersionedRecord as WireRecord } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import type { KeyValueEntry } from "../types/key-value-store.ts";
import type { VersionedRecord } from "../types/versioned-record.ts";

const storedRecordSchema = z.object({
    version: z.int().positive(),
    nonce: z.string(),
    editId: z.string(),
    writtenAtMs: z.int(),
    previousEditIds: z.array(z.string()).default([]),
    value: z.unknown().optional(),
});

/** A record as stored in the key-value service. */
export interface StoredRecord<T = unknown> extends VersionedRecord<T> {
    /** Ids of earlier edits, newest first, so that a lost response can be resolved after later edits. */
    readonly previousEditIds: readonly string[];
}

const MAX_PREVIOUS_EDIT_IDS = 16;

/**
 * Returns the previous edit ids for the record's next version: the record's edit id, followed by the most recent of its
 * previous edit ids.
 */
export function listPreviousEditIds(record: StoredRecord | undefined): readonly string[] {
    return record === undefined ? [] : [record.editId, ...record.previousEditIds].slice(0, MAX_PREVIOUS_EDIT_IDS);
}

/** Serializes a record as the value of its key; the key itself is not part of the value. */
export function encodeStoredRecord(record: StoredRecord): string {
    const { version, nonce, editId, writtenAtMs, previousEditIds, value } = record;
    return JSON.stringify({ version, nonce, editId, writtenAtMs, previousEditIds, value });
}

/** Parses the record in an entry of the key-value service. */
export function parseStoredRecord(entry: KeyValueEntry): Result<StoredRecord, ProtocolError> {
    try {
        const stored = storedRecordSchema.parse(JSON.parse(entry.value));
        return ok({ ...stored, key: entry.key, editId: toId<EditId>(stored.editId), value: stored.value });
    }
    catch (cause) {
        return err(
            new ProtocolError(`The value of ${entry.key} is not a versioned record.`, {
                step: "record.parse",
                peer: "key-value-service",
                cause,
            }),
        );
    }
}

type WireFields = Omit<WireRecord, "$typeName">;

/** Converts a record to a peer message; an empty value marks a deletion. */
export function toWireRecord(record: VersionedRecord<unknown>): WireFields {
    return {
        key: record.key,
        version: BigInt(record.version),
        nonce: record.nonce,
        editId: record.editId,
        writtenAtMs: BigInt(record.writtenAtMs),
        value: record.value === undefined ? new Uint8Array() : Buffer.from(JSON.stringify(record.value)),
    };
}

/** Converts a peer message to a record. */
export function fromWireRecord(wire: WireFields): Result<VersionedRecord<unknown>, ProtocolError> {
    try {
        const value: unknown = wire.value.length === 0
            ? undefined
            : JSON.parse(Buffer.from(wire.value).toString("utf8"));
        return ok({
            key: wire.key,
            version: Number(wire.version),
            nonce: wire.nonce,
            editId: toId<EditId>(wire.editId),
            writtenAtMs: Number(wire.writtenAtMs),
            value,
        });
    }
    catch (cause) {
        return err(
            new ProtocolError(`A peer sent a malformed value for record ${wire.key}.`, {
                step: "record.decode",
                peer: "unknown",
                cause,
            }),
        );
    }
}
