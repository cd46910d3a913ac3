import type { KeyValueEntry, KeyValueStore, Lease, Transaction, WatchEvent } from "@skylarkmill/coordination";
import { UnavailableError } from "@skylarkmill/protocol";
import { errAsync, okAsync } from "neverthrow";
import { EventEmitter, on } from "node:events";

/** A key-value service in this process; `isDown` makes all calls fail. */
export class MemoryStore implements KeyValueStore {
    readonly entries = new Map<string, KeyValueEntry>();
    isDown = false;
    private revision = 0;
    private readonly changes = new EventEmitter();

    get(key: string): ReturnType<KeyValueStore["get"]> {
        return this.answer(this.entries.get(key));
    }

    range(prefix: string): ReturnType<KeyValueStore["range"]> {
        const entries = [...this.entries.values()].filter(entry => entry.key.startsWith(prefix));
        return this.answer({ entries, revision: this.revision });
    }

    commit(transaction: Transaction): ReturnType<KeyValueStore["commit"]> {
        const held = transaction.compare.every(({ key, modRevision }) =>
            (this.entries.get(key)?.modRevision ?? 0) === modRevision
        );
        if (this.isDown || !held) {
            const found = (transaction.readOnFailure ?? []).flatMap(key => this.entries.get(key) ?? []);
            return this.answer({ succeeded: false, revision: this.revision, entries: found });
        }
        for (const { key, value } of transaction.puts) this.put(key, value);
        return this.answer({ succeeded: true, revision: this.revision, entries: [] });
    }

    grantLease(ttlMs: number): ReturnType<KeyValueStore["grantLease"]> {
        return this.answer<Lease>({ leaseId: "1", ttlMs });
    }

    keepLeaseAlive(leaseId: string): ReturnType<KeyValueStore["keepLeaseAlive"]> {
        return this.answer<Lease | undefined>({ leaseId, ttlMs: 1000 });
    }

    revokeLease(): ReturnType<KeyValueStore["revokeLease"]> {
        return this.answer<void>(undefined);
    }

    async *watch(prefix: string, _fromRevision: number, signal: AbortSignal): AsyncIterable<readonly WatchEvent[]> {
        for await (const [event] of on(this.changes, "change", { signal }) as AsyncIterable<[WatchEvent]>) {
            if (event.entry.key.startsWith(prefix)) yield [event];
        }
    }

    put(key: string, value: string): void {
        this.revision += 1;
        const entry = { key, value, modRevision: this.revision };
        this.entries.set(key, entry);
        this.changes.emit("change", { kind: "put", entry } satisfies WatchEvent);
    }

    /** Writes a versioned record as another process would. */
    putRecord(key: string, value: unknown, version = 1): void {
        const record = { version, nonce: `n${version}`, editId: `e${version}`, writtenAtMs: Date.now(), value };
        this.put(key, JSON.stringify({ key, ...record }));
    }

    private answer<T>(value: T) {
        if (this.isDown) return errAsync(new UnavailableError("down", { step: "kv", peer: "memory" }));
        return okAsync<T, UnavailableError>(value);
    }
}
