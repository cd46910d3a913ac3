import type { Put } from "@skylarkmill/coordination";
import { type AuditEntry, KEYS } from "../types/records.ts";

/** Entries kept per audited record; older ones are deleted with later changes. */
export const AUDIT_KEEP = { config: 1_000, grants: 50, drains: 50 } as const;

export type AuditKind = keyof typeof AUDIT_KEEP;

/**
 * Longest list of changes in one entry. An entry is written in the transaction of its section, which
 * may take 1 MB, and the key-value service bounds the size of a transaction.
 */
const MAX_CHANGES_BYTES = 32_000;
/** Deleted per change, so that a deletion which was lost is made up for by the next ones. */
const PRUNE_SPAN = 8;

/**
 * Name under which changes are audited: the section itself, or `grants:<model>` and `drains:<host>`.
 * A colon can't stand in a section's name.
 *
 * @example
 * auditSection("grants", "bench-diagnosis-01"); // "grants:bench-diagnosis-01"
 */
export function auditSection(kind: AuditKind, name: string): string {
    return kind === "config" ? name : `${kind}:${name}`;
}

function boundChanges(changes: readonly string[]): readonly string[] {
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
 * Builds the write of an audit entry, for the transaction of the change itself.
 *
 * @example
 * records.write({ ...change, extraPuts: [auditPut(entry)] });
 */
export function auditPut(entry: AuditEntry): Put {
    return {
        key: KEYS.audit(entry.section, entry.versionAfter),
        value: JSON.stringify({ ...entry, changes: boundChanges(entry.changes) }),
    };
}

/**
 * Keys of audit entries that a change makes obsolete.
 *
 * @example
 * auditKeysToDelete("grants", "grants:bench-diagnosis-01", 51); // the key of version 1
 */
export function auditKeysToDelete(kind: AuditKind, section: string, version: number): readonly string[] {
    const newest = version - AUDIT_KEEP[kind];
    const count = Math.max(0, Math.min(PRUNE_SPAN, newest));
    return Array.from({ length: count }, (_, index) => KEYS.audit(section, newest - index));
}
