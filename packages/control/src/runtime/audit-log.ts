import { type AuditEntry, auditKeysToDelete, type AuditKind, KEYS } from "@skylarkmill/config";
import type { KeyValueEntry, KeyValueError, KeyValueStore } from "@skylarkmill/coordination";
import { ResultAsync } from "neverthrow";
import { z } from "zod";

export interface AuditQuery {
    /** A section, `grants:<model>`, `drains:<host>`, or one of these with `*` at the end. */
    readonly sections: readonly string[];
    readonly team: string | undefined;
    readonly fromMs: number;
    readonly toMs: number;
    readonly limit: number;
}

export interface AuditResult {
    /** Newest first. */
    readonly entries: readonly AuditEntry[];
    /** More entries match than the limit allows. */
    readonly truncated: boolean;
}

const entrySchema = z.object({
    atMs: z.number(),
    who: z.string(),
    section: z.string(),
    versionBefore: z.number(),
    versionAfter: z.number(),
    editId: z.string(),
    changes: z.array(z.string()),
});

/** Entries read per section or pattern; twice what is kept for one model at 120 models. */
const MAX_ENTRIES_READ = 12_000;

function parseEntry(entry: KeyValueEntry): AuditEntry | undefined {
    try {
        return entrySchema.parse(JSON.parse(entry.value));
    }
    catch {
        return undefined;
    }
}

function rangePrefix(section: string): string {
    return KEYS.auditPrefix + (section.endsWith("*") ? section.slice(0, -1) : `${section}/`);
}

/** Reads and prunes the audit entries in the key-value service. */
export class AuditLog {
    constructor(private readonly store: KeyValueStore) {}

    query(query: AuditQuery): ResultAsync<AuditResult, KeyValueError> {
        return ResultAsync.combine(query.sections.map(section => this.read(section))).map(lists => {
            const matching = lists.flat()
                .filter(entry => entry.atMs >= query.fromMs && entry.atMs <= query.toMs)
                .filter(entry => query.team === undefined || entry.who === query.team)
                .sort((a, b) => b.atMs - a.atMs || b.versionAfter - a.versionAfter);
            return { entries: matching.slice(0, query.limit), truncated: matching.length > query.limit };
        });
    }

    /** Reads the entries of one section, oldest first. */
    read(section: string): ResultAsync<AuditEntry[], KeyValueError> {
        return this.store.range(rangePrefix(section), { limit: MAX_ENTRIES_READ })
            .map(range => range.entries.flatMap(entry => parseEntry(entry) ?? []));
    }

    /** Reads the entry of the change that led to a version. */
    entryOf(section: string, version: number): ResultAsync<AuditEntry | undefined, KeyValueError> {
        return this.store.get(KEYS.audit(section, version))
            .map(entry => (entry === undefined ? undefined : parseEntry(entry)));
    }

    /** Deletes entries beyond the number kept; a failure is made up for after the next change. */
    async prune(kind: AuditKind, section: string, version: number): Promise<void> {
        const deletes = auditKeysToDelete(kind, section, version);
        if (deletes.length > 0) await this.store.commit({ compare: [], puts: [], deletes });
    }
}
