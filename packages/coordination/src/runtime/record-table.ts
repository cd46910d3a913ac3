import type { RecordListener, RecordReader, VersionedRecord } from "../types/versioned-record.ts";
import { compareStamps, hashStamp, type VersionStamp } from "../utils/record-version.ts";

/** The newest known state of each record; a lower version is never applied. */
export class RecordTable implements RecordReader {
    private readonly records = new Map<string, VersionedRecord<unknown>>();
    private readonly listeners = new Set<{ prefix: string; listener: RecordListener; }>();
    private digestBits = 0n;
    private forks = 0;

    /** Number of times that two records with equal versions and different nonces met. */
    get forkCount(): number {
        return this.forks;
    }

    /** Equal digests mean equal sets of record versions. */
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

    /** True when the table holds a newer state of the record than the stamp. */
    isNewerThan(key: string, stamp: VersionStamp): boolean {
        const held = this.records.get(key);
        return held !== undefined && compareStamps(held, stamp) > 0;
    }

    /** Applies a record unless an equal or newer one is held; returns whether it was applied. */
    apply(record: VersionedRecord<unknown>): boolean {
        const held = this.records.get(record.key);
        if (held !== undefined) {
            if (held.version === record.version && held.nonce !== record.nonce) this.forks += 1;
            if (compareStamps(held, record) >= 0) return false;
            this.digestBits ^= hashStamp(held.key, held);
        }
        this.digestBits ^= hashStamp(record.key, record);
        this.records.set(record.key, record);
        for (const { prefix, listener } of [...this.listeners]) {
            if (record.key.startsWith(prefix)) listener(record);
        }
        return true;
    }
}
