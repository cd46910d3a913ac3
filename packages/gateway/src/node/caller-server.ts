import {
    createHeadGuardServerOptions,
    type HeadFault,
    type RawRefusal,
    RefusedBody,
    RequestHeadGuard,
    type RequestHeadLimits,
} from "@skylarkmill/coordination";
import { type Refusal, toRefusalBody } from "@skylarkmill/protocol";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import { ByteBudget } from "../runtime/byte-budget.ts";
import { CallerConnection } from "../runtime/caller-connection.ts";
import { HttpResponseWriter } from "../runtime/http-response-writer.ts";
import { BodyBlockPool, type RequestBody } from "../runtime/request-body.ts";
import { UnreadResponses } from "../runtime/unread-responses.ts";
import { type Upload, UploadWatch } from "../runtime/upload-watch.ts";
import type { CallerLimits } from "../types/configuration.ts";
import type { RequestHead } from "../types/options.ts";
import { createRefusalHeaders, refusals } from "../utils/refusals.ts";
import { type BodyFault, type BodyMemory, BodyReader } from "./body-reader.ts";

/** Limits that apply until a configuration has been read. */
const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
const DEFAULT_HEAD_LIMITS: RequestHeadLimits = { maxHeaderBytes: 64 * 1024, headerTimeoutMs: 10_000 };
/** Time for the body of a request whose head states no valid deadline. */
const DEFAULT_BODY_TIMEOUT_MS = 30_000;
/** Multiple of the limit up to which the rest of a body is read whose request has been refused. */
const DISCARD_FACTOR = 4;
/** Time after which the connection of a refused body is closed even if its caller has not taken the refusal. */
const REFUSED_END_MS = 1_000;
/** Idle time after which TCP keep-alive probes a caller's connection, since a host that loses power sends no reset. */
const TCP_PROBE_DELAY_MS = 10_000;

export interface CallerServerOptions {
    readonly maxConnections: number;
    /** Memory for requests whose responses have not ended, without their bodies. */
    readonly maxRequestMemoryBytes: number;
    /** Memory for small bodies of requests whose responses have not ended. */
    readonly maxSmallBodyMemoryBytes: number;
    /** Bytes of large bodies and of responses that the process may hold. */
    readonly byteBudget: ByteBudget;
    readonly isClosing: () => boolean;
    /** Returns the time until which a request may wait for its response, as far as its head tells. */
    readonly computeDeadlineAtMs: (head: RequestHead, startedAtMs: number) => number | undefined;
    readonly createBodyTimeoutRefusal: () => Refusal;
    readonly handleRequest: (
        head: RequestHead,
        body: RequestBody | undefined,
        writer: HttpResponseWriter,
        startedAtMs: number,
    ) => void;
    readonly onHeadFault: (fault: HeadFault) => void;
    readonly onBodyFault: (fault: BodyFault | "late") => void;
    /** Called for each response that is ended since its caller doesn't read it and memory is short. */
    readonly onUnreadResponse: () => void;
    readonly onError: (error: unknown) => void;
}

/** A response that is not completely written, and the head of its request. */
interface OpenResponse {
    readonly writer: HttpResponseWriter;
    readonly head: RequestHead;
}

/** Receives callers' HTTP requests and passes them on once their bodies are complete. */
export class CallerServer {
    readonly server: Server;
    /** Responses that are not completely written, including those of requests that are still being read. */
    private readonly openResponses = new Map<ServerResponse, OpenResponse>();
    private readonly connections = new WeakMap<Socket, CallerConnection>();
    private readonly headGuard: RequestHeadGuard;
    private readonly uploadWatch = new UploadWatch();
    private readonly refusedBodies = new Set<RefusedBody>();
    private readonly bodyMemory: BodyMemory;
    private readonly unreadResponses: UnreadResponses;
    private maxBodyBytes = DEFAULT_MAX_BODY_BYTES;
    private readonly options: CallerServerOptions;

    constructor(options: CallerServerOptions) {
        this.options = options;
        this.bodyMemory = {
            largeBudget: options.byteBudget,
            smallBudget: new ByteBudget(options.maxSmallBodyMemoryBytes),
            pool: new BodyBlockPool(),
        };
        this.unreadResponses = new UnreadResponses(options.byteBudget, options.onUnreadResponse);
        this.server = createServer({
            ...createHeadGuardServerOptions(DEFAULT_HEAD_LIMITS),
            requestTimeout: 0,
            keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
            noDelay: true,
            keepAlive: true,
            keepAliveInitialDelay: TCP_PROBE_DELAY_MS,
        });
        this.server.maxConnections = options.maxConnections;
        this.server.on("request", (request, response) => void this.receiveRequest(request, response));
        this.headGuard = new RequestHeadGuard(this.server, {
            limits: DEFAULT_HEAD_LIMITS,
            createRefusal: createHeadRefusal,
            onFault: options.onHeadFault,
            maxRequestMemoryBytes: options.maxRequestMemoryBytes,
        });
    }

    /** Applies the limits of the current configuration. */
    setLimits(limits: CallerLimits): void {
        this.maxBodyBytes = limits.maxBodyBytes;
        this.server.keepAliveTimeout = limits.idleTimeoutMs;
        this.headGuard.setLimits(limits);
    }

    /** Stops accepting connections; open connections stay usable. */
    stopListening(): void {
        if (!this.server.listening) return;
        // `close` of an HTTP server would also close idle keep-alive connections, on which a request may be in transit.
        NetServer.prototype.close.call(this.server);
    }

    /** Number of responses that are owed or not completely written. */
    get openResponseCount(): number {
        return this.openResponses.size;
    }

    /** Memory that small bodies take, of requests whose responses have not ended. */
    get smallBodyByteCount(): number {
        return this.bodyMemory.smallBudget.byteCount;
    }

    /** Closes idle connections, unless a response has ended whose bytes still wait: Node counts its connection as idle. */
    closeIdleConnections(): void {
        for (const response of this.openResponses.keys()) if (response.writableEnded) return;
        this.server.closeIdleConnections();
    }

    /** Refuses the requests that are still being read, since the process ends now; returns their heads. */
    refuseUploads(refusal: Refusal): RequestHead[] {
        const uploads = [...this.openResponses.values()].filter(({ writer }) => !writer.hasStarted);
        for (const { writer } of uploads) writer.refuse(refusal);
        for (const body of this.refusedBodies) body.end();
        return uploads.map(({ head }) => head);
    }

    /**
     * Ends the responses that callers have not read in time, so that they can tell them from complete ones; returns the
     * heads of their requests.
     */
    abortOpenResponses(): RequestHead[] {
        const responses = [...this.openResponses.values()];
        for (const { writer } of responses) writer.abort();
        return responses.map(({ head }) => head);
    }

    private watchUpload(
        request: IncomingMessage,
        response: ServerResponse,
        head: RequestHead,
        startedAtMs: number,
        onLate: () => void,
    ): Upload {
        const computeDeadlineAtMs = (): number =>
            this.options.computeDeadlineAtMs(head, startedAtMs) ?? startedAtMs + DEFAULT_BODY_TIMEOUT_MS;
        const upload = { request, response, computeDeadlineAtMs, onLate };
        this.uploadWatch.add(upload);
        return upload;
    }

    /** Refuses a request whose body isn't taken; the rest of the body is still read within bounds. */
    private refuseBody(upload: Upload, writer: HttpResponseWriter, refusal: Refusal): void {
        const { request } = upload;
        const { socket } = request;
        if (request.readableEnded) return writer.refuse(refusal);
        writer.startUploadRefusal(refusal);
        const refusedBody = new RefusedBody(request, {
            maxByteCount: DISCARD_FACTOR * this.maxBodyBytes,
            maxMs: Math.min(Math.max(0, upload.computeDeadlineAtMs() - performance.now()), DEFAULT_BODY_TIMEOUT_MS),
            onEnd: () => {
                this.refusedBodies.delete(refusedBody);
                writer.end();
                setTimeout(() => socket.destroy(), REFUSED_END_MS).unref();
            },
        });
        this.refusedBodies.add(refusedBody);
    }

    private async receiveRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const startedAtMs = this.headGuard.getArrivalMs(request);
        // The caller's connection can fail at any time; the `close` event that follows is handled.
        response.on("error", () => undefined);
        const { socket } = request;
        const connection = this.connections.get(socket)
            ?? new CallerConnection(() => this.headGuard.hasWaiting(socket));
        this.connections.set(socket, connection);
        // A request that crosses the end of its connection is not handled, since it can't be answered.
        if (!connection.addResponse(response)) return;
        const writer = new HttpResponseWriter(response, connection, this.unreadResponses, this.options.isClosing);
        const head = toRequestHead(request);
        this.openResponses.set(response, { writer, head });
        response.once("close", () => this.openResponses.delete(response));
        try {
            const reader = new BodyReader(request, this.maxBodyBytes, this.bodyMemory);
            response.once("close", () => reader.discard());
            const upload = this.watchUpload(request, response, head, startedAtMs, () => {
                reader.discard();
                this.options.onBodyFault("late");
                writer.refuseUpload(this.options.createBodyTimeoutRefusal());
            });
            const body = await reader.read();
            if (body.isOk()) this.uploadWatch.remove(upload);
            if (body.isErr()) {
                this.uploadWatch.remove(upload);
                if (reader.fault !== undefined) this.options.onBodyFault(reader.fault);
                if (body.error !== undefined) this.refuseBody(upload, writer, body.error);
                return;
            }
            await waitForLoopTurn();
            // A stop may have refused it meanwhile.
            if (response.closed || response.headersSent) return;
            this.options.handleRequest(head, body.value, writer, startedAtMs);
        }
        catch (error) {
            this.options.onError(error);
            writer.abort();
        }
    }
}

function toRequestHead(request: IncomingMessage): RequestHead {
    return {
        method: request.method ?? "GET",
        path: request.url ?? "/",
        host: request.headers.host ?? "",
        rawHeaders: request.rawHeaders,
    };
}

/**
 * Lets the event loop read its sockets once more. After a pause of the process, a request and the end of its connection
 * arrive in the same turn, and a request whose caller has disconnected must not be sent to a backend server.
 */
function waitForLoopTurn(): Promise<void> {
    return new Promise(resolve => setImmediate(() => setImmediate(resolve)));
}

function createHeadRefusal(fault: HeadFault, limits: RequestHeadLimits): RawRefusal {
    const refusal = toHeadRefusal(fault, limits);
    return {
        status: refusal.status,
        headers: createRefusalHeaders(refusal),
        body: JSON.stringify(toRefusalBody(refusal)),
    };
}

function toHeadRefusal(fault: HeadFault, { maxHeaderBytes, headerTimeoutMs }: RequestHeadLimits): Refusal {
    switch (fault) {
        case "late":
            return refusals.headTimeout(headerTimeoutMs);
        case "too_large":
            return refusals.headTooLarge(maxHeaderBytes);
        case "limit_raised":
            return refusals.headLimitRaised();
        case "no_memory":
            return refusals.noMemory();
        case "ahead":
        case "malformed":
            return refusals.invalidRequest("The request is not valid HTTP/1.1.");
    }
}
