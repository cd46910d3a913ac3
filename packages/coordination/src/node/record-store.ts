import { create } from "@bufbuild/protobuf";
import {
    type EditId,
    type ExchangeRequest,
    type ExchangeResponse,
    type OutcomeUnknownError,
    type ProcessId,
    type PushRequest,
    type PushResponse,
    PushResponseSchema,
    type RecordVersion,
    UnavailableError,
} from "@skylarkmill/protocol";
import { err, type Result, ResultAsync } from "neverthrow";
import {
    applyWireRecords,
    exchangeWithPeer,
    listVersions,
    pushToPeer,
    respondToExchange,
} from "../runtime/record-exchange.ts";
import { RecordTable } from "../runtime/record-table.ts";
import { RecordWriter } from "../runtime/record-writer.ts";
import type { KeyValueStore } from "../types/key-value-store.ts";
import { type Logger, silentLogger } from "../types/logger.ts";
import type { EditOutcome, RecordChange, RecordPeer, RecordStore, RecordWriteError } from "../types/record-store.ts";
import type { RecordListener, VersionedRecord } from "../types/versioned-record.ts";
import { sleep } from "../utils/sleep.ts";
import { KeyValueReader } from "./key-value-reader.ts";

export interface RecordStoreOptions {
    readonly processId: ProcessId;
    readonly store: KeyValueStore;
    /** Key prefixes of the records. */
    readonly prefixes: readonly string[];
    /** Returns the currently known processes to exchange records with, excluding this process. */
    readonly peers: () => readonly RecordPeer[];
    /** Whether this process watches the key-value service; limit this to a few processes. @default () => true */
    readonly shouldWatchKeyValueService?: () => boolean;
    /** Mean interval at which records are compared with one random peer. @default 2000 */
    readonly exchangeIntervalMs?: number;
    /** Interval at which a watching process reads all records again. @default 300000 */
    readonly refreshIntervalMs?: number;
    /** Interval at which a watching process checks that the service's revision did not decrease. @default 1000 */
    readonly revisionIntervalMs?: number;
    /** Delay after a failed read of the key-value service, with jitter. @default 500 */
    readonly retryDelayMs?: number;
    /** Number of random peers to which a new version is pushed immediately. @default 3 */
    readonly pushFanout?: number;
    /** @default silentLogger */
    readonly logger?: Logger;
}

export type ResolvedRecordStoreOptions = Required<RecordStoreOptions>;

const DEFAULTS = {
    shouldWatchKeyValueService: () => true,
    exchangeIntervalMs: 2000,
    refreshIntervalMs: 300_000,
    revisionIntervalMs: 1000,
    retryDelayMs: 500,
    pushFanout: 3,
    logger: silentLogger,
};

/**
 * Maximum number of hops of a pushed record, including the first push. With a fan-out of 3, 12 hops can reach far more
 * than 1,140 processes, the size of a system of 350 routers and 790 agents.
 */
const MAX_PUSH_HOPS = 12;
/** Mean interval of exchange attempts until the first one succeeds. */
const FIRST_EXCHANGE_INTERVAL_MS = 200;
/**
 * Number of peers contacted in parallel until the first exchange succeeds, so that a suspended peer does not delay it.
 * Equals the default push fan-out.
 */
const FIRST_EXCHANGE_PEER_COUNT = 3;

/**
 * Creates the record store of one process. It replicates versioned records between the key-value service and peers.
 *
 * @example
 * const records = createRecordStore({ processId, store, prefixes: ["/app/config/"], peers: () => peers });
 * records.start();
 */
export function createRecordStore(options: RecordStoreOptions): RecordStore {
    return new ReplicatedRecordStore({ ...DEFAULTS, ...options });
}

class ReplicatedRecordStore implements RecordStore {
    private readonly table = new RecordTable();
    private readonly writer: RecordWriter;
    private readonly reader: KeyValueReader;
    private readonly abortController = new AbortController();
    private backgroundTasks: Promise<void>[] = [];
    private hasExchangedOnce = false;
    private isForwardingSuspended = false;

    constructor(private readonly options: ResolvedRecordStoreOptions) {
        this.writer = new RecordWriter(options.store, this.table);
        this.reader = new KeyValueReader({ ...options, table: this.table, writer: this.writer });
        this.table.subscribe("", record => this.forwardToPeers([record], 0));
    }

    get hasReadKeyValueService(): boolean {
        return this.reader.hasReadAllPrefixes;
    }

    get hasExchangedWithPeer(): boolean {
        return this.hasExchangedOnce;
    }

    start(): void {
        this.backgroundTasks = [this.reader.run(this.abortController.signal), this.runExchangeLoop()];
    }

    async stop(): Promise<void> {
        this.abortController.abort();
        await Promise.allSettled(this.backgroundTasks);
    }

    get<T>(key: string): VersionedRecord<T> | undefined {
        return this.table.get<T>(key);
    }

    list<T>(prefix: string): readonly VersionedRecord<T>[] {
        return this.table.list<T>(prefix);
    }

    subscribe(prefix: string, listener: RecordListener): () => void {
        return this.table.subscribe(prefix, listener);
    }

    refresh(): ResultAsync<void, UnavailableError> {
        return new ResultAsync(this.reader.refresh()).map(() => undefined);
    }

    write<T>(change: RecordChange<T>): ResultAsync<VersionedRecord<T>, RecordWriteError> {
        return new ResultAsync(this.writeAfterFirstExchange(change));
    }

    private async writeAfterFirstExchange<T>(
        change: RecordChange<T>,
    ): Promise<Result<VersionedRecord<T>, RecordWriteError>> {
        // The service may hold older data than the peers; a change based on that data would be lost.
        if (!this.hasExchangedOnce && this.options.peers().length > 0) await this.runFirstExchange();
        if (this.hasExchangedOnce || this.options.peers().length === 0) return this.writer.write(change);
        return err(
            new UnavailableError("No peer has confirmed the newest version yet.", {
                step: "record.write",
                peer: "local",
            }),
        );
    }

    resolveEdit(key: string, editId: EditId): ResultAsync<EditOutcome, UnavailableError | OutcomeUnknownError> {
        return new ResultAsync(this.writer.resolveEdit(key, editId));
    }

    versions(): readonly RecordVersion[] {
        return listVersions(this.table);
    }

    handleExchange(request: ExchangeRequest): ExchangeResponse {
        return respondToExchange(this.table, request);
    }

    handlePush(request: PushRequest): PushResponse {
        const hops = request.hops + 1;
        const applied = this.applyWithoutForwarding(() => applyWireRecords(this.table, request.records));
        if (hops < MAX_PUSH_HOPS) this.forwardToPeers(applied, hops);
        return create(PushResponseSchema, { applied: applied.length });
    }

    /** Applies records without the table listener forwarding them, since the listener would reset their hop count. */
    private applyWithoutForwarding<T>(apply: () => T): T {
        this.isForwardingSuspended = true;
        try {
            return apply();
        }
        finally {
            this.isForwardingSuspended = false;
        }
    }

    private forwardToPeers(records: readonly VersionedRecord<unknown>[], hops: number): void {
        if (this.isForwardingSuspended || records.length === 0 || this.abortController.signal.aborted) return;
        for (const peer of this.pickRandomPeers(this.options.pushFanout)) {
            pushToPeer(records, this.options.processId, hops, peer).catch((error: unknown) => {
                this.options.logger.debug(
                    { step: "records.push", peer: peer.processId, err: error },
                    "pushing records to a peer failed",
                );
            });
        }
    }

    private async runExchangeLoop(): Promise<void> {
        const { signal } = this.abortController;
        while (!signal.aborted) {
            await this.runNextExchange();
            const intervalMs = this.hasExchangedOnce ? this.options.exchangeIntervalMs : FIRST_EXCHANGE_INTERVAL_MS;
            await sleep(intervalMs * (0.75 + Math.random() / 2), signal);
        }
    }

    /**
     * Exchanges records with one random peer. Until the first exchange has succeeded it contacts several peers, since
     * a single one that does not respond would block writes.
     */
    private async runNextExchange(): Promise<void> {
        if (!this.hasExchangedOnce) return this.runFirstExchange();
        const [peer] = this.pickRandomPeers(1);
        if (peer !== undefined) await this.exchangeWith(peer);
    }

    /** Exchanges records with several peers; resolves on the first success or when all have failed. */
    private async runFirstExchange(): Promise<void> {
        const exchanges = this.pickRandomPeers(FIRST_EXCHANGE_PEER_COUNT).map(peer => this.exchangeWith(peer));
        const firstSuccess = new Promise<void>(resolve => {
            for (const exchange of exchanges) void exchange.then(() => this.hasExchangedOnce && resolve());
        });
        await Promise.race([Promise.all(exchanges), firstSuccess]);
    }

    private async exchangeWith(peer: RecordPeer): Promise<void> {
        try {
            await exchangeWithPeer(this.table, this.options.processId, peer);
            this.hasExchangedOnce = true;
        }
        catch (error) {
            this.options.logger.debug(
                { step: "records.exchange", peer: peer.processId, err: error },
                "exchanging records with a peer failed",
            );
        }
    }

    private pickRandomPeers(count: number): RecordPeer[] {
        const candidates = [...this.options.peers()];
        const picked: RecordPeer[] = [];
        while (picked.length < count && candidates.length > 0) {
            const index = Math.floor(Math.random() * candidates.length);
            picked.push(...candidates.splice(index, 1));
        }
        return picked;
    }
}
