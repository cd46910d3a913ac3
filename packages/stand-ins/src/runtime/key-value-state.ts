/** Value and metadata of one stored key. */
export interface StoredValue {
    readonly value: string;
    readonly createRevision: number;
    readonly modRevision: number;
    readonly version: number;
    readonly leaseId: string | undefined;
}

export interface KeyValueEvent {
    readonly kind: "put" | "delete";
    readonly key: string;
    readonly storedValue: StoredValue | undefined;
    readonly revision: number;
}

export type KeyValueWrite =
    | { readonly kind: "put"; readonly key: string; readonly value: string; readonly leaseId: string | undefined; }
    | { readonly kind: "delete"; readonly key: string; readonly rangeEnd: string | undefined; };

export interface StateSnapshot {
    readonly revision: number;
    readonly keys: ReadonlyMap<string, StoredValue>;
}

export type StateListener = (events: readonly KeyValueEvent[]) => void;

interface LeaseState {
    readonly ttlMs: number;
    timer: NodeJS.Timeout;
}

/** Events kept for watches that start at an earlier revision. */
const MAX_HISTORY_EVENTS = 100_000;

function isInRange(key: string, start: string, end: string | undefined): boolean {
    if (end === undefined || end === "") return key === start;
    return key >= start && (end === "\0" || key < end);
}

/** Holds the keys, revisions and leases of the key-value stand-in. */
export class KeyValueState {
    private keys = new Map<string, StoredValue>();
    private history: KeyValueEvent[] = [];
    private readonly leases = new Map<string, LeaseState>();
    private readonly listeners = new Set<StateListener>();
    private nextLeaseNumber = 1;
    revision = 1;

    range(start: string, end: string | undefined): readonly (readonly [string, StoredValue])[] {
        if (end === undefined || end === "") {
            const stored = this.keys.get(start);
            return stored === undefined ? [] : [[start, stored]];
        }
        return [...this.keys]
            .filter(([key]) => isInRange(key, start, end))
            .sort(([left], [right]) => (left < right ? -1 : 1));
    }

    /** Applies writes with one new revision and notifies the listeners; does nothing if no key changes. */
    apply(writes: readonly KeyValueWrite[]): readonly KeyValueEvent[] {
        const revision = this.revision + 1;
        const events = writes.flatMap(write => this.applyWrite(write, revision));
        if (events.length === 0) return [];
        this.revision = revision;
        this.history.push(...events);
        if (this.history.length > MAX_HISTORY_EVENTS) this.history = this.history.slice(-MAX_HISTORY_EVENTS / 2);
        for (const listener of this.listeners) listener(events);
        return events;
    }

    eventsSince(fromRevision: number): readonly KeyValueEvent[] {
        return this.history.filter(event => event.revision >= fromRevision);
    }

    subscribe(listener: StateListener): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    hasLease(leaseId: string): boolean {
        return this.leases.has(leaseId);
    }

    grantLease(ttlMs: number): string {
        const leaseId = String(7_000_000 + this.nextLeaseNumber++);
        this.leases.set(leaseId, { ttlMs, timer: this.startExpiryTimer(leaseId, ttlMs) });
        return leaseId;
    }

    /** Renews a lease; returns its duration, or `undefined` if it has expired. */
    keepAlive(leaseId: string): number | undefined {
        const lease = this.leases.get(leaseId);
        if (lease === undefined) return undefined;
        clearTimeout(lease.timer);
        lease.timer = this.startExpiryTimer(leaseId, lease.ttlMs);
        return lease.ttlMs;
    }

    /** Deletes a lease and its keys; returns `false` if the lease does not exist. */
    removeLease(leaseId: string): boolean {
        const lease = this.leases.get(leaseId);
        if (lease === undefined) return false;
        clearTimeout(lease.timer);
        this.leases.delete(leaseId);
        const leasedEntries = [...this.keys].filter(([, stored]) => stored.leaseId === leaseId);
        this.apply(leasedEntries.map(([key]) => ({ kind: "delete", key, rangeEnd: undefined })));
        return true;
    }

    snapshot(): StateSnapshot {
        return { revision: this.revision, keys: new Map(this.keys) };
    }

    /** Restores an older state and its revision, as a restore from a backup does. */
    restore(snapshot: StateSnapshot): void {
        this.keys = new Map(snapshot.keys);
        this.revision = snapshot.revision;
        this.history = this.history.filter(event => event.revision <= snapshot.revision);
    }

    close(): void {
        for (const lease of this.leases.values()) clearTimeout(lease.timer);
        this.leases.clear();
    }

    private startExpiryTimer(leaseId: string, ttlMs: number): NodeJS.Timeout {
        return setTimeout(() => this.removeLease(leaseId), ttlMs).unref();
    }

    private applyWrite(write: KeyValueWrite, revision: number): KeyValueEvent[] {
        if (write.kind === "delete") {
            const found = this.range(write.key, write.rangeEnd);
            for (const [key] of found) this.keys.delete(key);
            return found.map(([key]) => ({ kind: "delete", key, storedValue: undefined, revision }));
        }
        const before = this.keys.get(write.key);
        const stored = {
            value: write.value,
            createRevision: before?.createRevision ?? revision,
            modRevision: revision,
            version: (before?.version ?? 0) + 1,
            leaseId: write.leaseId,
        };
        this.keys.set(write.key, stored);
        return [{ kind: "put", key: write.key, storedValue: stored, revision }];
    }
}
