import { createServer } from "node:http";
import { clearInterval, setInterval, setTimeout } from "node:timers";

const SEAL = "3e1b.07.5a2.600.0.c9f2a4d1";

/** Stand-in for a backend server: a model engine or a plain service, after the users' protocol page. */
export class Backend {
    #server = createServer({ requestTimeout: 0 }, (request, response) => void this.#handle(request, response));
    #sockets = new Set();
    #isDown = false;
    /** What the server saw of each request, in the order of arrival. */
    runs = [];

    /**
     * @param options `respond(run, response)` answers a request that the server runs; the other fields describe it.
     */
    constructor(options) {
        Object.assign(this, { zone: "edinburgh", slots: 32, models: undefined, ...options });
        this.bornAtMs = Date.now();
        this.#server.on("connection", socket => {
            this.#sockets.add(socket);
            socket.on("error", () => undefined);
            socket.once("close", () => this.#sockets.delete(socket));
        });
    }

    async start() {
        await new Promise(resolve => this.#server.listen(0, "127.0.0.1", resolve));
        this.address = `127.0.0.1:${this.#server.address().port}`;
        return this;
    }

    isRegistered() {
        return !this.#isDown;
    }

    toEntry() {
        return {
            service: this.service,
            address: this.address,
            zone: this.zone,
            version: "v1",
            slots: this.slots,
            state: "ready",
            cold_remaining_ms: 0,
            sequence: 0,
            born: this.bornAtMs,
            ...(this.models === undefined ? {} : { stage: "both", models: this.#listModels() }),
        };
    }

    /** Ends as a crashed server does: it accepts nothing more, and all its connections are reset. */
    crash() {
        this.#isDown = true;
        this.#server.close();
        for (const socket of this.#sockets) socket.resetAndDestroy();
    }

    close() {
        this.#server.closeAllConnections();
        this.#server.close();
    }

    #listModels() {
        return this.models.map(name => ({ name, version: 1, adapters: [] }));
    }

    async #handle(request, response) {
        let byteCount = 0;
        try {
            for await (const chunk of request) byteCount += chunk.length;
        }
        catch {
            return;
        }
        const { headers } = request;
        if (headers["x-expect-instance"] !== undefined && headers["x-expect-instance"] !== this.id) {
            return void response.writeHead(421, { "x-instance-id": this.id }).end();
        }
        if (request.url === "/health") return void response.writeHead(200, { "x-instance-id": this.id }).end();
        if (request.url === "/api/report") return this.#writeReport(response);
        if (request.url === "/api/order") return void response.writeHead(202).end();
        const id = headers["x-attempt-id"];
        if (id === undefined) return void response.writeHead(400, { "x-not-run": "1" }).end();
        const run = {
            id,
            server: this.id,
            method: request.method,
            path: request.url,
            headers,
            byteCount,
            hasEnded: false,
            socket: request.socket,
            responseHeaders: { "X-Attempt-Id": id, "X-Response-Seal": SEAL },
        };
        this.runs.push(run);
        this.respond(run, response);
    }

    #writeReport(response) {
        response.writeHead(200, { "content-type": "application/json" });
        response.end(JSON.stringify({
            born: this.bornAtMs,
            stage: "both",
            models: this.#listModels(),
            busy: false,
            sequence: 0,
            queued: 0,
            active: 0,
            kv_used: 0,
            kv_total: 90_000,
            handles: 0,
        }));
    }
}

/** Answers with a stream that has no length: it ends with its connection. */
export function respondWithUnframedStream(run, eventCount, intervalMs) {
    const head = Object.entries(run.responseHeaders).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    const { socket } = run;
    socket.write(`HTTP/1.1 200 OK\r\n${head}Content-Type: text/event-stream\r\nConnection: close\r\n\r\n`);
    let id = Number(run.headers["last-event-id"] ?? 0);
    run.eventCount = eventCount;
    run.lastSentId = id;
    const timer = setInterval(() => {
        if (socket.destroyed) return clearInterval(timer);
        id += 1;
        socket.write(`id: ${id}\ndata: piece ${id} of ${eventCount}\n\n`);
        run.lastSentId = id;
        if (id < eventCount) return;
        clearInterval(timer);
        run.hasEnded = true;
        socket.end();
    }, intervalMs);
}

/** Answers with a stream of a known number of events, in chunked encoding. */
export function respondWithStream(run, response, eventCount, intervalMs) {
    response.writeHead(200, { ...run.responseHeaders, "content-type": "text/event-stream" });
    let id = Number(run.headers["last-event-id"] ?? 0);
    const timer = setInterval(() => {
        if (response.destroyed) return clearInterval(timer);
        id += 1;
        response.write(`id: ${id}\ndata: piece ${id} of ${eventCount}\n\n`);
        if (id < eventCount) return;
        clearInterval(timer);
        run.hasEnded = true;
        response.end();
    }, intervalMs);
}

/** Answers with a body of a known length after a time of work. */
export function respondWithBody(run, response, body, workMs) {
    setTimeout(() => {
        response.writeHead(200, { ...run.responseHeaders, "content-length": body.length });
        response.end(body, () => {
            run.hasEnded = true;
        });
    }, workMs);
}
