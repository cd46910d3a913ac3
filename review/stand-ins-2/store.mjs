// Stand-in for the platform's metadata store, as PROTOCOL.md describes it, without any fault.
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { clearTimeout, setTimeout } from "node:timers";

export class Store {
    items = new Map();
    leases = new Map();
    changes = [];
    revision = 100;
    nextLease = 1;
    watchers = new Set();
    /** Called with each call's method and path; returns a delay in ms, "silent" or undefined. */
    onCall = () => undefined;

    async start(port = 0) {
        this.server = createServer((request, response) => this.receive(request, response));
        this.server.keepAliveTimeout = 30_000;
        await new Promise(resolve => this.server.listen(port, "127.0.0.1", resolve));
        return this;
    }

    get address() {
        return `127.0.0.1:${this.server.address().port}`;
    }

    close() {
        for (const { timer } of this.leases.values()) clearTimeout(timer);
        this.server.closeAllConnections();
        this.server.close();
    }

    /** Writes as the operator or an engine does. */
    put(key, value) {
        this.write(key, Buffer.from(JSON.stringify(value)).toString("base64"), 0);
        this.notify();
    }

    remove(key) {
        this.delete(key);
        this.notify();
    }

    read(key) {
        const item = this.items.get(key);
        return item === undefined ? undefined : JSON.parse(Buffer.from(item.value, "base64").toString());
    }

    write(key, value, lease) {
        this.revision += 1;
        const before = this.items.get(key);
        const item = { key, value, revision: this.revision, create_rev: before?.create_rev ?? this.revision, lease };
        this.items.set(key, item);
        this.changes.push(item);
    }

    delete(key) {
        if (!this.items.delete(key)) return;
        this.revision += 1;
        this.changes.push({ key, revision: this.revision, tombstone: true });
    }

    notify() {
        for (const wake of [...this.watchers]) wake();
    }

    endLease(id) {
        const lease = this.leases.get(id);
        if (lease === undefined) return;
        clearTimeout(lease.timer);
        this.leases.delete(id);
        for (const { key, lease: held } of [...this.items.values()]) if (held === id) this.delete(key);
        this.notify();
    }

    renew(id, ttlMs) {
        clearTimeout(this.leases.get(id)?.timer);
        this.leases.set(id, { ttlMs, timer: setTimeout(() => this.endLease(id), ttlMs) });
    }

    receive(request, response) {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("error", () => undefined);
        request.on("end", async () => {
            const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString());
            const action = this.onCall(request.method, request.url, body);
            if (action === "silent") return;
            if (typeof action === "number") await new Promise(resolve => setTimeout(resolve, action));
            const { status, json } = await this.answer(request, body);
            if (response.destroyed) return;
            const text = JSON.stringify(json ?? {});
            response.writeHead(status, {
                "content-type": "application/json",
                "content-length": Buffer.byteLength(text),
            }).end(text);
        });
    }

    async answer(request, body) {
        const url = new URL(request.url, "http://store");
        const query = Object.fromEntries(url.searchParams);
        const call = `${request.method} ${url.pathname}`;
        if (call === "GET /api/kv-key") {
            const item = this.items.get(query.key);
            if (item === undefined) return { status: 404 };
            return { status: 200, json: { ...item, store_revision: this.revision } };
        }
        if (call === "GET /api/kv-range") {
            const keys = [...this.items.keys()].filter(key => key.startsWith(query.prefix ?? "")).sort();
            const left = keys.filter(key => query.after === undefined || key > query.after);
            const items = left.slice(0, 500).map(key => this.items.get(key));
            return { status: 200, json: { items, has_more: left.length > 500, store_revision: this.revision } };
        }
        if (call === "GET /api/kv-watch") return this.watch(query, request);
        if (call === "POST /api/kv-txn") return this.commit(body);
        if (call === "POST /api/kv-lease") {
            const lease = this.nextLease++;
            const ttl = Math.max(1_000, body.ttl_ms);
            this.renew(lease, ttl);
            return { status: 200, json: { lease, ttl_ms: ttl } };
        }
        const [, verb, id] = /^\/api\/(kv-keep|kv-lease-end)\/(\d+)$/.exec(url.pathname) ?? [];
        const lease = this.leases.get(Number(id));
        if (verb === undefined) return { status: 400 };
        if (lease === undefined) return { status: 404 };
        if (verb === "kv-lease-end") this.endLease(Number(id));
        else this.renew(Number(id), lease.ttlMs);
        return { status: 200, json: { lease: Number(id), ttl_ms: lease.ttlMs } };
    }

    commit({ expected = [], puts = [], remove = [] }) {
        const current = expected.map(({ key }) => this.items.get(key)).filter(item => item !== undefined);
        if (expected.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) {
            return { status: 412, json: { items: current } };
        }
        if (puts.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) return { status: 404 };
        const before = this.revision;
        for (const { key, value, lease = 0 } of puts) this.write(key, value, lease);
        for (const key of remove) this.delete(key);
        // One transaction is one change.
        if (this.revision > before + 1) {
            for (const change of this.changes) if (change.revision > before) change.revision = this.revision;
        }
        this.notify();
        return { status: 200, json: { revision: this.revision } };
    }

    async watch({ prefix = "", after, wait_ms }, request) {
        const list = () =>
            this.changes.filter(({ key, revision }) => revision > Number(after) && key.startsWith(prefix))
                .map(change => ({ ...change }));
        if (list().length === 0) {
            await new Promise(resolve => {
                const finish = () => {
                    if (list().length === 0 && timer !== undefined) return;
                    end();
                };
                const end = () => {
                    clearTimeout(timer);
                    this.watchers.delete(finish);
                    request.socket.off("close", end);
                    resolve();
                };
                const timer = setTimeout(end, Math.min(30_000, Number(wait_ms)));
                this.watchers.add(finish);
                request.socket.once("close", end);
            });
        }
        return { status: 200, json: { events: list(), store_revision: this.revision } };
    }
}
