import type { Put } from "@skylarkmill/coordination";
import { type AuditEntry, KEYS } from "../types/records.ts";

/** Number of audit entries kept per audited record; each change deletes the entries beyond it. */
export const MAX_AUDIT_ENTRIES = { config: 1_000, grants: 50, drains: 50 } as const;

export type AuditKind = keyof typeof MAX_AUDIT_ENTRIES;

/**
 * Maximum size of the list of changes in one entry. An entry is written in the same transaction as its section,
 * which may take 1 MB, and the key-value service limits the size of a transaction.
 */
const MAX_CHANGES_BYTES = 32_000;
/** Entries deleted per change. More than one, so that later changes also delete what a failed deletion left. */
const MAX_DELETES_PER_CHANGE = 8;

/**
 * Returns the name under which changes are audited: the section's name, `grants:<model>` or `drains:<host>`.
 * A section's name can't contain a colon, so the three forms can't collide.
 *
 * @example
 * toAuditedName("grants", "bench-diagnosis-01"); // "grants:bench-diagnosis-01"
 */
export function toAuditedName(kind: AuditKind, name: string): string {
    return kind === "config" ? name : `${kind}:${name}`;
}

function truncateChanges(changes: readonly string[]): readonly string[] {
    let sizeBytes = 0;
    for (const [index, line] of changes.entries()) {
        sizeBytes += Buffer.byteLength(line);
        if (sizeBytes > MAX_CHANGES_BYTES) {
            return [...changes.slice(0, index), `... and ${changes.length - index} more changes`];
        }
    }
    return changes;
}

/**
 * Builds the put that writes an audit entry; it belongs in the same transaction as the change.
 *
 * @example
 * records.write({ ...change, extraPuts: [createAuditPut(entry)] });
 */
export function createAuditPut(entry: AuditEntry): Put {
    return {
        key: KEYS.audit(entry.section, entry.versionAfter),
        value: JSON.stringify({ ...entry, changes: truncateChanges(entry.changes) }),
    };
}

/**
 * Returns the keys of the audit entries to delete after a change, since they are beyond the number kept.
 *
 * @example
 * listExpiredAuditKeys("grants", "grants:bench-diagnosis-01", 51); // the key of version 1
 */
export function listExpiredAuditKeys(kind: AuditKind, auditedName: string, version: number): readonly string[] {
    const newestExpiredVersion = version - MAX_AUDIT_ENTRIES[kind];
    const count = Math.max(0, Math.min(MAX_DELETES_PER_CHANGE, newestExpiredVersion));
    return Array.from({ length: count }, (_, index) => KEYS.audit(auditedName, newestExpiredVersion - index));
}
