import type {
    KeyValueEntry,
    KeyValueError,
    KeyValueStore,
    Lease,
    RangeResult,
    Transaction,
    TransactionResult,
    WatchEvent,
} from "@skylarkmill/coordination";
import { OutcomeUnknownError, UnavailableError } from "@skylarkmill/protocol";
import { errAsync, okAsync, ResultAsync } from "neverthrow";

/**
 * What happens to a commit. Both `lostResponse` and `lostRequest` fail with an unknown outcome for the writer, but
 * only `lostResponse` takes effect.
 */
export type CommitBehaviour = "normal" | "lostResponse" | "lostRequest";

interface StoreState {
    readonly entries: ReadonlyMap<string, KeyValueEntry>;
    readonly revision: number;
}

const CONTEXT = { step: "fake", peer: "key-value-service" };

/** In-memory key-value service that can be down, lose requests or responses, and be restored to an older state. */
export class FakeKeyValueStore implements KeyValueStore {
    isDown = false;
    /** Delays each call until the promise resolves; the result determines the behaviour of a commit. */
    beforeCall: (kind: "read" | "commit") => Promise<CommitBehaviour> = () => Promise.resolve("normal");
    /** Called after each commit that took effect. */
    onApplied: (before: StoreState, after: StoreState) => void = () => undefined;
    commitCount = 0;
    private state: StoreState = { entries: new Map(), revision: 1 };

    snapshot(): StoreState {
        return this.state;
    }

    restore(state: StoreState): void {
        this.state = state;
    }

    keys(prefix: string): string[] {
        return [...this.state.entries.keys()].filter(key => key.startsWith(prefix)).sort();
    }

    get(key: string): ResultAsync<KeyValueEntry | undefined, KeyValueError> {
        return this.call("read", () => okAsync(this.state.entries.get(key)));
    }

    range(prefix: string, options: { readonly limit?: number; } = {}): ResultAsync<RangeResult, KeyValueError> {
        return this.call("read", () => {
            const entries = this.keys(prefix).slice(0, options.limit).map(key => this.state.entries.get(key)!);
            return okAsync({ entries, revision: this.state.revision });
        });
    }

    commit(transaction: Transaction): ResultAsync<TransactionResult, KeyValueError> {
        return this.call("commit", behaviour => {
            if (behaviour === "lostRequest") return errAsync(new OutcomeUnknownError("lost", CONTEXT));
            const result = this.apply(transaction);
            return behaviour === "lostResponse" ? errAsync(new OutcomeUnknownError("lost", CONTEXT)) : okAsync(result);
        });
    }

    grantLease(ttlMs: number): ResultAsync<Lease, KeyValueError> {
        return okAsync({ leaseId: "1", ttlMs });
    }

    keepLeaseAlive(leaseId: string): ResultAsync<Lease | undefined, KeyValueError> {
        return okAsync({ leaseId, ttlMs: 10_000 });
    }

    revokeLease(): ResultAsync<void, KeyValueError> {
        return okAsync(undefined);
    }

    async *watch(): AsyncIterable<readonly WatchEvent[]> {
        // Yields nothing; the tests refresh the records instead.
    }

    private call<T>(
        kind: "read" | "commit",
        run: (behaviour: CommitBehaviour) => ResultAsync<T, KeyValueError>,
    ): ResultAsync<T, KeyValueError> {
        return ResultAsync.fromSafePromise(this.beforeCall(kind)).andThen(behaviour =>
            this.isDown ? errAsync(new UnavailableError("down", CONTEXT)) : run(behaviour)
        );
    }

    private apply(transaction: Transaction): TransactionResult {
        const { entries, revision } = this.state;
        const comparesEqual = transaction.compare.every(({ key, modRevision }) =>
            (entries.get(key)?.modRevision ?? 0) === modRevision
        );
        if (!comparesEqual) {
            const read = (transaction.readOnFailure ?? []).flatMap(key => entries.get(key) ?? []);
            return { succeeded: false, revision, entries: read };
        }
        const before = this.state;
        const next = new Map(entries);
        for (const { key, value } of transaction.puts) next.set(key, { key, value, modRevision: revision + 1 });
        for (const key of transaction.deletes ?? []) next.delete(key);
        this.state = { entries: next, revision: revision + 1 };
        this.commitCount += 1;
        this.onApplied(before, this.state);
        return { succeeded: true, revision: revision + 1, entries: [] };
    }
}
