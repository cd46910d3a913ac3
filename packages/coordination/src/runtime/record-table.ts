import type { RecordListener, RecordReader, VersionedRecord } from "../types/versioned-record.ts";
import { compareVersionStamps, hashVersionStamp, type VersionStamp } from "../utils/record-version.ts";

/** Holds the newest known state of each record; an older state is never applied. */
export class RecordTable implements RecordReader {
    private readonly records = new Map<string, VersionedRecord<unknown>>();
    private readonly listeners = new Set<{ prefix: string; listener: RecordListener; }>();
    private digestBits = 0n;
    private equalVersionConflicts = 0;

    /** Number of times that a record arrived with the same version as the current one but another nonce. */
    get equalVersionConflictCount(): number {
        return this.equalVersionConflicts;
    }

    /** Digest of all record versions; tables with equal digests hold the same versions. */
    get digest(): string {
        return this.digestBits.toString(16);
    }

    get<T>(key: string): VersionedRecord<T> | undefined {
        return this.records.get(key) as VersionedRecord<T> | undefined;
    }

    list<T>(prefix: string): readonly VersionedRecord<T>[] {
        return this.all().filter(record => record.key.startsWith(prefix)) as VersionedRecord<T>[];
    }

    all(): readonly VersionedRecord<unknown>[] {
        return [...this.records.values()];
    }

    subscribe(prefix: string, listener: RecordListener): () => void {
        const entry = { prefix, listener };
        this.listeners.add(entry);
        return () => this.listeners.delete(entry);
    }

    /** Returns whether the table holds a newer state of the record than the stamp. */
    isNewerThan(key: string, stamp: VersionStamp): boolean {
        const current = this.records.get(key);
        return current !== undefined && compareVersionStamps(current, stamp) > 0;
    }

    /** Applies a record unless the table holds an equal or newer state; returns whether it was applied. */
    apply(record: VersionedRecord<unknown>): boolean {
        const current = this.records.get(record.key);
        if (current !== undefined) {
            if (current.version === record.version && current.nonce !== record.nonce) this.equalVersionConflicts += 1;
            if (compareVersionStamps(current, record) >= 0) return false;
            this.digestBits ^= hashVersionStamp(current.key, current);
        }
        this.digestBits ^= hashVersionStamp(record.key, record);
        this.records.set(record.key, record);
        for (const { prefix, listener } of [...this.listeners]) {
            if (record.key.startsWith(prefix)) listener(record);
        }
        return true;
    }
}
