import { type AuditEntry, type AuditKind, KEYS, listExpiredAuditKeys } from "@skylarkmill/config";
import type { KeyValueEntry, KeyValueError, KeyValueStore, Put } from "@skylarkmill/coordination";
import { ResultAsync } from "neverthrow";
import { z } from "zod";

/** Filter of audit entries. */
export interface AuditQuery {
    /** Section names, `grants:<model>` or `drains:<host>`; a trailing `*` matches any remainder. */
    readonly sections: readonly string[];
    /** Only entries of changes by this team or process. */
    readonly team: string | undefined;
    readonly fromMs: number;
    readonly toMs: number;
    /** Maximum number of entries in the result. */
    readonly limit: number;
}

/** Result of an audit query. */
export interface AuditResult {
    /** Newest first. */
    readonly entries: readonly AuditEntry[];
    /** Whether more entries match than the limit allows. */
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

/** Maximum number of entries read per section or pattern: twice the 50 kept per model, for 120 models. */
const MAX_ENTRIES_READ = 12_000;

/** Parses a stored audit entry; returns undefined for an invalid one. */
function parseEntry(entry: KeyValueEntry): AuditEntry | undefined {
    try {
        return entrySchema.parse(JSON.parse(entry.value));
    }
    catch {
        return undefined;
    }
}

function toKeyPrefix(nameOrPattern: string): string {
    return KEYS.auditPrefix + (nameOrPattern.endsWith("*") ? nameOrPattern.slice(0, -1) : `${nameOrPattern}/`);
}

/** Time for which a process retains an entry that it wrote, to restore it if the key-value service loses data. */
const RESTORABLE_AGE_MS = 600_000;
/** Maximum number of entries that a process retains for this purpose. */
const MAX_RESTORABLE_PUTS = 100;

interface RestorablePut extends Put {
    readonly atMs: number;
}

const auditLogs = new WeakMap<KeyValueStore, AuditLog>();

/**
 * Returns the audit log for a connection to the key-value service. All users of the connection share one log, so that
 * the check for lost entries covers the entries that any of them wrote.
 *
 * @example
 * const entries = await getAuditLog(store).readEntries("parts");
 */
export function getAuditLog(store: KeyValueStore): AuditLog {
    const log = auditLogs.get(store) ?? new AuditLog(store);
    auditLogs.set(store, log);
    return log;
}

/** Reads, restores and deletes the audit entries in the key-value service. */
export class AuditLog {
    private restorablePuts: readonly RestorablePut[] = [];

    constructor(private readonly store: KeyValueStore) {}

    /** Retains written entries, so that they can be restored if the key-value service returns with older data. */
    private retain(puts: readonly Put[]): void {
        const atMs = Date.now();
        const fresh = puts.map(put => ({ ...put, atMs }));
        this.restorablePuts = [...this.restorablePuts, ...fresh].slice(-MAX_RESTORABLE_PUTS);
    }

    /**
     * Writes back the retained entries that the key-value service no longer has and returns their number. The first
     * transaction writes the newest entry if its key is absent and otherwise reads the keys of all retained entries, so
     * one transaction suffices when none is missing.
     */
    async restoreLostEntries(): Promise<number> {
        const oldestAtMs = Date.now() - RESTORABLE_AGE_MS;
        this.restorablePuts = this.restorablePuts.filter(put => put.atMs >= oldestAtMs);
        const newest = this.restorablePuts.at(-1);
        if (newest === undefined) return 0;
        const checked = await this.putAbsent(newest, this.restorablePuts.map(put => put.key));
        if (checked.isErr()) return 0;
        if (checked.value.succeeded) return 1 + await this.restoreLostEntries();
        const present = new Set(checked.value.entries.map(entry => entry.key));
        let restoredCount = 0;
        for (const put of this.restorablePuts.filter(({ key }) => !present.has(key))) {
            if ((await this.putAbsent(put)).map(({ succeeded }) => succeeded).unwrapOr(false)) restoredCount += 1;
        }
        return restoredCount;
    }

    /** Writes an entry only if its key is absent. */
    private putAbsent({ key, value }: Put, readOnFailure: readonly string[] = []) {
        return this.store.commit({ compare: [{ key, modRevision: 0 }], puts: [{ key, value }], readOnFailure });
    }

    /** Returns the entries that match a query, newest first. */
    findEntries(query: AuditQuery): ResultAsync<AuditResult, KeyValueError> {
        return ResultAsync.combine(query.sections.map(section => this.readEntries(section))).map(lists => {
            const matching = lists.flat()
                .filter(entry => entry.atMs >= query.fromMs && entry.atMs <= query.toMs)
                .filter(entry => query.team === undefined || entry.who === query.team)
                .sort((a, b) => b.atMs - a.atMs || b.versionAfter - a.versionAfter);
            return { entries: matching.slice(0, query.limit), truncated: matching.length > query.limit };
        });
    }

    /** Reads the entries of one audited name, or of all that match a pattern; oldest first per audited name. */
    readEntries(nameOrPattern: string): ResultAsync<AuditEntry[], KeyValueError> {
        return this.store.range(toKeyPrefix(nameOrPattern), { limit: MAX_ENTRIES_READ })
            .map(range => range.entries.flatMap(entry => parseEntry(entry) ?? []));
    }

    /** Reads the entry of the change that created a version. */
    readEntry(auditedName: string, version: number): ResultAsync<AuditEntry | undefined, KeyValueError> {
        return this.store.get(KEYS.audit(auditedName, version))
            .map(entry => (entry === undefined ? undefined : parseEntry(entry)));
    }

    /**
     * Retains the audit entries of a change, so that they can be restored if the key-value service loses them, and
     * deletes the stored entries beyond `MAX_AUDIT_ENTRIES`. Call this after each successful write.
     */
    async retainAndPrune(
        kind: AuditKind,
        auditedName: string,
        version: number,
        puts: readonly Put[] = [],
    ): Promise<void> {
        this.retain(puts);
        await this.prune(kind, auditedName, version);
    }

    /** Deletes entries beyond `MAX_AUDIT_ENTRIES`. What a failed deletion leaves, later changes delete. */
    private async prune(kind: AuditKind, auditedName: string, version: number): Promise<void> {
        const deletes = listExpiredAuditKeys(kind, auditedName, version);
        this.restorablePuts = this.restorablePuts.filter(put => !deletes.includes(put.key));
        if (deletes.length > 0) await this.store.commit({ compare: [], puts: [], deletes });
    }
}
