// Stand-in for a model engine or a plain service's server, as PROTOCOL.md describes it, without any fault.
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { performance } from "node:perf_hooks";
import { clearInterval, setInterval, setTimeout } from "node:timers";

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

export class Engine {
    sequence = 0;
    busy = false;
    fence = 0;
    /** Adapters by model. */
    models = new Map();
    coming = new Set();
    /** Adapters whose unload waits for their runs. */
    leaving = new Set();
    runs = new Map();
    active = 0;
    orders = [];
    requests = [];
    overloads = [];
    crashed = false;
    state = "ready";

    constructor(options) {
        Object.assign(this, {
            slots: 32,
            zone: "edinburgh",
            eventCount: 10,
            eventMs: 40,
            firstMs: 20,
            workMs: 60,
            /** Difference of the machine's time of day. */
            clockMs: 0,
            port: 0,
            adapterMs: 6,
            loadMs: 470,
            maxAdapters: 8,
            memoryMb: 230_000,
            models: new Map(),
            profile: new Map(),
            ...options,
        });
        this.born = Date.now() + this.clockMs;
    }

    async start() {
        this.server = createServer((request, response) => this.receive(request, response));
        this.server.keepAliveTimeout = 5_000;
        await new Promise(resolve => this.server.listen(this.port, "127.0.0.1", resolve));
        this.address = `127.0.0.1:${this.server.address().port}`;
        this.beat();
        this.timer = setInterval(() => this.beat(), 1_200);
        return this;
    }

    describeModels() {
        return [...this.models].map(([name, adapters]) => ({ name, version: 1, adapters: [...adapters] }));
    }

    beat() {
        if (this.crashed) return;
        this.store.put(`servers/${this.id}`, {
            service: this.service,
            address: this.address,
            zone: this.zone,
            version: "v1",
            slots: this.slots,
            state: this.state,
            cold_remaining_ms: 0,
            born: this.born,
            sequence: this.sequence,
            ...(this.isModelEngine
                ? { stage: "both", models: this.describeModels(), at_hand: this.atHand() }
                : {}),
        });
    }

    atHand() {
        return { in_memory: [...this.profile.keys()], on_disk: [...this.profile.keys()] };
    }

    close() {
        clearInterval(this.timer);
        this.server.closeAllConnections();
        this.server.close();
    }

    /** Ends as a process that is killed. */
    crash(reason) {
        this.crashed = true;
        this.overloads.push(reason);
        clearInterval(this.timer);
        for (const socket of this.sockets ?? []) socket.destroy();
        this.server.closeAllConnections();
        this.server.close();
    }

    receive(request, response) {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("error", () => undefined);
        response.on("error", () => undefined);
        request.on("end", () => {
            const body = Buffer.concat(chunks);
            const expected = request.headers["x-expect-instance"];
            if (expected !== undefined && expected !== this.id) {
                return this.send(response, 421, { "x-instance-id": this.id, ...this.echo(request) }, "");
            }
            if (request.url === "/api/report") return this.report(response);
            if (request.url === "/api/order") return this.order(JSON.parse(body.toString()), response);
            return this.run(request, body, response);
        });
    }

    echo(request) {
        const id = request.headers["x-attempt-id"];
        return id === undefined ? {} : { "x-attempt-id": id };
    }

    send(response, status, headers, body) {
        response.writeHead(status, { "content-length": Buffer.byteLength(body), ...headers }).end(body);
    }

    report(response) {
        const json = {
            born: this.born,
            stage: "both",
            models: this.describeModels(),
            busy: this.busy,
            sequence: this.sequence,
            queued: 0,
            active: this.active,
            kv_used: 0,
            kv_total: 84_739,
            handles: 0,
            coming: [...this.coming].map(key => `${key}@1`),
            at_hand: this.atHand(),
        };
        this.send(response, 200, { "content-type": "application/json" }, JSON.stringify(json));
    }

    order(order, response) {
        const before = [...this.models.values()].reduce((sum, set) => sum + set.size, 0);
        const status = this.applyOrder(order);
        this.orders.push({
            atMs: Math.round(performance.now()),
            ...order,
            status,
            adaptersBefore: before,
            comingBefore: this.coming.size,
        });
        this.onOrder?.(this.orders.at(-1));
        if (status === "crash") return;
        this.send(response, status, {}, "");
    }

    countAdapters() {
        return [...this.models.values()].reduce((sum, set) => sum + set.size, this.coming.size);
    }

    applyOrder({ operation, model, adapter, expected, owner, fencing_token: token }) {
        if (owner === undefined || token === undefined) return 400;
        if (this.checksFences && token < this.fence) return 412;
        const adapters = this.models.get(model);
        const key = `${model}/${adapter}`;
        const holds = adapter === undefined ? adapters !== undefined : adapters?.has(adapter) === true;
        if (operation === "load" && holds && !this.leaving.has(key)) return 200;
        if (operation === "load" && adapter === undefined && this.loading === model) return 202;
        if (operation === "unload" && !holds) return 200;
        if (expected !== undefined && expected !== this.sequence) return 409;
        // An unload that waits for its runs is an order in progress.
        if (this.busy || this.leaving.size > 0) return 409;
        this.fence = Math.max(this.fence, token);
        return adapter === undefined
            ? this.orderModel(operation, model)
            : this.orderAdapter(operation, model, adapter, key);
    }

    orderModel(operation, model) {
        this.sequence += 1;
        this.busy = true;
        if (operation === "load") {
            const usedMb = [...this.models.keys(), model].reduce((sum, name) => sum + this.profile.get(name).mb, 0);
            if (usedMb > this.memoryMb) {
                this.crash({ atMs: Math.round(performance.now()), model, usedMb });
                return "crash";
            }
            this.loading = model;
            setTimeout(() => {
                this.models.set(model, new Set());
                this.loading = undefined;
                this.busy = false;
                this.beat();
            }, this.loadMs);
        }
        else {
            this.unloading = model;
            this.finishUnload();
        }
        return 202;
    }

    finishUnload() {
        const model = this.unloading;
        if (model === undefined || this.countRuns(model) > 0) return;
        this.models.delete(model);
        this.unloading = undefined;
        this.busy = false;
        this.beat();
    }

    countRuns(model) {
        return [...this.runs].filter(([key]) => key.split("/")[0] === model).reduce((sum, [, count]) => sum + count, 0);
    }

    orderAdapter(operation, model, adapter, key) {
        if (operation === "unload") {
            this.sequence += 1;
            if ((this.runs.get(key) ?? 0) > 0) {
                // An unload waits for its runs to finish and then drops what the engine kept.
                this.leaving.add(key);
                return 202;
            }
            this.models.get(model).delete(adapter);
            return 200;
        }
        if (!this.models.has(model)) return 400;
        // Four adapters may be in transit to an engine at the same time.
        if (this.coming.has(key)) return 202;
        if (this.coming.size >= 4) return 409;
        const held = this.countAdapters();
        if (held >= this.maxAdapters) {
            // An engine that is ordered to load more than `max_adapters` crashes.
            this.crash({ atMs: Math.round(performance.now()), adapter: key, held, leaving: [...this.leaving] });
            return "crash";
        }
        this.sequence += 1;
        this.coming.add(key);
        setTimeout(() => {
            this.coming.delete(key);
            this.models.get(model)?.add(adapter);
        }, this.adapterMs);
        return 202;
    }

    end(key) {
        const count = (this.runs.get(key) ?? 1) - 1;
        if (count > 0) this.runs.set(key, count);
        else this.runs.delete(key);
        if (count === 0 && this.leaving.delete(key)) {
            const [model, adapter] = key.split("/");
            this.models.get(model)?.delete(adapter);
        }
        this.finishUnload();
    }

    load() {
        return { "x-server-load": `${this.active},0,${this.slots}` };
    }

    async run(request, body, response) {
        const id = request.headers["x-attempt-id"];
        const echo = { ...this.echo(request), ...this.load() };
        const key = request.headers["x-model"];
        const entry = { atMs: Math.round(performance.now()), id, path: request.url, key, bytes: body.length };
        this.requests.push(entry);
        if (key !== undefined) {
            const [model, adapter] = key.split("/");
            const adapters = this.models.get(model);
            if (adapters === undefined || adapter !== undefined && !adapters.has(adapter)) {
                entry.status = 421;
                return this.send(response, 421, echo, "");
            }
            if (this.unloading === model || this.leaving.has(key)) {
                entry.status = "503 not run";
                return this.send(response, 503, { ...echo, "x-not-run": "1" }, "");
            }
        }
        if (this.active >= this.slots) {
            entry.status = "503 not run";
            return this.send(response, 503, { ...echo, "x-not-run": "1" }, "");
        }
        this.active += 1;
        if (key !== undefined) this.runs.set(key, (this.runs.get(key) ?? 0) + 1);
        entry.status = 200;
        entry.run = true;
        let isGone = false;
        response.once("close", () => (isGone = true));
        try {
            await this.work(request, body, response, { ...echo, "x-response-seal": `${this.id}.${id}` }, () => isGone);
        }
        finally {
            this.active -= 1;
            if (key !== undefined) this.end(key);
            entry.endedMs = Math.round(performance.now());
        }
    }

    async work(request, body, response, headers, isGone) {
        if (!this.isModelEngine) {
            await sleep(this.workMs);
            if (!isGone()) this.send(response, 200, headers, "x".repeat(800));
            return;
        }
        const last = Number(request.headers["last-event-id"] ?? 0);
        await sleep(this.firstMs);
        if (isGone()) return;
        response.writeHead(200, { ...headers, "content-type": "text/event-stream", "x-weight-versions": "1" });
        for (let event = last + 1; event <= this.eventCount && !isGone(); event += 1) {
            response.write(`id: ${event}\ndata: ${headers["x-attempt-id"]} ${event}\n\n`);
            await sleep(this.eventMs);
        }
        response.end();
    }
}
