import { type AuditEntry, auditKeysToDelete, type AuditKind, KEYS } from "@skylarkmill/config";
import type { KeyValueEntry, KeyValueError, KeyValueStore, Put } from "@skylarkmill/coordination";
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

/** How long and how many entries a process can write back after the service returned with older data. */
const REMEMBER_MS = 600_000;
const MAX_REMEMBERED = 100;

interface RememberedPut extends Put {
    readonly atMs: number;
}

const logs = new WeakMap<KeyValueStore, AuditLog>();

/**
 * The audit log over one connection to the key-value service. All users of a connection share it, so
 * that the entries of each are written back when they are lost.
 *
 * @example
 * const entries = await auditLogOf(store).read("parts");
 */
export function auditLogOf(store: KeyValueStore): AuditLog {
    const log = logs.get(store) ?? new AuditLog(store);
    logs.set(store, log);
    return log;
}

/** Reads, prunes and restores the audit entries in the key-value service. */
export class AuditLog {
    private remembered: readonly RememberedPut[] = [];

    constructor(private readonly store: KeyValueStore) {}

    /** Keeps entries that were written, in case the service returns with older data. */
    private remember(puts: readonly Put[]): void {
        const atMs = Date.now();
        const fresh = puts.map(put => ({ ...put, atMs }));
        this.remembered = [...this.remembered, ...fresh].slice(-MAX_REMEMBERED);
    }

    /** Writes remembered entries back that the service no longer has; one call while nothing is missing. */
    async restoreLost(): Promise<number> {
        const keptSinceMs = Date.now() - REMEMBER_MS;
        this.remembered = this.remembered.filter(put => put.atMs >= keptSinceMs);
        const newest = this.remembered.at(-1);
        if (newest === undefined) return 0;
        const checked = await this.putAbsent(newest, this.remembered.map(put => put.key));
        if (checked.isErr()) return 0;
        if (checked.value.succeeded) return 1 + await this.restoreLost();
        const present = new Set(checked.value.entries.map(entry => entry.key));
        let restoredCount = 0;
        for (const put of this.remembered.filter(({ key }) => !present.has(key))) {
            if ((await this.putAbsent(put)).map(({ succeeded }) => succeeded).unwrapOr(false)) restoredCount += 1;
        }
        return restoredCount;
    }

    private putAbsent({ key, value }: Put, readOnFailure: readonly string[] = []) {
        return this.store.commit({ compare: [{ key, modRevision: 0 }], puts: [{ key, value }], readOnFailure });
    }

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

    /** Called after each change: remembers its entries and deletes those beyond the number kept. */
    async written(kind: AuditKind, section: string, version: number, puts: readonly Put[] = []): Promise<void> {
        this.remember(puts);
        await this.prune(kind, section, version);
    }

    /** Deletes entries beyond the number kept; a failure is made up for after the next change. */
    private async prune(kind: AuditKind, section: string, version: number): Promise<void> {
        const deletes = auditKeysToDelete(kind, section, version);
        this.remembered = this.remembered.filter(put => !deletes.includes(put.key));
        if (deletes.length > 0) await this.store.commit({ compare: [], puts: [], deletes });
    }
}
