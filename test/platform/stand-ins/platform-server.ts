import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";

/** A request as the server received it. */
export interface ReceivedRequest {
    readonly id: string;
    readonly method: string;
    readonly path: string;
    readonly headers: IncomingMessage["headers"];
    readonly body: string;
    /** Whether the server started executing it. */
    hasStarted: boolean;
    /** Whether the connection closed before the response was complete. */
    isAbandoned: boolean;
    /** Number of bytes of a response without end that were sent before the gateway closed the connection. */
    fillerByteCount: number;
}

/** A call as it reached the server, in order of arrival. */
export interface ServerArrival {
    readonly atMs: number;
    readonly kind: "request" | "order" | "report";
    readonly id: string;
    /** Name that the test's caller gave to the gateway that it called; undefined for calls of the gateway itself. */
    readonly gateway: string | undefined;
    /** Limit that the response names. */
    readonly limit: string | undefined;
    /** Status of the response; undefined until it is complete. */
    status: number | undefined;
}

export interface ReceivedOrder {
    readonly operation: string;
    readonly model: string;
    readonly adapter?: string;
    readonly expected?: number;
    readonly owner: string;
    readonly fencing_token: number;
    readonly status: number;
    readonly atMs: number;
}

/**
 * Fault in the response to one request; a request without a fault gets a complete response.
 *
 * - `refused_as_not_run`: status 503 with `x-not-run`.
 * - `refused_after_run`: status 503 without `x-not-run`, after the request has run.
 * - `misdirected`: status 421, the status of a server that does not have the model.
 * - `closed_between_events`, `closed_within_event`: the connection of a stream closes after three events, or within the
 *   third one.
 * - `without_length`: a complete response without a length, which ends with the connection.
 * - `reset_with_last_bytes`: a response with neither a length nor chunks whose connection is reset at the moment at which
 *   it sends its body or the third event.
 * - `stream_without_length`, `reset_stream_without_length`: a stream with neither a length nor chunks, which ends with its
 *   connection; the second one is reset after three events.
 * - `duplicate_response`: two identical responses on one connection.
 * - `delayed_start`: the response starts late.
 * - `silent`: the request starts but gets no response.
 * - `endless_head`, `endless_informational`, `endless_event`, `endless_not_run_body`, `endless_unsigned_body`: bytes that
 *   are no response come until the gateway closes the connection.
 * - `trickled_event`: after two events, a byte of the next one now and then, without its end.
 * - `slow_events`: a sound stream with pauses shorter than the silence after which a stream moves.
 * - `tiny_pieces`: a sound response in one-byte chunks.
 * - `unfinished_tiny_body`, `unfinished_tiny_event`: many one-byte chunks short of the end, then nothing more.
 * - `endless_tiny_body`, `endless_tiny_event`, `endless_tiny_events`: one-byte chunks without end.
 * - `endless_short_events`: very short events in large chunks without end.
 */
export type ServerFault =
    | "refused_as_not_run"
    | "refused_after_run"
    | "misdirected"
    | "status_500"
    | "reset_before_response"
    | "truncated_body"
    | "closed_between_events"
    | "closed_within_event"
    | "without_length"
    | "reset_without_length"
    | "reset_with_last_bytes"
    | "stream_without_length"
    | "reset_stream_without_length"
    | "duplicate_response"
    | "missing_seal_header"
    | "wrong_attempt_id"
    | "delayed_start"
    | "silent"
    | "endless_head"
    | "endless_informational"
    | "endless_event"
    | "endless_not_run_body"
    | "endless_unsigned_body"
    | "trickled_event"
    | "slow_events"
    | "tiny_pieces"
    | "unfinished_tiny_body"
    | "unfinished_tiny_event"
    | "endless_tiny_body"
    | "endless_tiny_event"
    | "endless_tiny_events"
    | "endless_short_events";

/** Each is kept by a gateway that takes it for a short body, or for the start of an event. */
const UNFINISHED_BYTES = 15_000;
/** One-byte chunks that are written at once. */
const TINY_CHUNKS = toTinyChunks("x".repeat(10_000));
const TINY_EVENTS = toTinyChunks("data: some words\n\n".repeat(600));
const SHORT_EVENTS = "data:\n\n".repeat(8_192);

/** Encodes a text in chunks of one byte. */
function toTinyChunks(text: string): string {
    return Array.from(text, character => `1\r\n${character}\r\n`).join("");
}

function createChunkedHead(rawHeaders: string): string {
    return `HTTP/1.1 200 OK\r\n${rawHeaders}Transfer-Encoding: chunked\r\n\r\n`;
}

/** Starts of responses that go on with bytes without end. */
const ENDLESS_STARTS: Partial<Record<ServerFault, (rawHeaders: string) => { start: string; filler: string; }>> = {
    endless_head: () => ({ start: "HTTP/1.1 200 OK\r\nX-Filler: ", filler: "x".repeat(4_096) }),
    endless_informational: () => ({ start: "", filler: "HTTP/1.1 103 Early Hints\r\n\r\n" }),
    endless_event: rawHeaders => ({
        start: `HTTP/1.1 200 OK\r\n${rawHeaders}Connection: close\r\n\r\nid: 1\ndata: `,
        filler: "x".repeat(65_536),
    }),
    endless_not_run_body: rawHeaders => ({
        start: `HTTP/1.1 503 Busy\r\n${rawHeaders}X-Not-Run: 1\r\nConnection: close\r\n\r\n`,
        filler: "x".repeat(65_536),
    }),
    endless_unsigned_body: () => ({
        start: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
        filler: "x".repeat(65_536),
    }),
    unfinished_tiny_body: rawHeaders => ({
        start: createChunkedHead(rawHeaders) + toTinyChunks("x".repeat(UNFINISHED_BYTES)),
        filler: "",
    }),
    unfinished_tiny_event: rawHeaders => ({
        start: createChunkedHead(rawHeaders) + toTinyChunks(`data: ${"x".repeat(UNFINISHED_BYTES)}`),
        filler: "",
    }),
    endless_tiny_body: rawHeaders => ({ start: createChunkedHead(rawHeaders), filler: TINY_CHUNKS }),
    endless_tiny_event: rawHeaders => ({
        start: createChunkedHead(rawHeaders) + toTinyChunks("data: "),
        filler: TINY_CHUNKS,
    }),
    endless_tiny_events: rawHeaders => ({ start: createChunkedHead(rawHeaders), filler: TINY_EVENTS }),
    endless_short_events: rawHeaders => ({
        start: createChunkedHead(rawHeaders),
        filler: `${SHORT_EVENTS.length.toString(16)}\r\n${SHORT_EVENTS}\r\n`,
    }),
};
/** Spaces and headers that a gateway adds make a head longer than the caller's. */
const MAX_HEAD_BYTES = 64 * 1024;
const FILLER_INTERVAL_MS = 2;
/** The bytes end by themselves after this time, so that a gateway that reads on fails a test rather than the machine. */
const MAX_FILLER_MS = 8_000;
const TRICKLE_INTERVAL_MS = 100;
const SLOW_EVENT_INTERVAL_MS = 600;
const RESET_DELAY_MS = 20;
/** Time for which a crashed server is down. */
const RESTART_MS = 300;

/** Exceeds the time that a gateway waits for the first event before it tries another server. */
const DELAYED_START_MS = 1_200;

/** A response of which each byte is given. */
export interface RawReply {
    /** `identity` holds the headers that name the request and sign the response. */
    readonly format: (identity: string) => string;
    /** How the connection ends after the last byte; `none`: it stays open. */
    readonly ending: "close" | "reset" | "none";
}

export interface PlatformServerOptions {
    readonly id: string;
    readonly service: string;
    /** Models loaded at the start; omitted for plain services. */
    readonly models?: readonly string[];
    readonly eventCount?: number;
    readonly eventIntervalMs?: number;
    readonly loadDurationMs?: number;
    readonly responseDelayMs?: number;
    /** Time between the first event of a stream and the moment when the server reads the request's body. */
    readonly uploadPauseMs?: number;
    /** Length of a plain service's response bodies; by default they only name the server. */
    readonly bodyByteCount?: number;
    /** Whether bodies and events name their request, so that a response of another one can be told from it. */
    readonly namesRequests?: boolean;
    /** Start of the server process as Unix time. */
    readonly bornAtMs?: number;
}

/** Header by which the tests' callers name the gateway that they call. */
export const GATEWAY_HEADER = "x-called-gateway";

/** Body of a refusal that is not marked as one of a request that has not run. */
export const REFUSAL_AFTER_RUN = "refused after the run";

const SEAL = "3e1b.07.5a2.600.0.c9f2a4d1";

/** Stand-in for a backend server, either a model engine or a plain service; records requests and injects faults. */
export class PlatformServerStandIn {
    readonly requests: ReceivedRequest[] = [];
    readonly orders: ReceivedOrder[] = [];
    /** Times at which reports were read. */
    readonly reportedAtMs: number[] = [];
    readonly faults: ServerFault[] = [];
    /** Responses to the next requests in place of the usual ones; several servers may share a list. */
    replies: RawReply[] = [];
    /** Applies to every call: `reset` resets the connection as a crashed server does; `silent` sends no response. */
    outage: "none" | "reset" | "silent" = "none";
    /** States in all its responses that it leaves, though its record says that it is ready. */
    isLeaving = false;
    /** If set, each request is turned away with status 503 and this many seconds as `Retry-After`. */
    holdSeconds: string | undefined;
    /** Requests/s that the server takes from all gateways together, as text that its responses name. */
    limit: string | undefined;
    /** Whether each request is turned away with status 503 and neither runs nor is held. */
    isRefusing = false;
    /** Delays of the responses to the next requests, whose heads are fixed on arrival. */
    readonly responseDelaysMs: number[] = [];
    readonly arrivals: ServerArrival[] = [];
    /** Part of a prompt with which the server crashes before it begins an answer. */
    deadlyPart: string | undefined;
    /** Times of the crashes. */
    readonly crashedAtMs: number[] = [];
    /** Called when the server is back after a crash. */
    onRestart: () => void = () => undefined;
    /** If set, orders get no response and are applied after this delay. */
    orderDelayMs: number | undefined;
    readonly loadedModels = new Map<string, Set<string>>();
    sequence = 0;
    isBusy = false;
    private highestToken = 0;
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();
    private readonly options: PlatformServerOptions;
    bornAtMs: number;

    private constructor(options: PlatformServerOptions) {
        this.options = options;
        this.bornAtMs = options.bornAtMs ?? 1_772_451_858_000;
        for (const model of options.models ?? []) this.loadedModels.set(model, new Set());
        this.server = createServer(
            { maxHeaderSize: MAX_HEAD_BYTES },
            (request, response) => void this.handle(request, response),
        );
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.once("close", () => this.sockets.delete(socket));
        });
    }

    static async start(options: PlatformServerOptions): Promise<PlatformServerStandIn> {
        const server = new PlatformServerStandIn(options);
        await new Promise<void>(resolve => server.server.listen(0, "127.0.0.1", resolve));
        return server;
    }

    get id(): string {
        return this.options.id;
    }

    get address(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    /** Returns the record that the server stores about itself. */
    toServerRecord(state: "ready" | "draining" = "ready"): object {
        return {
            service: this.options.service,
            address: this.address,
            zone: "z1",
            version: "v1",
            slots: 8,
            state,
            cold_remaining_ms: 0,
            born: this.bornAtMs,
            stage: "both",
            models: this.listLoadedModels(),
            sequence: this.sequence,
            at_hand: { in_memory: [], on_disk: ["m1", "m2", "m3", "m4"] },
        };
    }

    countRuns(id: string): number {
        return this.requests.filter(request => request.id === id && request.hasStarted).length;
    }

    async close(): Promise<void> {
        for (const socket of this.sockets) socket.destroy();
        await new Promise(resolve => this.server.close(resolve));
    }

    private listLoadedModels(): object[] {
        return [...this.loadedModels].map(([name, adapters]) => ({ name, version: 1, adapters: [...adapters] }));
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        this.recordArrival(request, response);
        if (this.limit !== undefined) response.setHeader("server-limit", this.limit);
        const { uploadPauseMs } = this.options;
        const isStream = request.headers["x-model"] !== undefined;
        if (uploadPauseMs !== undefined && isStream) await this.sendFirstEvent(request, response, uploadPauseMs);
        const body = await readBody(request);
        if (body === undefined) return;
        if (this.outage === "silent") return;
        if (this.outage === "reset") return void request.socket.resetAndDestroy();
        if (this.isLeaving) response.setHeader("server-leaving", "1");
        if (request.headers["x-expect-instance"] !== this.id) {
            const id = request.headers["x-attempt-id"];
            return void response.writeHead(421, id === undefined ? {} : { "x-attempt-id": id }).end();
        }
        if (request.url === "/api/report") return this.sendReport(response);
        if (request.url === "/api/order") return this.onOrder(JSON.parse(body) as Record<string, unknown>, response);
        await this.handleRequest(request, response, body);
    }

    private recordArrival(request: IncomingMessage, response: ServerResponse): void {
        const gateway = request.headers[GATEWAY_HEADER];
        const arrival: ServerArrival = {
            atMs: performance.now(),
            kind: request.url === "/api/report" ? "report" : request.url === "/api/order" ? "order" : "request",
            id: String(request.headers["x-attempt-id"]),
            gateway: typeof gateway === "string" ? gateway : undefined,
            limit: this.limit,
            status: undefined,
        };
        this.arrivals.push(arrival);
        response.once("finish", () => {
            arrival.status = response.statusCode;
        });
    }

    /** Begins a stream before the request's body has been read. */
    private async sendFirstEvent(request: IncomingMessage, response: ServerResponse, pauseMs: number): Promise<void> {
        this.sendStreamHead(response, {
            "x-attempt-id": String(request.headers["x-attempt-id"]),
            "x-response-seal": SEAL,
        });
        response.write("id: 1\ndata: piece 1\n\n");
        await sleep(pauseMs);
    }

    private sendReport(response: ServerResponse): void {
        const { sequence, isBusy, bornAtMs } = this;
        this.reportedAtMs.push(performance.now());
        response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify({
            stage: "both",
            born: bornAtMs,
            busy: isBusy,
            sequence,
            models: this.listLoadedModels(),
            queued: 0,
            active: 0,
            kv_used: 0,
            kv_total: 1_000,
            handles: 0,
            at_hand: { in_memory: [], on_disk: ["m1", "m2", "m3", "m4"] },
        }));
    }

    private onOrder(body: Record<string, unknown>, response: ServerResponse): void {
        const delayMs = this.orderDelayMs;
        if (delayMs !== undefined) {
            setTimeout(() => this.applyOrder(body), delayMs);
            return;
        }
        response.writeHead(this.applyOrder(body)).end();
    }

    private applyOrder(body: Record<string, unknown>): number {
        const order = body as unknown as Omit<ReceivedOrder, "status" | "atMs">;
        const status = this.checkOrder(order);
        this.orders.push({ ...order, status, atMs: performance.now() });
        if (status !== 202) return status;
        this.sequence += 1;
        const { model, adapter, operation } = order;
        if (adapter !== undefined) {
            if (operation === "load") this.loadedModels.get(model)?.add(adapter);
            else this.loadedModels.get(model)?.delete(adapter);
        }
        else if (operation === "unload") this.loadedModels.delete(model);
        else this.startLoad(model);
        return status;
    }

    private startLoad(model: string): void {
        this.isBusy = true;
        setTimeout(() => {
            this.isBusy = false;
            this.loadedModels.set(model, new Set());
        }, this.options.loadDurationMs ?? 50);
    }

    private checkOrder(
        { operation, model, adapter, expected, fencing_token: token }: Omit<ReceivedOrder, "status" | "atMs">,
    ): number {
        if (token < this.highestToken) return 412;
        this.highestToken = token;
        const isLoaded = adapter === undefined
            ? this.loadedModels.has(model)
            : this.loadedModels.get(model)?.has(adapter) === true;
        if (isLoaded === (operation === "load")) return 200;
        if (this.isBusy || expected !== undefined && expected !== this.sequence) return 409;
        return 202;
    }

    private async handleRequest(request: IncomingMessage, response: ServerResponse, body: string): Promise<void> {
        const id = String(request.headers["x-attempt-id"]);
        const received: ReceivedRequest = {
            id,
            method: request.method ?? "",
            path: request.url ?? "",
            headers: request.headers,
            body,
            hasStarted: false,
            isAbandoned: false,
            fillerByteCount: 0,
        };
        this.requests.push(received);
        response.once("close", () => {
            received.isAbandoned = !response.writableFinished;
        });
        if (this.holdSeconds !== undefined) {
            const headers = { "x-not-run": "1", "x-attempt-id": id, "retry-after": this.holdSeconds };
            return void response.writeHead(503, headers).end();
        }
        if (this.isRefusing) return void response.writeHead(503, { "x-not-run": "1", "x-attempt-id": id }).end();
        const fault = this.faults.shift();
        if (fault === "refused_as_not_run") {
            return void response.writeHead(503, { "x-not-run": "1", "x-attempt-id": id }).end();
        }
        const [model = "", adapter] = String(request.headers["x-model"] ?? "").split("/");
        const isLoaded = model === ""
            || this.loadedModels.has(model) && (adapter === undefined || this.loadedModels.get(model)!.has(adapter));
        if (fault === "misdirected" || !isLoaded) return void response.writeHead(421, { "x-attempt-id": id }).end();
        received.hasStarted = true;
        const parts = String(request.headers["x-prompt-prefix"] ?? "").split(",").map(pair => pair.split(":")[0]);
        if (this.deadlyPart !== undefined && parts.includes(this.deadlyPart)) return this.crash();
        if (fault === "silent") return;
        const reply = this.replies.shift();
        if (reply !== undefined) return this.sendRaw(request.socket, reply, id);
        const isEndless = fault !== undefined && ENDLESS_STARTS[fault] !== undefined;
        if (isEndless) return this.sendEndlessBytes(request, received, fault);
        if (fault === "delayed_start") await sleep(DELAYED_START_MS);
        if (fault === "reset_before_response") return void request.socket.resetAndDestroy();
        const headers: Record<string, string> = { "x-attempt-id": fault === "wrong_attempt_id" ? "another" : id };
        if (fault !== "missing_seal_header") headers["x-response-seal"] = SEAL;
        if (fault === "refused_after_run") {
            return void response.writeHead(503, { ...headers, "retry-after": "0.05" }).end(REFUSAL_AFTER_RUN);
        }
        if (fault === "status_500") return void response.writeHead(500, headers).end("failed");
        if (fault === "tiny_pieces") return this.respondInTinyPieces(request.socket, headers, model !== "");
        if (model !== "") return this.respondWithStream(request, response, headers, fault);
        await sleep(this.responseDelaysMs.shift() ?? this.options.responseDelayMs ?? 1);
        this.respondAsService(request, response, headers, fault);
    }

    private sendRaw(socket: Socket, { format, ending }: RawReply, id: string): void {
        socket.on("error", () => undefined);
        const bytes = format(`X-Attempt-Id: ${id}\r\nX-Response-Seal: ${SEAL}\r\n`);
        if (ending === "close") return void socket.end(bytes, "latin1");
        if (ending === "none") return void socket.write(bytes, "latin1");
        // Bytes that the gateway has not read when the connection is reset are lost.
        socket.write(bytes, "latin1", () => setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS));
    }

    /** Breaks all connections and starts again a little later. */
    private crash(): void {
        this.crashedAtMs.push(performance.now());
        this.outage = "reset";
        for (const socket of this.sockets) socket.resetAndDestroy();
        setTimeout(() => {
            this.outage = "none";
            this.bornAtMs += 1;
            this.onRestart();
        }, RESTART_MS);
    }

    private async sendEndlessBytes(
        request: IncomingMessage,
        received: ReceivedRequest,
        fault: ServerFault,
    ): Promise<void> {
        const { socket } = request;
        const { start, filler } = ENDLESS_STARTS[fault]!(
            `X-Attempt-Id: ${received.id}\r\nX-Response-Seal: ${SEAL}\r\n`,
        );
        const endAtMs = performance.now() + MAX_FILLER_MS;
        socket.on("error", () => undefined);
        socket.write(start);
        while (!socket.destroyed && performance.now() < endAtMs) {
            // What the gateway doesn't read must not pile up here.
            if (!socket.writableNeedDrain && socket.write(filler)) received.fillerByteCount += filler.length;
            await sleep(FILLER_INTERVAL_MS);
        }
        received.isAbandoned = performance.now() < endAtMs;
        socket.destroy();
    }

    private respondAsService(
        request: IncomingMessage,
        response: ServerResponse,
        headers: Record<string, string>,
        fault: ServerFault | undefined,
    ): void {
        const body = this.createBody(String(headers["x-attempt-id"]));
        const rawHeaders = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
        if (fault === "reset_with_last_bytes") {
            request.socket.write(`HTTP/1.1 200 OK\r\n${rawHeaders}Connection: close\r\n\r\n${body}`);
            return void request.socket.resetAndDestroy();
        }
        if (fault === "without_length" || fault === "reset_without_length") {
            request.socket.write(`HTTP/1.1 200 OK\r\n${rawHeaders}Connection: close\r\n\r\n${body}`);
            if (fault === "without_length") return void request.socket.end();
            setTimeout(() => request.socket.resetAndDestroy(), 20);
            return;
        }
        if (fault === "duplicate_response") {
            const responseText = `HTTP/1.1 200 OK\r\n${rawHeaders}Content-Length: ${body.length}\r\n\r\n${body}`;
            return void request.socket.write(responseText + responseText);
        }
        const length = fault === "truncated_body" ? body.length + 10 : body.length;
        response.writeHead(200, { ...headers, "content-length": String(length), "x-server-load": "1,0,8" });
        response.write(body);
        if (fault === "truncated_body") setTimeout(() => request.socket.destroy(), 10);
        else response.end();
    }

    private respondInTinyPieces(socket: Socket, headers: Record<string, string>, isStream: boolean): void {
        const id = String(headers["x-attempt-id"]);
        const body = isStream ? this.createStream(id) : this.createBody(id);
        const rawHeaders = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
        socket.on("error", () => undefined);
        socket.write(`${createChunkedHead(rawHeaders)}${toTinyChunks(body)}0\r\n\r\n`);
    }

    /** Returns all events of a stream. */
    createStream(requestId: string): string {
        const count = this.options.eventCount ?? 6;
        return Array.from({ length: count }, (_, index) => this.createEvent(requestId, index + 1)).join("");
    }

    /** Returns the whole body of a plain service's response. */
    createBody(requestId: string): string {
        return `${this.namePrefix(requestId)}done by ${this.id}`.padEnd(this.options.bodyByteCount ?? 0, ".");
    }

    /** Returns an event of a stream. */
    createEvent(requestId: string, eventId: number): string {
        return `id: ${eventId}\ndata: ${this.namePrefix(requestId)}piece ${eventId}\n\n`;
    }

    private namePrefix(requestId: string): string {
        return this.options.namesRequests === true ? `${requestId} ` : "";
    }

    private sendStreamHead(response: ServerResponse, headers: Record<string, string>): void {
        response.writeHead(200, { ...headers, "content-type": "text/event-stream" });
    }

    private async respondWithStream(
        request: IncomingMessage,
        response: ServerResponse,
        headers: Record<string, string>,
        fault: ServerFault | undefined,
    ): Promise<void> {
        const isUnframed = fault === "stream_without_length" || fault === "reset_stream_without_length"
            || fault === "reset_with_last_bytes";
        if (isUnframed) response.useChunkedEncodingByDefault = false;
        const hasFirstEvent = response.headersSent;
        if (!hasFirstEvent) {
            this.sendStreamHead(response, { ...headers, ...(isUnframed ? { connection: "close" } : {}) });
        }
        const count = this.options.eventCount ?? 6;
        const first = Number(request.headers["last-event-id"] ?? (hasFirstEvent ? 1 : 0)) + 1;
        for (let id = first; id <= count; id += 1) {
            const text = this.createEvent(String(request.headers["x-attempt-id"]), id);
            if (fault === "closed_within_event" && id === first + 2) {
                response.write(text.slice(0, 8));
                await sleep(5);
                return void request.socket.destroy();
            }
            if (fault === "trickled_event" && id === first + 2) return this.trickle(response, text);
            response.write(text);
            if (fault === "reset_with_last_bytes" && id === first + 2) {
                // Node hands the event to the operating system first.
                return void process.nextTick(() => request.socket.resetAndDestroy());
            }
            await sleep(fault === "slow_events" ? SLOW_EVENT_INTERVAL_MS : this.options.eventIntervalMs ?? 2);
            if (fault === "closed_between_events" && id === first + 2) return void request.socket.destroy();
            if (fault === "reset_stream_without_length" && id === first + 2) {
                return void request.socket.resetAndDestroy();
            }
            if (response.destroyed) return;
        }
        response.end();
    }

    /** Sends a byte of an event now and then, without its end. */
    private async trickle(response: ServerResponse, text: string): Promise<void> {
        const endAtMs = performance.now() + MAX_FILLER_MS;
        response.write(text.slice(0, 8));
        while (!response.destroyed && performance.now() < endAtMs) {
            response.write("x");
            await sleep(TRICKLE_INTERVAL_MS);
        }
    }
}

/** Applies the fault to the next request that reaches any of the servers. */
export function failOnce(servers: readonly PlatformServerStandIn[], fault: ServerFault): void {
    for (const server of servers) server.faults.length = 0;
    const [first] = servers;
    for (const server of servers) server.faults.push(fault);
    // The server that gets the next request consumes its fault; then the faults of the other servers are removed.
    const clear = (): void => {
        if (servers.every(server => server.faults.length > 0)) return void setImmediate(clear);
        for (const server of servers) server.faults.length = 0;
    };
    if (first !== undefined) setImmediate(clear);
}

/** Returns undefined if the connection closes before the end of the body. */
async function readBody(request: IncomingMessage): Promise<string | undefined> {
    const chunks: Buffer[] = [];
    try {
        for await (const chunk of request) chunks.push(chunk as Buffer);
    }
    catch {
        return undefined;
    }
    return Buffer.concat(chunks).toString();
}

function sleep(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}
