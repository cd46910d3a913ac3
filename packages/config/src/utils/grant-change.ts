import type { RecordChange, VersionedRecord } from "@skylarkmill/coordination";
import { type EditId, type ModelId, toId } from "@skylarkmill/protocol";
import { randomUUID } from "node:crypto";
import { type Grant, type GrantRecord, KEYS } from "../types/records.ts";
import { createAuditPut, toAuditedName } from "./audit.ts";

function describeGrant(grant: Grant | undefined): string {
    if (grant === undefined) return "(absent)";
    return grant.revoking ? "revoking" : "granted";
}

function diffGrants(before: GrantRecord | undefined, after: GrantRecord): string[] {
    const old = new Map((before?.grants ?? []).map(grant => [grant.grantId, grant]));
    const current = new Map(after.grants.map(grant => [grant.grantId, grant]));
    const lines = [...new Set([...old.keys(), ...current.keys()])].flatMap(grantId => {
        const [oldGrant, newGrant] = [old.get(grantId), current.get(grantId)];
        const serverId = (oldGrant ?? newGrant)?.serverId;
        const [from, to] = [describeGrant(oldGrant), describeGrant(newGrant)];
        return from === to ? [] : [`grants.${serverId}.${grantId}: ${from} -> ${to}`];
    });
    const [oldCount, newCount] = [before?.decided?.replicas, after.decided?.replicas];
    return oldCount === newCount
        ? lines
        : [...lines, `decided: ${oldCount ?? "(absent)"} -> ${newCount ?? "(absent)"}`];
}

/**
 * Builds the write that changes a model's grants and adds an audit entry in the same transaction.
 *
 * @example
 * records.write(createGrantChange(record, modelId, { ...record.value, grants: [] }, "agent-3", ["unloaded"]));
 */
export function createGrantChange(
    record: VersionedRecord<GrantRecord> | undefined,
    modelId: ModelId,
    value: GrantRecord,
    who: string,
    reasons: readonly string[],
): RecordChange<GrantRecord> {
    const expectedVersion = record?.version ?? 0;
    const editId = toId<EditId>(randomUUID());
    const entry = {
        atMs: Date.now(),
        who,
        section: toAuditedName("grants", modelId),
        versionBefore: expectedVersion,
        versionAfter: expectedVersion + 1,
        editId,
        changes: [...diffGrants(record?.value, value), ...reasons.map(reason => `reason: ${reason}`)],
    };
    return { key: KEYS.grants(modelId), expectedVersion, value, editId, extraPuts: [createAuditPut(entry)] };
}
