import { create } from "@bufbuild/protobuf";
import {
    type ExchangeRequest,
    ExchangeRequestSchema,
    type ExchangeResponse,
    ExchangeResponseSchema,
    type ProcessId,
    PushRequestSchema,
    type RecordVersion,
    RecordVersionSchema,
    type VersionedRecord as WireRecord,
    VersionedRecordSchema,
} from "@skylarkmill/protocol";
import type { RecordPeer } from "../types/record-store.ts";
import type { VersionedRecord } from "../types/versioned-record.ts";
import { fromWireRecord, toWireRecord } from "../utils/record-codec.ts";
import type { RecordTable } from "./record-table.ts";

const toWire = (record: VersionedRecord<unknown>) => create(VersionedRecordSchema, toWireRecord(record));

/** Lists the versions of all records of a table. */
export function listVersions(table: RecordTable): RecordVersion[] {
    return table.all().map(({ key, version, nonce }) =>
        create(RecordVersionSchema, { key, version: BigInt(version), nonce })
    );
}

/** Applies records from a peer; malformed ones are left out. Returns those that were new. */
export function applyWireRecords(table: RecordTable, records: readonly WireRecord[]): VersionedRecord<unknown>[] {
    return records.flatMap(wire => {
        const record = fromWireRecord(wire).unwrapOr(undefined);
        return record !== undefined && table.apply(record) ? [record] : [];
    });
}

/** Answers a peer's exchange: first by digest, then by the peer's list of versions. */
export function answerExchange(table: RecordTable, request: ExchangeRequest): ExchangeResponse {
    if (request.digest === table.digest) return create(ExchangeResponseSchema, { same: true });
    if (!request.hasVersions) return create(ExchangeResponseSchema, { versions: listVersions(table) });
    const theirs = new Map(request.versions.map(version => [version.key, version]));
    const newer = table.all().filter(record => {
        const other = theirs.get(record.key);
        return other === undefined || table.isNewerThan(record.key, toStamp(other));
    });
    const wanted = request.versions.filter(version => isOlderHere(table, version)).map(version => version.key);
    return create(ExchangeResponseSchema, { newer: newer.map(toWire), wanted });
}

/** Compares records with one peer in both directions; returns the records that were new here. */
export async function exchangeWithPeer(
    table: RecordTable,
    processId: ProcessId,
    peer: RecordPeer,
): Promise<VersionedRecord<unknown>[]> {
    const first = await peer.exchange(create(ExchangeRequestSchema, { processId, digest: table.digest }));
    if (first.same) return [];
    const second = await peer.exchange(
        create(ExchangeRequestSchema, {
            processId,
            digest: table.digest,
            hasVersions: true,
            versions: listVersions(table),
        }),
    );
    const applied = applyWireRecords(table, second.newer);
    const wanted = second.wanted.flatMap(key => table.get(key) ?? []);
    if (wanted.length > 0) {
        await peer.push(create(PushRequestSchema, { processId, records: wanted.map(toWire), hops: 0 }));
    }
    return applied;
}

/** Sends records to one peer. */
export async function pushToPeer(
    records: readonly VersionedRecord<unknown>[],
    processId: ProcessId,
    hops: number,
    peer: RecordPeer,
): Promise<void> {
    await peer.push(create(PushRequestSchema, { processId, records: records.map(toWire), hops }));
}

function toStamp(version: RecordVersion) {
    return { version: Number(version.version), nonce: version.nonce };
}

function isOlderHere(table: RecordTable, version: RecordVersion): boolean {
    const held = table.get(version.key);
    if (held === undefined) return true;
    const { version: number, nonce } = toStamp(version);
    return number > held.version || (number === held.version && nonce > held.nonce);
}
