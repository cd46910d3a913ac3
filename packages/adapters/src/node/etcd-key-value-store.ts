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
import { OutcomeUnknownError, ProtocolError, UnavailableError } from "@skylarkmill/protocol";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { Dispatcher, Pool } from "undici";
import type { z } from "zod";
import * as schemas from "../runtime/etcd-schemas.ts";
import { readWatchStream } from "../runtime/etcd-watch.ts";
import { parseJson, sendJsonRequest } from "../runtime/json-request.ts";
import { createSingleUsePool } from "../runtime/single-use-pool.ts";
import { trackSend } from "../runtime/tracked-dispatch.ts";
import { prefixEndBase64, toBase64, toKeyValueEntry, toTxnRequest } from "../utils/etcd-keys.ts";

export interface EtcdKeyValueStoreOptions {
    /** Base URLs of the service, such as `http://127.0.0.1:2379`; if one is unavailable, the next is tried. */
    readonly endpoints: readonly string[];
    /** Timeout of one call; doesn't apply to watches. @default 2000 */
    readonly timeoutMs?: number;
    /**
     * Maximum number of concurrent calls per endpoint. Each call and each watch opens a connection.
     * A call without a response counts until it times out. @default 16
     */
    readonly maxConnections?: number;
    /** Maximum number of keys per page of a range read. @default 200 */
    readonly pageSize?: number;
    /** A watch that receives no message for this time fails. @default 900000 */
    readonly watchIdleTimeoutMs?: number;
}

export interface EtcdKeyValueStore extends KeyValueStore {
    close(): Promise<void>;
}

type ResolvedOptions = Required<EtcdKeyValueStoreOptions>;

interface EtcdCall {
    readonly step: string;
    readonly path: string;
    readonly body: unknown;
    readonly isWrite: boolean;
}

interface Endpoint {
    readonly peer: string;
    readonly pool: Pool;
    readonly dispatcher: Dispatcher;
}

// A value holds up to 1 MB, base64 adds a third, and a page contains several values.
const MAX_BODY_BYTES = 16 * 1024 * 1024;
const NOT_FOUND = 404;

function resolveOptions(options: EtcdKeyValueStoreOptions): ResolvedOptions {
    if (options.endpoints.length === 0) throw new RangeError("endpoints must contain at least one base URL");
    return { timeoutMs: 2000, maxConnections: 16, pageSize: 200, watchIdleTimeoutMs: 900_000, ...options };
}

class EtcdJsonGatewayStore implements EtcdKeyValueStore {
    private readonly options: ResolvedOptions;
    private readonly endpoints: readonly Endpoint[];
    private endpointIndex = 0;

    constructor(options: ResolvedOptions) {
        this.options = options;
        this.endpoints = options.endpoints.map(url => {
            const pool = createSingleUsePool(url, options.maxConnections);
            return { peer: new URL(url).host, pool, dispatcher: pool.compose(trackSend) };
        });
    }

    get(key: string): ResultAsync<KeyValueEntry | undefined, KeyValueError> {
        const call = { step: "kv.get", path: "/v3/kv/range", body: { key: toBase64(key) }, isWrite: false };
        return this.call(call, schemas.rangeResponse).map(response => {
            const [kv] = response.kvs;
            return kv === undefined ? undefined : toKeyValueEntry(kv);
        });
    }

    range(prefix: string, options: { readonly limit?: number; } = {}): ResultAsync<RangeResult, KeyValueError> {
        return new ResultAsync(this.readPages(prefix, options.limit ?? Infinity));
    }

    commit(transaction: Transaction): ResultAsync<TransactionResult, KeyValueError> {
        const call = { step: "kv.commit", path: "/v3/kv/txn", body: toTxnRequest(transaction), isWrite: true };
        return this.call(call, schemas.txnResponse).map(response => ({
            succeeded: response.succeeded,
            revision: response.header.revision,
            entries: response.succeeded
                ? []
                : response.responses.flatMap(part => part.response_range?.kvs ?? []).map(toKeyValueEntry),
        }));
    }

    grantLease(ttlMs: number): ResultAsync<Lease, KeyValueError> {
        // etcd takes the lease duration in whole seconds.
        const body = { TTL: String(Math.max(1, Math.ceil(ttlMs / 1000))), ID: "0" };
        const call = { step: "kv.lease.grant", path: "/v3/lease/grant", body, isWrite: true };
        return this.call(call, schemas.leaseGrantResponse).map(lease => ({
            leaseId: lease.ID,
            ttlMs: lease.TTL * 1000,
        }));
    }

    keepLeaseAlive(leaseId: string): ResultAsync<Lease | undefined, KeyValueError> {
        const call = { step: "kv.lease.keepalive", path: "/v3/lease/keepalive", body: { ID: leaseId }, isWrite: true };
        return this.call(call, schemas.leaseKeepAliveResponse).map(({ result }) =>
            result.TTL <= 0 ? undefined : { leaseId: result.ID, ttlMs: result.TTL * 1000 }
        );
    }

    revokeLease(leaseId: string): ResultAsync<void, KeyValueError> {
        const call = { step: "kv.lease.revoke", path: "/v3/lease/revoke", body: { ID: leaseId }, isWrite: true };
        return this.call(call, schemas.emptyResponse, [NOT_FOUND]).map(() => undefined);
    }

    watch(prefix: string, fromRevision: number, signal: AbortSignal): AsyncIterable<readonly WatchEvent[]> {
        const { peer, pool } = this.endpoints[this.endpointIndex]!;
        const body = {
            create_request: {
                key: toBase64(prefix),
                range_end: prefixEndBase64(prefix),
                start_revision: String(fromRevision),
                progress_notify: true,
            },
        };
        return readWatchStream({
            origin: new URL(this.options.endpoints[this.endpointIndex]!).origin,
            connectTimeoutMs: this.options.timeoutMs,
            idleTimeoutMs: this.options.watchIdleTimeoutMs,
            maxMessageBytes: MAX_BODY_BYTES,
            peer,
            body,
            signal,
            isClosed: () => pool.destroyed || pool.closed,
        });
    }

    async close(): Promise<void> {
        await Promise.all(this.endpoints.map(endpoint => endpoint.pool.destroy()));
    }

    private async readPages(prefix: string, limit: number): Promise<Result<RangeResult, KeyValueError>> {
        const entries: KeyValueEntry[] = [];
        const rangeEnd = prefixEndBase64(prefix);
        let key = toBase64(prefix);
        let revision = 0;
        for (;;) {
            const pageSize = Math.min(this.options.pageSize, limit - entries.length);
            // Later pages are read at the revision of the first page, so that all pages belong to one snapshot.
            const body = { key, range_end: rangeEnd, limit: String(pageSize), revision: String(revision) };
            const call = { step: "kv.range", path: "/v3/kv/range", body, isWrite: false };
            const page = await this.call(call, schemas.rangeResponse);
            if (page.isErr()) return err(page.error);
            if (revision === 0) revision = page.value.header.revision;
            entries.push(...page.value.kvs.map(toKeyValueEntry));
            const last = page.value.kvs.at(-1);
            if (!page.value.more || last === undefined || entries.length >= limit) return ok({ entries, revision });
            key = toBase64(`${last.key}\0`);
        }
    }

    private call<Schema extends z.ZodType>(
        call: EtcdCall,
        schema: Schema,
        extraOkStatuses: readonly number[] = [],
    ): ResultAsync<z.output<Schema>, KeyValueError> {
        return new ResultAsync(this.callWithFailover(call, schema, extraOkStatuses));
    }

    private async callWithFailover<Schema extends z.ZodType>(
        call: EtcdCall,
        schema: Schema,
        extraOkStatuses: readonly number[],
    ): Promise<Result<z.output<Schema>, KeyValueError>> {
        let result: Result<z.output<Schema>, KeyValueError>;
        let attemptsLeft = this.endpoints.length;
        do {
            result = await this.callEndpoint(this.endpoints[this.endpointIndex]!, call, schema, extraOkStatuses);
            if (result.isOk() || !(result.error instanceof UnavailableError)) return result;
            this.endpointIndex = (this.endpointIndex + 1) % this.endpoints.length;
        }
        while (--attemptsLeft > 0);
        return result;
    }

    private async callEndpoint<Schema extends z.ZodType>(
        endpoint: Endpoint,
        call: EtcdCall,
        schema: Schema,
        extraOkStatuses: readonly number[],
    ): Promise<Result<z.output<Schema>, KeyValueError>> {
        const { peer } = endpoint;
        const response = await sendJsonRequest(endpoint.dispatcher, peer, {
            ...call,
            method: "POST",
            timeoutMs: this.options.timeoutMs,
            maxBodyBytes: MAX_BODY_BYTES,
        });
        if (response.isErr()) return err(response.error);
        const { status, text } = response.value;
        if (status !== 200 && !extraOkStatuses.includes(status)) return err(toStatusError(call, peer, status, text));
        const parsed = parseJson(schema, text, { step: call.step, peer });
        if (parsed.isOk() || !call.isWrite) return parsed;
        return err(new OutcomeUnknownError(parsed.error.message, { step: call.step, peer, cause: parsed.error }));
    }
}

function toStatusError(call: EtcdCall, peer: string, status: number, text: string): KeyValueError {
    const context = { step: call.step, peer };
    const message = `${call.path} answered ${status}: ${text.slice(0, 200)}`;
    if (status < 500) return new ProtocolError(message, context);
    // etcd reports a missing leader before it proposes a write; other errors may occur after the proposal.
    if (!call.isWrite || text.includes("no leader")) return new UnavailableError(message, context);
    return new OutcomeUnknownError(message, context);
}

/**
 * Creates a key-value store that calls an etcd v3 service through its JSON gateway.
 *
 * Reads fail with `UnavailableError`, or with `ProtocolError` if the response is invalid or has an error status below
 * 500. A write fails with `UnavailableError` if no byte of it was sent or the service has no leader, with
 * `ProtocolError` if the service rejects it with a status below 500, and otherwise with `OutcomeUnknownError`.
 *
 * @example
 * const store = createEtcdKeyValueStore({ endpoints: ["http://127.0.0.1:2379"], timeoutMs: 1000 });
 * const entry = await store.get("/skylarkmill/config/workshop");
 */
export function createEtcdKeyValueStore(options: EtcdKeyValueStoreOptions): EtcdKeyValueStore {
    return new EtcdJsonGatewayStore(resolveOptions(options));
}
