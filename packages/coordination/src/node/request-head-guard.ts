import { type IncomingMessage, type Server, type ServerOptions, type ServerResponse, STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import { countHeadBytes, decideHeadFaultAction, estimateRequestMemory, type HeadFault } from "../runtime/head-fault.ts";
import { paceBodies, PacedRequest } from "./paced-request.ts";

export interface RequestHeadLimits {
    readonly maxHeaderBytes: number;
    /** Time from the first byte of a request, or the opening of its connection, to the end of its head; 0: no limit. */
    readonly headerTimeoutMs: number;
}

export interface RawRefusal {
    readonly status: number;
    /** Names and values in turn. */
    readonly headers: readonly string[];
    readonly body: string;
}

export interface RequestHeadGuardOptions {
    readonly limits: RequestHeadLimits;
    readonly createRefusal: (fault: HeadFault, limits: RequestHeadLimits) => RawRefusal;
    readonly onFault: (fault: HeadFault) => void;
    /**
     * Largest number of requests that a caller may send ahead of their responses; a connection with more is closed.
     *
     * @default 32
     */
    readonly maxRequestsAhead?: number;
    /**
     * Memory for all requests whose responses have not ended, by an estimate; a request beyond it is refused.
     *
     * @default Infinity
     */
    readonly maxRequestMemoryBytes?: number;
}

/** Interval at which heads are checked for their time. */
const HEAD_CHECK_INTERVAL_MS = 200;
/** Least limit of Node's parser, which is fixed for a connection; up to here a raised limit holds for open connections. */
const MIN_PARSER_HEADER_BYTES = 32 * 1024;
/** Least size of a header line, with its end. */
const MIN_HEADER_LINE_BYTES = 4;
export const DEFAULT_MAX_REQUESTS_AHEAD = 32;
/** Part of the memory for requests that unfinished heads of many lines may take besides. */
export const UNFINISHED_HEAD_SHARE = 0.25;
/** Time for which a refused caller may still send; closing at once would reset the connection before it reads the refusal. */
const LINGER_MS = 1_000;

/**
 * Options for the creation of a server whose request heads are limited.
 *
 * @example
 * const server = createServer(createHeadGuardServerOptions(limits));
 */
export function createHeadGuardServerOptions(limits: RequestHeadLimits): ServerOptions {
    return {
        IncomingMessage: PacedRequest,
        maxHeaderSize: toParserLimit(limits),
        headersTimeout: Math.ceil(limits.headerTimeoutMs),
        connectionsCheckingInterval: HEAD_CHECK_INTERVAL_MS,
    };
}

interface WaitingRequest {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
}

interface GuardedConnection {
    readonly parserLimitBytes: number;
    /** Number of headers up to which Node keeps them; it leaves out further ones without an error. */
    readonly maxHeaderCount: number;
    /** Response to the newest request that was passed on; undefined once it has ended. */
    serving: ServerResponse | undefined;
    /** Requests that wait for the response before them. */
    readonly waiting: WaitingRequest[];
    /** Bytes read from it when the head before was complete. */
    readByteCount: number;
    /** Estimated memory of its requests whose responses have not ended. */
    memoryBytes: number;
    /** Estimated memory of a head that is not complete, if it has many lines. */
    unfinishedHeadBytes: number;
    owedResponseCount: number;
    newestRequest: IncomingMessage | undefined;
    /** Fault of a head whose refusal waits for earlier responses. */
    waitingFault: HeadFault | undefined;
    isRefused: boolean;
}

/**
 * Limits the size, the time and the memory of requests that callers send, and refuses heads that Node's parser rejects.
 * Create it once the server has its `request` listeners; they get only requests whose heads are within the limits, and of
 * each connection one at a time, so that a caller who sends ahead takes no more than a connection's part.
 *
 * @example
 * const guard = new RequestHeadGuard(server, { limits, createRefusal, onFault });
 * guard.setLimits({ maxHeaderBytes: 16_384, headerTimeoutMs: 3_000 });
 */
export class RequestHeadGuard {
    private readonly connections = new WeakMap<Socket, GuardedConnection>();
    private readonly server: Server;
    private readonly options: RequestHeadGuardOptions;
    private limits: RequestHeadLimits;
    private readonly listeners: Function[]; // eslint-disable-line @typescript-eslint/no-unsafe-function-type -- as of Node
    private readonly arrivals = new WeakMap<IncomingMessage, number>();
    private requestMemoryBytes = 0;
    private unfinishedHeadBytes = 0;

    constructor(server: Server, options: RequestHeadGuardOptions) {
        this.server = server;
        this.options = options;
        this.limits = options.limits;
        server.maxHeadersCount = toMaxHeaderCount(options.limits);
        paceBodies(server);
        this.listeners = server.listeners("request");
        server.removeAllListeners("request");
        server.on("connection", (socket: Socket) => void this.getConnection(socket));
        server.on("request", (request, response) => {
            if (this.admit(request, response)) this.passOnInTurn(request, response);
        });
        server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => this.onClientError(error, socket));
    }

    /** Time at which the head of a request was complete, on the monotonic clock. */
    getArrivalMs(request: IncomingMessage): number {
        return this.arrivals.get(request) ?? performance.now();
    }

    /** Whether the connection has requests that wait for the response before them. */
    hasWaiting(socket: Socket): boolean {
        return (this.connections.get(socket)?.waiting.length ?? 0) > 0;
    }

    /** Applies new limits, also to open connections. */
    setLimits(limits: RequestHeadLimits): void {
        this.limits = limits;
        this.server.maxHeadersCount = toMaxHeaderCount(limits);
        this.server.headersTimeout = Math.ceil(limits.headerTimeoutMs);
        // Node reads this option of the server for each new connection; its types declare it only for the creation.
        (this.server as Server & { maxHeaderSize: number; }).maxHeaderSize = toParserLimit(limits);
    }

    private getConnection(socket: Socket): GuardedConnection {
        let connection = this.connections.get(socket);
        if (connection === undefined) {
            connection = {
                parserLimitBytes: toParserLimit(this.limits),
                maxHeaderCount: toMaxHeaderCount(this.limits),
                serving: undefined,
                waiting: [],
                memoryBytes: 0,
                unfinishedHeadBytes: 0,
                readByteCount: 0,
                owedResponseCount: 0,
                newestRequest: undefined,
                waitingFault: undefined,
                isRefused: false,
            };
            this.connections.set(socket, connection);
            const added = connection;
            // Responses that are still to come don't tell that their connection has closed.
            socket.once("close", () => {
                this.releaseMemory(added, added.memoryBytes);
                this.setUnfinishedHead(added, 0);
                added.waiting.length = 0;
            });
            // Called after Node's parser has read the same bytes.
            socket.on("data", () => this.countUnfinishedHead(socket, added));
        }
        return connection;
    }

    private admit(request: IncomingMessage, response: ServerResponse): boolean {
        const { socket } = request;
        const connection = this.getConnection(socket);
        // A head that ends after its refusal; its response could not be sent.
        if (connection.isRefused) return false;
        connection.waitingFault = undefined;
        connection.newestRequest = request;
        connection.owedResponseCount += 1;
        if (connection.owedResponseCount > (this.options.maxRequestsAhead ?? DEFAULT_MAX_REQUESTS_AHEAD)) {
            this.closeOverrun(socket, connection, "ahead");
            return false;
        }
        this.arrivals.set(request, performance.now());
        const { method = "", url = "", rawHeaders } = request;
        const headByteCount = countHeadBytes(method, url, rawHeaders);
        const memoryBytes = estimateRequestMemory(headByteCount, rawHeaders.length);
        this.requestMemoryBytes += memoryBytes;
        connection.memoryBytes += memoryBytes;
        response.once("close", () => {
            this.releaseMemory(connection, Math.min(memoryBytes, connection.memoryBytes));
            connection.owedResponseCount -= 1;
            if (connection.serving === response) this.passOnNext(connection);
            if (connection.owedResponseCount === 0) this.onResponsesEnded(socket, connection);
        });
        const fault = this.findFault(socket, connection, headByteCount, rawHeaders.length);
        if (fault === undefined) return true;
        // A refusal behind responses that the caller doesn't read would keep the memory.
        if (fault === "no_memory" && connection.owedResponseCount > 1) this.closeOverrun(socket, connection, fault);
        else this.refuseRead(response, connection, fault);
        return false;
    }

    private releaseMemory(connection: GuardedConnection, memoryBytes: number): void {
        connection.memoryBytes -= memoryBytes;
        this.requestMemoryBytes -= memoryBytes;
    }

    /** Closes the connection of a head that is not complete while such heads take too much memory. */
    private countUnfinishedHead(socket: Socket, connection: GuardedConnection): void {
        if (connection.isRefused) return;
        const rawHeaderCount = countUnfinishedHeaders(socket);
        const headByteCount = Math.min(socket.bytesRead - connection.readByteCount, connection.parserLimitBytes);
        this.setUnfinishedHead(
            connection,
            rawHeaderCount === 0 ? 0 : estimateRequestMemory(headByteCount, rawHeaderCount),
        );
        const { maxRequestMemoryBytes = Infinity } = this.options;
        const isOver = this.unfinishedHeadBytes > UNFINISHED_HEAD_SHARE * maxRequestMemoryBytes;
        if (isOver && connection.unfinishedHeadBytes > 0) this.closeOverrun(socket, connection, "no_memory");
    }

    private setUnfinishedHead(connection: GuardedConnection, byteCount: number): void {
        this.unfinishedHeadBytes += byteCount - connection.unfinishedHeadBytes;
        connection.unfinishedHeadBytes = byteCount;
    }

    private passOnNext(connection: GuardedConnection): void {
        connection.serving = undefined;
        const next = connection.waiting.shift();
        if (next !== undefined && !next.request.socket.destroyed) this.passOnInTurn(next.request, next.response);
    }

    private findFault(
        socket: Socket,
        connection: GuardedConnection,
        headByteCount: number,
        rawHeaderCount: number,
    ): HeadFault | undefined {
        const { maxHeaderBytes } = this.limits;
        const readSinceLastHead = socket.bytesRead - connection.readByteCount;
        connection.readByteCount = socket.bytesRead;
        // The spaces behind colons are counted but may be missing; what was read shows that the head is shorter.
        const isCountedTooLong = headByteCount - rawHeaderCount / 2 <= maxHeaderBytes
            && readSinceLastHead <= maxHeaderBytes;
        if (headByteCount > maxHeaderBytes && !isCountedTooLong) return "too_large";
        if (rawHeaderCount >= 2 * connection.maxHeaderCount) return "limit_raised";
        return this.requestMemoryBytes > (this.options.maxRequestMemoryBytes ?? Infinity) ? "no_memory" : undefined;
    }

    /** Refuses a request whose head has been read, and ends its connection. */
    private refuseRead(response: ServerResponse, connection: GuardedConnection, fault: HeadFault): void {
        connection.isRefused = true;
        this.options.onFault(fault);
        const { status, headers, body } = this.options.createRefusal(fault, this.limits);
        response.on("error", () => undefined);
        response.writeHead(status, [...headers, ...createFramingHeaders(body)]).end(body);
    }

    /** Closes a connection at once, since what was read from it beyond the limit is kept until then. */
    private closeOverrun(socket: Socket, connection: GuardedConnection, fault: HeadFault): void {
        connection.isRefused = true;
        connection.waiting.length = 0;
        this.options.onFault(fault);
        dropFurtherRequests(socket);
        socket.destroy();
    }

    /** Passes a request on once the response before it has ended. */
    private passOnInTurn(request: IncomingMessage, response: ServerResponse): void {
        const connection = this.getConnection(request.socket);
        if (connection.serving !== undefined) {
            connection.waiting.push({ request, response });
            return;
        }
        connection.serving = response;
        for (const listener of this.listeners) Reflect.apply(listener, this.server, [request, response]);
    }

    private onClientError(error: NodeJS.ErrnoException, socket: Socket): void {
        const connection = this.getConnection(socket);
        if (error.code === "ECONNRESET") {
            socket.destroy();
            return;
        }
        // More bytes after the fault; the connection ends already.
        if (connection.isRefused || connection.waitingFault !== undefined) return;
        const fault = this.toHeadFault(error, connection);
        const action = decideHeadFaultAction({
            fault,
            isWritable: socket.writable,
            owedResponseCount: connection.owedResponseCount,
            isReceivingBody: connection.newestRequest?.complete === false,
        });
        if (action === "refuse" && fault === "late") this.refuseUnlessRead(socket, connection);
        else if (action === "refuse") this.refuse(socket, connection, fault);
        else if (action === "refuse_after_responses") connection.waitingFault = fault;
        else socket.destroy();
    }

    private toHeadFault(error: NodeJS.ErrnoException, connection: GuardedConnection): HeadFault {
        if (error.code === "ERR_HTTP_REQUEST_TIMEOUT") return "late";
        if (error.code !== "HPE_HEADER_OVERFLOW") return "malformed";
        return connection.parserLimitBytes < this.limits.maxHeaderBytes ? "limit_raised" : "too_large";
    }

    private onResponsesEnded(socket: Socket, connection: GuardedConnection): void {
        const fault = connection.waitingFault;
        if (fault === undefined) return;
        if (fault !== "late") return this.refuse(socket, connection, fault);
        // Node may have stopped reading during the response, so the rest of the head can be there already.
        setTimeout(() => {
            if (connection.waitingFault === "late") this.refuse(socket, connection, fault);
        }, HEAD_CHECK_INTERVAL_MS);
    }

    /** After a suspension of the process its timers expire before it reads what has arrived meanwhile. */
    private refuseUnlessRead(socket: Socket, connection: GuardedConnection): void {
        connection.waitingFault = "late";
        setImmediate(() => {
            if (connection.waitingFault === "late") this.refuse(socket, connection, "late");
        });
    }

    private refuse(socket: Socket, connection: GuardedConnection, fault: HeadFault): void {
        connection.waitingFault = undefined;
        if (!socket.writable) {
            socket.destroy();
            return;
        }
        connection.isRefused = true;
        this.options.onFault(fault);
        socket.end(formatRefusal(this.options.createRefusal(fault, this.limits)));
        const lingerTimer = setTimeout(() => socket.destroy(), LINGER_MS);
        socket.once("close", () => clearTimeout(lingerTimer));
    }
}

/**
 * Lets Node's parser drop what it has read and not parsed yet. It would keep these requests with their responses until the
 * connection has closed, which is after the other connections have been read.
 */
function dropFurtherRequests(socket: Socket): void {
    const { parser } = socket as { parser?: { onIncoming?: unknown; } | null; };
    if (parser?.onIncoming !== undefined) parser.onIncoming = () => 0;
}

/** Counts the names and values that Node's parser keeps of a head that is not complete; 0 if it has few lines. */
function countUnfinishedHeaders(socket: Socket): number {
    const { parser } = socket as { parser?: { _headers?: readonly string[]; } | null; };
    return parser?._headers?.length ?? 0;
}

function toParserLimit({ maxHeaderBytes }: RequestHeadLimits): number {
    return Math.max(Math.ceil(maxHeaderBytes), MIN_PARSER_HEADER_BYTES);
}

/** No head within the limit has more headers. */
function toMaxHeaderCount({ maxHeaderBytes }: RequestHeadLimits): number {
    return Math.ceil(maxHeaderBytes / MIN_HEADER_LINE_BYTES) + 1;
}

function createFramingHeaders(body: string): string[] {
    return ["content-length", String(Buffer.byteLength(body)), "connection", "close"];
}

/** Formats a refusal as HTTP: Node provides no response object for a head without an end. */
function formatRefusal({ status, headers, body }: RawRefusal): string {
    const fields = [...headers, ...createFramingHeaders(body)];
    const lines: string[] = [];
    for (let index = 0; index < fields.length; index += 2) lines.push(`${fields[index]}: ${fields[index + 1]}\r\n`);
    return `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ""}\r\n${lines.join("")}\r\n${body}`;
}
