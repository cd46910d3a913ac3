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
    answerExchange,
    applyWireRecords,
    exchangeWithPeer,
    listVersions,
    pushToPeer,
} from "../runtime/record-exchange.ts";
import { RecordTable } from "../runtime/record-table.ts";
import { RecordWriter } from "../runtime/record-writer.ts";
import type { KeyValueStore } from "../types/key-value-store.ts";
import { type Logger, silentLogger } from "../types/logger.ts";
import type { EditOutcome, RecordChange, RecordPeer, RecordStore, RecordWriteError } from "../types/record-store.ts";
import type { RecordListener, VersionedRecord } from "../types/versioned-record.ts";
import { sleep } from "../utils/sleep.ts";
import { ServiceReader } from "./service-reader.ts";

export interface RecordStoreOptions {
    readonly processId: ProcessId;
    readonly store: KeyValueStore;
    /** Key prefixes of the records. */
    readonly prefixes: readonly string[];
    /** Processes to exchange records with, as known now, without this process. */
    readonly peers: () => readonly RecordPeer[];
    /** Whether this process is one of the few that watch the service. @default () => true */
    readonly isReader?: () => boolean;
    /** Interval of the comparison with one random peer. @default 2000 */
    readonly exchangeIntervalMs?: number;
    /** Interval at which a reader reads everything again. @default 300000 */
    readonly refreshIntervalMs?: number;
    /** Interval at which a reader checks that the service's revision did not go back. @default 1000 */
    readonly revisionIntervalMs?: number;
    /** Delay after a failed read, with jitter. @default 500 */
    readonly retryDelayMs?: number;
    /** Peers to which a new version is sent at once. @default 3 */
    readonly pushFanout?: number;
    /** @default silent */
    readonly logger?: Logger;
}

export type ResolvedRecordStoreOptions = Required<RecordStoreOptions>;

const DEFAULTS = {
    isReader: () => true,
    exchangeIntervalMs: 2000,
    refreshIntervalMs: 300_000,
    revisionIntervalMs: 1000,
    retryDelayMs: 500,
    pushFanout: 3,
    logger: silentLogger,
};

/** Forwarding ends after this many hops; with a fan-out of 3 that covers far more than 1,140 processes. */
const MAX_PUSH_HOPS = 12;
/** Until the first exchange a process asks its peers at this interval. */
const FIRST_EXCHANGE_INTERVAL_MS = 200;
/** Peers that are asked at once until one has answered; as many as a change is pushed to. */
const FIRST_EXCHANGE_PEERS = 3;

/**
 * Creates the record store of one process.
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
    private readonly reader: ServiceReader;
    private readonly abort = new AbortController();
    private tasks: Promise<void>[] = [];
    private exchanged = false;
    private quiet = false;

    constructor(private readonly options: ResolvedRecordStoreOptions) {
        this.writer = new RecordWriter(options.store, this.table);
        this.reader = new ServiceReader({ ...options, table: this.table, writer: this.writer });
        this.table.subscribe("", record => this.forward([record], 0));
    }

    get hasReadService(): boolean {
        return this.reader.hasRead;
    }

    get hasExchanged(): boolean {
        return this.exchanged;
    }

    start(): void {
        this.tasks = [this.reader.run(this.abort.signal), this.exchangeLoop()];
    }

    async stop(): Promise<void> {
        this.abort.abort();
        await Promise.allSettled(this.tasks);
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
        return new ResultAsync(this.writeConfirmed(change));
    }

    private async writeConfirmed<T>(change: RecordChange<T>): Promise<Result<VersionedRecord<T>, RecordWriteError>> {
        // The service may hold older data than the peers; a change built on it would be lost.
        if (!this.exchanged && this.options.peers().length > 0) await this.exchangeFirst();
        if (this.exchanged || this.options.peers().length === 0) return this.writer.write(change);
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
        return answerExchange(this.table, request);
    }

    handlePush(request: PushRequest): PushResponse {
        const hops = request.hops + 1;
        const applied = this.applyQuietly(() => applyWireRecords(this.table, request.records));
        if (hops < MAX_PUSH_HOPS) this.forward(applied, hops);
        return create(PushResponseSchema, { applied: applied.length });
    }

    /** Keeps the table's listener from forwarding records whose hop count is known. */
    private applyQuietly<T>(apply: () => T): T {
        this.quiet = true;
        try {
            return apply();
        }
        finally {
            this.quiet = false;
        }
    }

    private forward(records: readonly VersionedRecord<unknown>[], hops: number): void {
        if (this.quiet || records.length === 0 || this.abort.signal.aborted) return;
        for (const peer of this.pickPeers(this.options.pushFanout)) {
            pushToPeer(records, this.options.processId, hops, peer).catch((error: unknown) => {
                this.options.logger.debug({ step: "records.push", peer: peer.processId, err: error }, "push failed");
            });
        }
    }

    private async exchangeLoop(): Promise<void> {
        const { signal } = this.abort;
        while (!signal.aborted) {
            await this.exchangeOnce();
            const interval = this.exchanged ? this.options.exchangeIntervalMs : FIRST_EXCHANGE_INTERVAL_MS;
            await sleep(interval * (0.75 + Math.random() / 2), signal);
        }
    }

    /** Compares records with a peer. The first time several are asked, since one that hangs would hold up all writes. */
    private async exchangeOnce(): Promise<void> {
        if (!this.exchanged) return this.exchangeFirst();
        const [peer] = this.pickPeers(1);
        if (peer !== undefined) await this.exchangeWith(peer);
    }

    /** Asks several peers; ends with the first answer, or once all have failed. */
    private async exchangeFirst(): Promise<void> {
        const exchanges = this.pickPeers(FIRST_EXCHANGE_PEERS).map(peer => this.exchangeWith(peer));
        const confirmed = new Promise<void>(resolve => {
            for (const exchange of exchanges) void exchange.then(() => this.exchanged && resolve());
        });
        await Promise.race([Promise.all(exchanges), confirmed]);
    }

    private async exchangeWith(peer: RecordPeer): Promise<void> {
        try {
            await exchangeWithPeer(this.table, this.options.processId, peer);
            this.exchanged = true;
        }
        catch (error) {
            this.options.logger.debug(
                { step: "records.exchange", peer: peer.processId, err: error },
                "exchange failed",
            );
        }
    }

    private pickPeers(count: number): RecordPeer[] {
        const pool = [...this.options.peers()];
        const picked: RecordPeer[] = [];
        while (picked.length < count && pool.length > 0) {
            const index = Math.floor(Math.random() * pool.length);
            picked.push(...pool.splice(index, 1));
        }
        return picked;
    }
}
