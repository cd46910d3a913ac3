import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { clearTimeout, setTimeout } from "node:timers";

/** Largest number of items in one page of `GET /api/kv-range`. */
const PAGE_SIZE = 500;

/** Stand-in for the platform's key-value service, after the users' protocol page. */
export class Store {
    #items = new Map();
    #leases = new Map();
    #changes = [];
    #revision = 100;
    #nextLeaseId = 1;
    #watchers = new Set();
    #server = createServer((request, response) => void this.#handle(request, response));

    async start() {
        await new Promise(resolve => this.#server.listen(0, "127.0.0.1", resolve));
        this.address = `127.0.0.1:${this.#server.address().port}`;
        return this;
    }

    close() {
        for (const { timer } of this.#leases.values()) clearTimeout(timer);
        this.#server.closeAllConnections();
        this.#server.close();
    }

    /** Writes a value as the operator or a backend server does; the return is the acknowledgement. */
    put(key, value) {
        this.#revision += 1;
        this.#write(key, Buffer.from(JSON.stringify(value)).toString("base64"), 0);
        this.#wake();
    }

    remove(key) {
        this.#revision += 1;
        this.#delete(key);
        this.#wake();
    }

    async #handle(request, response) {
        const chunks = [];
        for await (const chunk of request) chunks.push(chunk);
        const text = Buffer.concat(chunks).toString("utf8");
        const url = new URL(request.url, "http://store");
        const [status, body] = await this.#dispatch(request.method, url, text === "" ? {} : JSON.parse(text));
        response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
    }

    #dispatch(method, url, body) {
        const [, , call, id] = url.pathname.split("/");
        const query = url.searchParams;
        if (method === "GET" && call === "kv-key") return this.#get(query.get("key"));
        if (method === "GET" && call === "kv-range") return this.#range(query.get("prefix"), query.get("after") ?? "");
        if (method === "GET" && call === "kv-watch") {
            return this.#watch(query.get("prefix"), Number(query.get("after")), Number(query.get("wait_ms")));
        }
        if (call === "kv-txn") return this.#commit(body);
        if (call === "kv-lease") return this.#grant(body.ttl_ms);
        if (call === "kv-keep") return this.#keep(Number(id));
        if (call === "kv-lease-end") return this.#end(Number(id));
        return [404, {}];
    }

    #get(key) {
        const item = this.#items.get(key);
        return item === undefined ? [404, {}] : [200, { ...item, store_revision: this.#revision }];
    }

    #range(prefix, after) {
        const keys = [...this.#items.keys()].filter(key => key.startsWith(prefix) && key > after).sort();
        const items = keys.slice(0, PAGE_SIZE).map(key => this.#items.get(key));
        return [200, { items, has_more: keys.length > PAGE_SIZE, store_revision: this.#revision }];
    }

    async #watch(prefix, after, waitMs) {
        const list = () => this.#changes.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
        const endAtMs = Date.now() + waitMs;
        while (list().length === 0 && Date.now() < endAtMs) {
            await new Promise(resolve => {
                const finish = () => {
                    clearTimeout(timer);
                    this.#watchers.delete(finish);
                    resolve();
                };
                const timer = setTimeout(finish, Math.max(1, endAtMs - Date.now()));
                this.#watchers.add(finish);
            });
        }
        return [200, { events: list(), store_revision: this.#revision }];
    }

    #commit({ expected = [], puts = [], remove = [] }) {
        if (expected.some(({ key, revision }) => (this.#items.get(key)?.revision ?? 0) !== revision)) {
            const items = expected.map(({ key }) => this.#items.get(key)).filter(item => item !== undefined);
            return [412, { items }];
        }
        if (puts.some(({ lease = 0 }) => lease !== 0 && !this.#leases.has(lease))) return [404, {}];
        this.#revision += 1;
        for (const { key, value, lease = 0 } of puts) this.#write(key, value, lease);
        for (const key of remove) this.#delete(key);
        this.#wake();
        return [200, { revision: this.#revision }];
    }

    #grant(ttlMs) {
        const id = this.#nextLeaseId++;
        this.#leases.set(id, { ttlMs, timer: setTimeout(() => this.#end(id), ttlMs) });
        return [200, { lease: id, ttl_ms: ttlMs }];
    }

    #keep(id) {
        const lease = this.#leases.get(id);
        if (lease === undefined) return [404, {}];
        lease.timer.refresh();
        return [200, { ttl_ms: lease.ttlMs }];
    }

    #end(id) {
        clearTimeout(this.#leases.get(id)?.timer);
        this.#leases.delete(id);
        this.#revision += 1;
        for (const { key, lease } of [...this.#items.values()]) if (lease === id) this.#delete(key);
        this.#wake();
        return [200, {}];
    }

    #write(key, value, lease) {
        const create = this.#items.get(key)?.create_rev ?? this.#revision;
        const item = { key, value, revision: this.#revision, create_rev: create, lease };
        this.#items.set(key, item);
        this.#changes.push(item);
    }

    #delete(key) {
        if (this.#items.delete(key)) this.#changes.push({ key, revision: this.#revision, tombstone: true });
    }

    #wake() {
        for (const wake of [...this.#watchers]) wake();
    }
}
