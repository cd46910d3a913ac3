import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

export interface Item {
    readonly key: string;
    readonly value: string;
    readonly revision: number;
    readonly create_rev: number;
    readonly lease: number;
}

export type Change = Item | { readonly key: string; readonly revision: number; readonly tombstone: true; };

interface Transaction {
    readonly expected?: readonly { readonly key: string; readonly revision: number; }[];
    readonly puts?: readonly { readonly key: string; readonly value: string; readonly lease?: number; }[];
    readonly remove?: readonly string[];
}

export type StoreOutage = "none" | "silent" | "reset" | "unavailable" | "too_many_requests";

interface StoreResponse {
    readonly status: number;
    readonly body: unknown;
}

/** Data of the service at a moment. */
export interface StoreCopy {
    readonly items: ReadonlyMap<string, Item>;
    readonly changes: readonly Change[];
    readonly leaseIds: readonly number[];
    readonly nextLeaseId: number;
    readonly revision: number;
}

const PAGE_SIZE = 5;
const SLOW_CHUNK_INTERVAL_MS = 50;

/** Stand-in for the platform's HTTP key-value service, with the faults that the service's specification describes. */
export class PlatformStoreStandIn {
    /**
     * Calls get no response (`silent`), a closed connection (`reset`), 503 (`unavailable`) or 429
     * (`too_many_requests`).
     */
    outage: StoreOutage = "none";
    /** Number of further writes that take effect without a response. */
    lostResponseCount = 0;
    /** Delay before each response. */
    delayMs = 0;
    /** Rate at which response bodies are sent; undefined for no limit. */
    bytesPerSecond: number | undefined;
    readonly calls: string[] = [];
    private readonly items = new Map<string, Item>();
    private readonly leases = new Map<number, { ttlMs: number; timer: NodeJS.Timeout; }>();
    private changes: Change[] = [];
    private compactedRevision = 0;
    private revision = 100;
    private nextLeaseId = 1;
    /** Number of restores, which all responses state. */
    private generation = 0;
    private readonly watchers = new Set<() => void>();
    private readonly server: Server;

    private constructor() {
        this.server = createServer((request, response) => void this.handle(request, response));
    }

    static async start(): Promise<PlatformStoreStandIn> {
        const store = new PlatformStoreStandIn();
        await new Promise<void>(resolve => store.server.listen(0, "127.0.0.1", resolve));
        return store;
    }

    get address(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    async close(): Promise<void> {
        for (const { timer } of this.leases.values()) clearTimeout(timer);
        this.server.closeAllConnections();
        await new Promise(resolve => this.server.close(resolve));
    }

    /** Writes a value without a condition or lease, as an operator or a backend server does. */
    put(key: string, value: unknown): void {
        const text = typeof value === "string" ? value : JSON.stringify(value);
        this.write(key, Buffer.from(text).toString("base64"), 0);
        this.notifyWatchers();
    }

    remove(key: string): void {
        this.deleteItem(key);
        this.notifyWatchers();
    }

    get storeRevision(): number {
        return this.revision;
    }

    read(key: string): string | undefined {
        const item = this.items.get(key);
        return item === undefined ? undefined : Buffer.from(item.value, "base64").toString();
    }

    keys(prefix: string): string[] {
        return [...this.items.keys()].filter(key => key.startsWith(prefix)).sort();
    }

    /** Discards the change history; a watch from an earlier revision gets status 410. */
    compact(): void {
        this.changes = [];
        this.compactedRevision = this.revision;
        this.notifyWatchers();
    }

    /** Deletes all keys under the prefix immediately, as when the service ends leases early. */
    deletePrefix(prefix: string): void {
        for (const key of this.keys(prefix)) this.deleteItem(key);
        this.notifyWatchers();
    }

    copyData(): StoreCopy {
        return {
            items: new Map(this.items),
            changes: [...this.changes],
            leaseIds: [...this.leases.keys()],
            nextLeaseId: this.nextLeaseId,
            revision: this.revision,
        };
    }

    /** Replaces the data by an older copy; revisions and ids of leases are given out again from there on. */
    restore(copy: StoreCopy): void {
        this.generation += 1;
        this.items.clear();
        for (const [key, item] of copy.items) this.items.set(key, item);
        this.changes = [...copy.changes];
        for (const leaseId of this.leases.keys()) if (!copy.leaseIds.includes(leaseId)) this.leases.delete(leaseId);
        this.nextLeaseId = copy.nextLeaseId;
        this.revision = copy.revision;
        for (const item of copy.items.values()) {
            if (item.lease > 0 && !this.leases.has(item.lease)) this.deleteItem(item.key);
        }
        this.notifyWatchers();
    }

    /** Sets the revision as if many changes had been made and forgotten. */
    skipTo(revision: number): void {
        this.revision = revision;
        this.compact();
    }

    /** Writes an unused key until the revision is reached. */
    advanceTo(revision: number): void {
        while (this.revision < revision) this.write("unused", "", 0);
        this.notifyWatchers();
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const url = new URL(request.url ?? "/", "http://store");
        const chunks: Buffer[] = [];
        for await (const chunk of request) chunks.push(chunk as Buffer);
        this.calls.push(`${request.method} ${url.pathname}`);
        if (this.outage === "silent") return;
        if (this.outage === "reset") return void request.socket.destroy();
        if (this.outage === "unavailable" || this.outage === "too_many_requests") {
            return this.writeResponse(response, { status: this.outage === "unavailable" ? 503 : 429, body: {} });
        }
        const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString()) as Record<string, unknown>;
        const result = await this.dispatch(request.method ?? "GET", url, body);
        if (this.delayMs > 0) await new Promise(resolve => setTimeout(resolve, this.delayMs));
        if (request.method !== "GET" && this.lostResponseCount > 0) {
            this.lostResponseCount -= 1;
            return void request.socket.destroy();
        }
        if (this.bytesPerSecond === undefined) this.writeResponse(response, result);
        else await this.writeSlowly(response, result, this.bytesPerSecond);
    }

    private async writeSlowly(response: ServerResponse, { status, body }: StoreResponse, rate: number): Promise<void> {
        const bytes = Buffer.from(JSON.stringify(body));
        const chunkSize = Math.max(1, Math.floor(rate * SLOW_CHUNK_INTERVAL_MS / 1_000));
        response.writeHead(status, { ...this.createHeaders(), "content-length": bytes.length });
        for (let offset = 0; offset < bytes.length && !response.destroyed; offset += chunkSize) {
            response.write(bytes.subarray(offset, offset + chunkSize));
            await new Promise(resolve => setTimeout(resolve, SLOW_CHUNK_INTERVAL_MS));
        }
        response.end();
    }

    private async dispatch(method: string, url: URL, body: Record<string, unknown>): Promise<StoreResponse> {
        const [, , call = "", id = ""] = url.pathname.split("/");
        const { searchParams: query } = url;
        if (call === "kv-key") return this.get(query.get("key") ?? "");
        if (call === "kv-range") return this.range(query.get("prefix") ?? "", query.get("after") ?? "");
        if (call === "kv-watch") {
            return this.watch(query.get("prefix") ?? "", Number(query.get("after")), Number(query.get("wait_ms")));
        }
        if (call === "kv-txn") return this.commit(body);
        if (call === "kv-lease" && method === "POST") return this.grantLease(Number(body["ttl_ms"]));
        if (call === "kv-keep") return this.renewLease(Number(id));
        if (call === "kv-lease-end") {
            this.endLease(Number(id));
            return { status: 200, body: {} };
        }
        return { status: 404, body: {} };
    }

    private get(key: string): StoreResponse {
        const item = this.items.get(key);
        return item === undefined
            ? { status: 404, body: {} }
            : { status: 200, body: { ...item, store_revision: this.revision } };
    }

    private range(prefix: string, after: string): StoreResponse {
        const keys = this.keys(prefix).filter(key => key > after);
        const items = keys.slice(0, PAGE_SIZE).map(key => this.items.get(key));
        return { status: 200, body: { items, has_more: keys.length > PAGE_SIZE, store_revision: this.revision } };
    }

    private async watch(prefix: string, after: number, waitMs: number): Promise<StoreResponse> {
        const endAtMs = Date.now() + waitMs;
        for (;;) {
            if (after < this.compactedRevision || after > this.revision) return { status: 410, body: {} };
            const events = this.changes.filter(change => change.revision > after && change.key.startsWith(prefix));
            const remainingMs = endAtMs - Date.now();
            if (events.length > 0 || remainingMs <= 0) {
                return { status: 200, body: { events, store_revision: this.revision } };
            }
            await new Promise<void>(resolve => {
                const finish = (): void => {
                    clearTimeout(timer);
                    this.watchers.delete(finish);
                    resolve();
                };
                const timer = setTimeout(finish, remainingMs);
                this.watchers.add(finish);
            });
        }
    }

    private commit({ expected = [], puts = [], remove = [] }: Transaction): StoreResponse {
        const isExpectedState = expected.every(({ key, revision }) =>
            (this.items.get(key)?.revision ?? 0) === revision
        );
        if (!isExpectedState) {
            const items = expected.map(({ key }) => this.items.get(key)).filter(item => item !== undefined);
            return { status: 412, body: { items } };
        }
        if (puts.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) return { status: 404, body: {} };
        this.revision += 1;
        for (const { key, value, lease = 0 } of puts) this.write(key, value, lease, this.revision);
        for (const key of remove) this.deleteItem(key, this.revision);
        this.notifyWatchers();
        return { status: 200, body: { revision: this.revision } };
    }

    private grantLease(ttlMs: number): StoreResponse {
        const leaseId = this.nextLeaseId++;
        this.leases.set(leaseId, { ttlMs, timer: setTimeout(() => this.endLease(leaseId), ttlMs) });
        return { status: 200, body: { lease: leaseId, ttl_ms: ttlMs } };
    }

    private renewLease(leaseId: number): StoreResponse {
        const lease = this.leases.get(leaseId);
        if (lease === undefined) return { status: 404, body: {} };
        lease.timer.refresh();
        return { status: 200, body: { ttl_ms: lease.ttlMs } };
    }

    private endLease(leaseId: number): void {
        clearTimeout(this.leases.get(leaseId)?.timer);
        this.leases.delete(leaseId);
        for (const item of [...this.items.values()]) if (item.lease === leaseId) this.deleteItem(item.key);
        this.notifyWatchers();
    }

    private write(key: string, value: string, leaseId: number, revision = ++this.revision): void {
        const item: Item = {
            key,
            value,
            revision,
            create_rev: this.items.get(key)?.create_rev ?? revision,
            lease: leaseId,
        };
        this.items.set(key, item);
        this.changes.push(item);
    }

    private deleteItem(key: string, revision = ++this.revision): void {
        if (this.items.delete(key)) this.changes.push({ key, revision, tombstone: true });
    }

    private notifyWatchers(): void {
        for (const wake of [...this.watchers]) wake();
    }

    private writeResponse(response: ServerResponse, { status, body }: StoreResponse): void {
        response.writeHead(status, this.createHeaders()).end(JSON.stringify(body));
    }

    private createHeaders(): Record<string, string> {
        return { "content-type": "application/json", "store-era": String(this.generation) };
    }
}
