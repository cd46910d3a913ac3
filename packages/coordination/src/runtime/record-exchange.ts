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

const toWireMessage = (record: VersionedRecord<unknown>) => create(VersionedRecordSchema, toWireRecord(record));

/** Lists the versions of all records of a table. */
export function listVersions(table: RecordTable): RecordVersion[] {
    return table.all().map(({ key, version, nonce }) =>
        create(RecordVersionSchema, { key, version: BigInt(version), nonce })
    );
}

/** Applies records from a peer and skips malformed ones. Returns the records that were newer. */
export function applyWireRecords(table: RecordTable, records: readonly WireRecord[]): VersionedRecord<unknown>[] {
    return records.flatMap(wire => {
        const record = fromWireRecord(wire).unwrapOr(undefined);
        return record !== undefined && table.apply(record) ? [record] : [];
    });
}

/**
 * Responds to a peer's exchange request. If the digests are equal, the response only says so. Otherwise the response
 * to a request without versions contains this table's versions, and the response to a request with versions contains
 * the newer records and the keys of the records wanted from the peer.
 */
export function respondToExchange(table: RecordTable, request: ExchangeRequest): ExchangeResponse {
    if (request.digest === table.digest) return create(ExchangeResponseSchema, { same: true });
    if (!request.hasVersions) return create(ExchangeResponseSchema, { versions: listVersions(table) });
    const peerVersions = new Map(request.versions.map(version => [version.key, version]));
    const newer = table.all().filter(record => {
        const peerVersion = peerVersions.get(record.key);
        return peerVersion === undefined || table.isNewerThan(record.key, toVersionStamp(peerVersion));
    });
    const wanted = request.versions.filter(version => isPeerVersionNewer(table, version)).map(version => version.key);
    return create(ExchangeResponseSchema, { newer: newer.map(toWireMessage), wanted });
}

/** Exchanges newer records with one peer in both directions; returns the records that were newer at the peer. */
export async function exchangeWithPeer(
    table: RecordTable,
    processId: ProcessId,
    peer: RecordPeer,
): Promise<VersionedRecord<unknown>[]> {
    const digestResponse = await peer.exchange(create(ExchangeRequestSchema, { processId, digest: table.digest }));
    if (digestResponse.same) return [];
    const versionsResponse = await peer.exchange(
        create(ExchangeRequestSchema, {
            processId,
            digest: table.digest,
            hasVersions: true,
            versions: listVersions(table),
        }),
    );
    const applied = applyWireRecords(table, versionsResponse.newer);
    const wanted = versionsResponse.wanted.flatMap(key => table.get(key) ?? []);
    if (wanted.length > 0) {
        await peer.push(create(PushRequestSchema, { processId, records: wanted.map(toWireMessage), hops: 0 }));
    }
    return applied;
}

/** Pushes records to one peer; `hops` is the number of times they were already forwarded. */
export async function pushToPeer(
    records: readonly VersionedRecord<unknown>[],
    processId: ProcessId,
    hops: number,
    peer: RecordPeer,
): Promise<void> {
    await peer.push(create(PushRequestSchema, { processId, records: records.map(toWireMessage), hops }));
}

function toVersionStamp(version: RecordVersion) {
    return { version: Number(version.version), nonce: version.nonce };
}

function isPeerVersionNewer(table: RecordTable, peerVersion: RecordVersion): boolean {
    const current = table.get(peerVersion.key);
    if (current === undefined) return true;
    const { version: versionNumber, nonce } = toVersionStamp(peerVersion);
    return versionNumber > current.version || (versionNumber === current.version && nonce > current.nonce);
}
