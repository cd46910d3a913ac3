import { KEYS } from "@skylarkmill/config";
import type { RecordListener, RecordReader, VersionedRecord } from "@skylarkmill/coordination";
import { type EditId, toId } from "@skylarkmill/protocol";

/** In-memory records that the test changes directly. */
export class FakeRecords implements RecordReader {
    private readonly records = new Map<string, VersionedRecord<unknown>>();
    private readonly listeners = new Set<{ readonly prefix: string; readonly listener: RecordListener; }>();

    apply(key: string, value: unknown): void {
        const version = (this.records.get(key)?.version ?? 0) + 1;
        const record = { key, version, nonce: "n", editId: toId<EditId>("e"), writtenAtMs: 0, value };
        this.records.set(key, record);
        for (const { prefix, listener } of this.listeners) if (key.startsWith(prefix)) listener(record);
    }

    applySections(sections: Iterable<readonly [string, unknown]>): void {
        for (const [name, section] of sections) this.apply(KEYS.config(name), section);
    }

    get<T>(key: string): VersionedRecord<T> | undefined {
        return this.records.get(key) as VersionedRecord<T> | undefined;
    }

    list<T>(prefix: string): readonly VersionedRecord<T>[] {
        const keys = [...this.records.keys()].filter(key => key.startsWith(prefix)).sort();
        return keys.map(key => this.records.get(key) as VersionedRecord<T>);
    }

    subscribe(prefix: string, listener: RecordListener): () => void {
        const entry = { prefix, listener };
        this.listeners.add(entry);
        return () => this.listeners.delete(entry);
    }
}
