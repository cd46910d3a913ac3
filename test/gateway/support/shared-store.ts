import {
    type KeyValueEntry,
    type KeyValueError,
    type KeyValueStore,
    type Lease,
    type RangeResult,
    sleep,
    type Transaction,
    type TransactionResult,
    type WatchEvent,
} from "@skylarkmill/coordination";
import { OutcomeUnknownError, ProtocolError, UnavailableError } from "@skylarkmill/protocol";
import { err, ok, type Result, ResultAsync } from "neverthrow";

const CONTEXT = { step: "fake", peer: "store" };
const WATCH_INTERVAL_MS = 50;
/** Revisions of one generation are below this number; clients see them qualified by the generation. */
const REVISIONS_PER_GENERATION = 1_000_000;

/** Faults of one client's connection to the store. */
export interface ClientFaults {
    /** No call reaches the store. */
    isDisconnected: boolean;
    /** Writes take effect but their responses are lost. */
    shouldLoseResponses: boolean;
    /** Delay of each call. */
    delayMs: number;
}

interface LoggedChange {
    readonly revision: number;
    readonly event: WatchEvent;
}

type StoredEntry = KeyValueEntry & { readonly leaseId: string | undefined; };

/** Data of the service at a moment. */
export interface SharedStoreCopy {
    readonly entries: readonly StoredEntry[];
    readonly leases: ReadonlyMap<string, { readonly ttlMs: number; }>;
    readonly revision: number;
}

/** An in-memory key-value service on the (fake) system clock, shared by clients with separate faults. */
export class SharedStore {
    private readonly entries = new Map<string, StoredEntry>();
    private readonly leases = new Map<string, { ttlMs: number; expiresAtMs: number; }>();
    private readonly changes: LoggedChange[] = [];
    private revision = 10;
    private nextLease = 1;
    private generation = 0;

    copyData(): SharedStoreCopy {
        this.expireLeases();
        return { entries: [...this.entries.values()], leases: new Map(this.leases), revision: this.revision };
    }

    /** Replaces the data by an older copy. Keys with a lease of the copy live until it expires, but none can renew it. */
    restore(copy: SharedStoreCopy): void {
        this.generation += 1;
        const qualify = (revision: number): number =>
            this.generation * REVISIONS_PER_GENERATION + revision % REVISIONS_PER_GENERATION;
        this.revision = qualify(copy.revision);
        this.changes.length = 0;
        this.leases.clear();
        this.entries.clear();
        const renameLease = (leaseId: string): string => `${leaseId}@${this.generation}`;
        for (const [leaseId, { ttlMs }] of copy.leases) {
            this.leases.set(renameLease(leaseId), { ttlMs, expiresAtMs: Date.now() + ttlMs });
        }
        for (const { key, value, modRevision, leaseId } of copy.entries) {
            const lease = leaseId === undefined ? undefined : renameLease(leaseId);
            this.entries.set(key, { key, value, modRevision: qualify(modRevision), leaseId: lease });
        }
    }

    put(key: string, value: string, leaseId?: string): void {
        this.revision += 1;
        this.putEntry(key, value, leaseId);
    }

    remove(key: string): void {
        this.revision += 1;
        this.deleteEntry(key);
    }

    read(key: string): string | undefined {
        this.expireLeases();
        return this.entries.get(key)?.value;
    }

    client(faults: ClientFaults): KeyValueStore {
        const call = <T>(isWrite: boolean, run: () => T): ResultAsync<T, KeyValueError> =>
            new ResultAsync(this.call(faults, isWrite, run));
        return {
            get: key => call(false, () => this.entries.get(key)),
            range: prefix => call(false, (): RangeResult => this.range(prefix)),
            commit: transaction => call(true, () => this.commit(transaction)),
            grantLease: ttlMs => call(true, () => this.grantLease(ttlMs)),
            keepLeaseAlive: leaseId => call(true, () => this.renewLease(leaseId)),
            revokeLease: leaseId => call(true, () => this.endLease(leaseId)),
            watch: (prefix, from, signal) => this.watch(faults, prefix, from, signal),
        };
    }

    private async call<T>(faults: ClientFaults, isWrite: boolean, run: () => T): Promise<Result<T, KeyValueError>> {
        await sleep(faults.delayMs);
        if (faults.isDisconnected) {
            await sleep(100);
            return err(new UnavailableError("the store can't be reached", CONTEXT));
        }
        this.expireLeases();
        const value = run();
        if (isWrite && faults.shouldLoseResponses) {
            return err(new OutcomeUnknownError("the response was lost", CONTEXT));
        }
        return ok(value);
    }

    private async *watch(
        faults: ClientFaults,
        prefix: string,
        from: number,
        signal: AbortSignal,
    ): AsyncGenerator<readonly WatchEvent[]> {
        let nextIndex = this.changes.findIndex(({ revision }) => revision >= from);
        if (nextIndex < 0) nextIndex = this.changes.length;
        const generation = Math.floor(from / REVISIONS_PER_GENERATION);
        while (!signal.aborted) {
            await sleep(WATCH_INTERVAL_MS, signal);
            if (faults.isDisconnected) throw new UnavailableError("the store can't be reached", CONTEXT);
            if (generation !== this.generation) throw new ProtocolError("the changes are no longer known", CONTEXT);
            this.expireLeases();
            const newChanges = this.changes.slice(nextIndex).filter(({ event }) => event.entry.key.startsWith(prefix));
            nextIndex = this.changes.length;
            yield newChanges.map(({ event }) => event);
        }
    }

    private range(prefix: string): RangeResult {
        const entries = [...this.entries.values()].filter(entry => entry.key.startsWith(prefix));
        return { entries, revision: this.revision, generation: this.generation };
    }

    private commit({ compare, puts, deletes = [] }: Transaction): TransactionResult {
        const matches = compare.every(({ key, modRevision }) =>
            (this.entries.get(key)?.modRevision ?? 0) === modRevision
        );
        const hasLeases = puts.every(({ leaseId }) => leaseId === undefined || this.leases.has(leaseId));
        if (!matches || !hasLeases) return { succeeded: false, revision: this.revision, entries: [] };
        this.revision += 1;
        for (const { key, value, leaseId } of puts) this.putEntry(key, value, leaseId);
        for (const key of deletes) this.deleteEntry(key);
        return { succeeded: true, revision: this.revision, entries: [] };
    }

    private grantLease(ttlMs: number): Lease {
        const leaseId = String(this.nextLease++);
        this.leases.set(leaseId, { ttlMs, expiresAtMs: Date.now() + ttlMs });
        return { leaseId, ttlMs };
    }

    private renewLease(leaseId: string): Lease | undefined {
        const lease = this.leases.get(leaseId);
        if (lease === undefined) return undefined;
        lease.expiresAtMs = Date.now() + lease.ttlMs;
        return { leaseId, ttlMs: lease.ttlMs };
    }

    private endLease(leaseId: string): void {
        this.leases.delete(leaseId);
        this.revision += 1;
        for (const entry of [...this.entries.values()]) if (entry.leaseId === leaseId) this.deleteEntry(entry.key);
    }

    private expireLeases(): void {
        for (const [leaseId, lease] of this.leases) if (lease.expiresAtMs <= Date.now()) this.endLease(leaseId);
    }

    private putEntry(key: string, value: string, leaseId: string | undefined): void {
        const entry = { key, value, modRevision: this.revision, leaseId };
        this.entries.set(key, entry);
        this.changes.push({ revision: this.revision, event: { kind: "put", entry } });
    }

    private deleteEntry(key: string): void {
        if (!this.entries.delete(key)) return;
        const entry = { key, value: "", modRevision: this.revision };
        this.changes.push({ revision: this.revision, event: { kind: "delete", entry } });
    }
}
