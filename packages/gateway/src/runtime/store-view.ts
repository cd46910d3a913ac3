import type { KeyValueEntry, KeyValueError, KeyValueStore, Logger, WatchEvent } from "@skylarkmill/coordination";
import { nowMs, sleep, Stopwatch } from "@skylarkmill/coordination";
import { UnavailableError } from "@skylarkmill/protocol";

/** Time for which the view is fresh after the last response; two watch responses with their pauses fit into it. */
const FRESH_MS = 2_000;
/** Pause after a failed read or watch; doubles with each consecutive failure up to the maximum. */
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 500;
/** Entries that expired during an outage of the service are written again within this time after its end. */
const RECOVERY_GRACE_MS = 2_000;
/** Largest number of deletions that are remembered for peers; they cover many seconds. */
const MAX_REMEMBERED_DELETIONS = 500;
/** Interval at which a view that follows a peer checks whether it still does. */
const FOLLOWING_CHECK_MS = 100;

/** Largest number of different failures that are logged in one outage. */
const MAX_LOGGED_FAILURES = 8;

/** Entries under the watched prefixes, as exchanged between gateways. */
export interface StoreSnapshot {
    readonly revision: number;
    /** See `RangeResult`. @default 0 */
    readonly generation?: number | undefined;
    readonly entries: readonly KeyValueEntry[];
}

/** Changes of the entries since a revision, or all entries if the changes since then are not known. */
export interface StoreChanges extends StoreSnapshot {
    /** Time since the key-value service last responded to the gateway that sends the changes. */
    readonly ageMs: number;
    /** Whether `entries` has all entries rather than the changed ones. */
    readonly isComplete: boolean;
    readonly removed: readonly RemovedEntry[];
}

/** Key of a deleted entry, and the revision of its deletion. */
export interface RemovedEntry {
    readonly key: string;
    readonly modRevision: number;
}

export interface StoreViewListener {
    /** `isRestored`: the entry comes from an older copy of the service's data, so its writer may be gone. */
    onPut(entry: KeyValueEntry, isRestored: boolean): void;
    /** `graceMs`: time within which the entry may be written again, since an outage or a restore may have removed it. */
    onDelete(key: string, graceMs: number): void;
}

export interface StoreViewOptions {
    readonly store: KeyValueStore;
    readonly logger: Logger;
    /** Prefixes that are read at the start, and again if the changes since a revision are no longer known. */
    readonly prefixes: readonly string[];
    readonly listener: StoreViewListener;
    /** Pause after each watch response with events, since each response counts as a call to the service. */
    readonly getWatchPauseMs: () => number;
    /** Shortest outage of the service during which an entry can expire although its writer is alive. */
    readonly minExpiryMs: number;
    /** Whether a peer keeps the view up to date, so that the service need not be read. */
    readonly isFollowingPeer?: () => boolean;
}

/** Keeps a copy of the watched keys up to date from the key-value service, or from a peer during an outage. */
export class StoreView {
    private readonly options: StoreViewOptions;
    private readonly entries = new Map<string, KeyValueEntry>();
    private readonly abort = new AbortController();
    private revision = 0;
    private generation = 0;
    private sinceRestore: Stopwatch | undefined;
    private sinceLastResponse: Stopwatch | undefined;
    private outageAtMs = -Infinity;
    private recoveredAtMs = -Infinity;
    /** Kinds of failures that were logged in this outage. */
    private readonly loggedFailures = new Set<string>();
    /** End of the last outage in which entries may have expired, or time at which the last restore was learned. */
    private expiryEndedAtMs = -Infinity;
    private task: Promise<void> | undefined;
    private hasEntries = false;
    /** Whether the service can't tell the changes since the revision of the copy, so that all keys must be read. */
    private areChangesLost = false;
    private readonly changeListeners = new Set<() => void>();
    private readonly removed: RemovedEntry[] = [];
    /** Revision since which all deletions are remembered. */
    private removedSinceRevision = 0;
    private readonly entriesByPrefix = new Map<string, readonly KeyValueEntry[]>();

    constructor(options: StoreViewOptions) {
        this.options = options;
    }

    /** Whether the keys have been read at least once, from the service or a peer. */
    get isLoaded(): boolean {
        return this.hasEntries;
    }

    get isFresh(): boolean {
        return this.sinceLastResponse !== undefined && this.sinceLastResponse.elapsedMs() < FRESH_MS;
    }

    /** Time since the last response of the service; infinite before the first one. */
    get sinceLastResponseMs(): number {
        return this.sinceLastResponse?.elapsedMs() ?? Infinity;
    }

    get storeRevision(): number {
        return this.revision;
    }

    get storeGeneration(): number {
        return this.generation;
    }

    /** Time since this view learned that the service was restored from an older copy; infinite if it never did. */
    get sinceRestoreMs(): number {
        return this.sinceRestore?.elapsedMs() ?? Infinity;
    }

    getEntry(key: string): KeyValueEntry | undefined {
        return this.entries.get(key);
    }

    /** Lists the entries under a prefix; returns the same array until one of them changes. */
    listEntries(prefix: string): readonly KeyValueEntry[] {
        const known = this.entriesByPrefix.get(prefix);
        if (known !== undefined) return known;
        const entries = [...this.entries.values()].filter(entry => entry.key.startsWith(prefix));
        this.entriesByPrefix.set(prefix, entries);
        return entries;
    }

    snapshot(): StoreSnapshot {
        return { revision: this.revision, generation: this.generation, entries: [...this.entries.values()] };
    }

    /** Returns the changes since a revision. */
    listChanges(sinceRevision: number): StoreChanges {
        const isComplete = sinceRevision < this.removedSinceRevision;
        const entries = [...this.entries.values()];
        return {
            revision: this.revision,
            generation: this.generation,
            ageMs: Math.round(Math.min(this.sinceLastResponseMs, Number.MAX_SAFE_INTEGER)),
            isComplete,
            entries: isComplete ? entries : entries.filter(entry => entry.modRevision > sinceRevision),
            removed: isComplete ? [] : this.removed.filter(entry => entry.modRevision > sinceRevision),
        };
    }

    /** Registers a listener for changes of the entries; returns a function that removes it. */
    onChange(listener: () => void): () => void {
        this.changeListeners.add(listener);
        return () => this.changeListeners.delete(listener);
    }

    /** Applies the changes that a peer sent; changes older than the entries here have no effect. */
    applyChanges(changes: StoreChanges): void {
        const { revision, ageMs, isComplete, entries, removed } = changes;
        this.recordResponse(ageMs);
        if (revision <= this.revision) return;
        if (isComplete) return this.replaceEntries(changes);
        for (const entry of entries) this.putEntry(entry);
        for (const { key, modRevision } of removed) this.deleteEntry(key, modRevision);
        this.revision = revision;
        this.notifyListeners();
    }

    start(): void {
        this.task = this.run();
    }

    async stop(): Promise<void> {
        this.abort.abort();
        await this.task;
    }

    /** Replaces the entries with a peer's copy if that is newer. */
    adoptSnapshot(snapshot: StoreSnapshot): void {
        if (snapshot.revision <= this.revision) return;
        this.options.logger.info(
            { step: "view.adopt", revision: snapshot.revision, own: this.revision },
            "adopted a newer copy of the keys from a peer",
        );
        this.replaceEntries(snapshot);
    }

    private async run(): Promise<void> {
        const { signal } = this.abort;
        let retryMs = MIN_RETRY_MS;
        while (!signal.aborted) {
            if (this.isFollowingPeer) {
                await sleep(FOLLOWING_CHECK_MS, signal);
                continue;
            }
            // A copy that a peer kept up to date so far is continued as well.
            if (this.canResumeWatch || await this.readAll()) {
                const hadResponse = await this.watchChanges();
                if (this.isFollowingPeer) continue;
                if (hadResponse) retryMs = MIN_RETRY_MS;
            }
            await sleep(retryMs, signal);
            retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
        }
    }

    private async readAll(): Promise<boolean> {
        const entries: KeyValueEntry[] = [];
        const duration = new Stopwatch();
        let revision = Infinity;
        let generation: number | undefined;
        for (const prefix of this.options.prefixes) {
            const result = await this.options.store.range(prefix);
            if (result.isErr()) {
                this.recordFailure("view.range", result.error);
                return false;
            }
            const { generation: rangeGeneration = 0 } = result.value;
            generation ??= rangeGeneration;
            if (rangeGeneration !== generation) {
                const context = { step: "view.range", peer: "key-value-service" };
                this.recordFailure("view.range", new UnavailableError("restored between two reads", context));
                return false;
            }
            revision = Math.min(revision, result.value.revision);
            entries.push(...result.value.entries);
        }
        this.recordResponse();
        this.options.logger.info({
            step: "view.read",
            revision,
            own: this.revision,
            entries: entries.length,
            tookMs: Math.round(duration.elapsedMs()),
        }, "read all keys from the key-value service");
        this.replaceEntries({ entries, revision, generation: generation ?? 0 });
        this.areChangesLost = false;
        return true;
    }

    /** Whether a watch can continue from the revision of the copy. */
    private get canResumeWatch(): boolean {
        return this.hasEntries && !this.areChangesLost;
    }

    /** Applies changes until the watch breaks, or a peer keeps the view up to date; returns whether it had a response. */
    private async watchChanges(): Promise<boolean> {
        const { store, prefixes } = this.options;
        let hadResponse = false;
        const prefix = commonPrefix(prefixes);
        try {
            for await (const events of store.watch(prefix, this.revision + 1, this.abort.signal)) {
                hadResponse = true;
                this.recordResponse();
                this.applyEvents(events.filter(({ entry }) => prefixes.some(watched => entry.key.startsWith(watched))));
                this.revision = Math.max(this.revision, ...events.map(({ entry }) => entry.modRevision));
                if (events.length > 0) this.notifyListeners();
                if (this.isFollowingPeer) break;
                if (events.length > 0) await sleep(this.options.getWatchPauseMs(), this.abort.signal);
            }
        }
        catch (error) {
            this.areChangesLost = !(error instanceof UnavailableError);
            this.recordFailure("view.watch", error as Error);
        }
        return hadResponse;
    }

    /** Applies watched changes; those up to the copy's revision are in it already, and later ones may have undone them. */
    private applyEvents(events: readonly WatchEvent[]): void {
        const knownRevision = this.revision;
        for (const { kind, entry } of events) {
            if (entry.modRevision <= knownRevision) continue;
            if (kind === "put") this.putEntry(entry);
            else this.deleteEntry(entry.key, entry.modRevision);
        }
    }

    private replaceEntries({ entries, revision, generation = 0 }: StoreSnapshot): void {
        const isRestored = this.recordGeneration(generation);
        const keys = new Set(entries.map(entry => entry.key));
        for (const key of this.entries.keys()) if (!keys.has(key)) this.deleteEntry(key, revision);
        // A read that is older than this copy lists entries that were deleted since.
        const isOlder = revision < this.revision;
        for (const entry of entries) {
            if (!isOlder || entry.modRevision > this.revision) this.putEntry(entry, isRestored);
        }
        this.revision = Math.max(this.revision, revision);
        this.removed.length = 0;
        this.removedSinceRevision = this.revision;
        this.hasEntries = true;
        this.notifyListeners();
    }

    /** Returns whether the service was restored from an older copy since the last entries. */
    private recordGeneration(generation: number): boolean {
        if (generation <= this.generation) return false;
        this.generation = generation;
        if (!this.hasEntries) return false;
        this.sinceRestore = new Stopwatch();
        this.expiryEndedAtMs = nowMs();
        this.options.logger.warn(
            { step: "view.restore", generation, own: this.revision },
            "the key-value service was restored from an older copy",
        );
        return true;
    }

    private get isFollowingPeer(): boolean {
        return this.options.isFollowingPeer?.() === true;
    }

    private notifyListeners(): void {
        for (const listener of [...this.changeListeners]) listener();
    }

    private putEntry(entry: KeyValueEntry, isRestored = false): void {
        const existing = this.entries.get(entry.key);
        if (existing !== undefined && existing.modRevision >= entry.modRevision) return;
        this.entries.set(entry.key, entry);
        this.forgetLists(entry.key);
        this.options.listener.onPut(entry, isRestored);
    }

    private deleteEntry(key: string, revision: number): void {
        const existing = this.entries.get(key);
        if (existing === undefined || existing.modRevision > revision) return;
        this.entries.delete(key);
        this.forgetLists(key);
        this.rememberDeletion({ key, modRevision: revision });
        const graceMs = this.expiryEndedAtMs + RECOVERY_GRACE_MS - nowMs();
        this.options.listener.onDelete(key, Math.max(0, graceMs));
    }

    private rememberDeletion(entry: RemovedEntry): void {
        this.removed.push(entry);
        if (this.removed.length <= MAX_REMEMBERED_DELETIONS) return;
        this.removedSinceRevision = this.removed.shift()!.modRevision;
    }

    private forgetLists(key: string): void {
        for (const prefix of this.entriesByPrefix.keys()) {
            if (key.startsWith(prefix)) this.entriesByPrefix.delete(prefix);
        }
    }

    private recordResponse(ageMs = 0): void {
        if (this.outageAtMs > this.recoveredAtMs) {
            const outageMs = this.sinceLastResponseMs;
            this.recoveredAtMs = nowMs();
            if (outageMs >= this.options.minExpiryMs) this.expiryEndedAtMs = this.recoveredAtMs;
            this.options.logger.info(
                { step: "view.return", outageMs: Math.round(Math.min(outageMs, Number.MAX_SAFE_INTEGER)) },
                "key-value service responds again",
            );
        }
        this.sinceLastResponse = new Stopwatch(ageMs);
    }

    private recordFailure(step: string, error: KeyValueError | Error): void {
        if (this.outageAtMs <= this.recoveredAtMs) this.loggedFailures.clear();
        const failure = `${step}: ${error.message.replaceAll(/\d+/g, "#")}`;
        if (!this.loggedFailures.has(failure) && this.loggedFailures.size < MAX_LOGGED_FAILURES) {
            this.loggedFailures.add(failure);
            this.options.logger.warn({ step, err: error }, "key-value service does not respond");
        }
        this.outageAtMs = nowMs();
    }
}

function commonPrefix(prefixes: readonly string[]): string {
    let common = prefixes[0] ?? "";
    for (const prefix of prefixes) {
        while (!prefix.startsWith(common)) common = common.slice(0, -1);
    }
    return common;
}
