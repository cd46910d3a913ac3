import { type IncomingMessage, type Server, type ServerOptions, type ServerResponse, STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import { countHeadBytes, decideHeadFaultAction, type HeadFault } from "../runtime/head-fault.ts";

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
}

/** Interval at which heads are checked for their time. */
const HEAD_CHECK_INTERVAL_MS = 200;
/** Least limit of Node's parser, which is fixed for a connection; up to here a raised limit holds for open connections. */
const MIN_PARSER_HEADER_BYTES = 32 * 1024;
/** Node leaves out further headers without an error. */
const MAX_HEADER_COUNT = 2_000;
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
        maxHeaderSize: toParserLimit(limits),
        headersTimeout: Math.ceil(limits.headerTimeoutMs),
        connectionsCheckingInterval: HEAD_CHECK_INTERVAL_MS,
    };
}

interface GuardedConnection {
    readonly parserLimitBytes: number;
    owedResponseCount: number;
    newestRequest: IncomingMessage | undefined;
    /** Fault of a head whose refusal waits for earlier responses. */
    waitingFault: HeadFault | undefined;
    isRefused: boolean;
}

/**
 * Limits the size and the time of request heads and refuses heads that Node's parser rejects. Create it once the server has
 * its `request` listeners; they get only requests whose heads are within the limits.
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

    constructor(server: Server, options: RequestHeadGuardOptions) {
        this.server = server;
        this.options = options;
        this.limits = options.limits;
        server.maxHeadersCount = MAX_HEADER_COUNT;
        const listeners = server.listeners("request");
        server.removeAllListeners("request");
        server.on("connection", (socket: Socket) => void this.getConnection(socket));
        server.on("request", (request, response) => {
            if (!this.admit(request, response)) return;
            for (const listener of listeners) Reflect.apply(listener, server, [request, response]);
        });
        server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => this.onClientError(error, socket));
    }

    /** Applies new limits, also to open connections. */
    setLimits(limits: RequestHeadLimits): void {
        this.limits = limits;
        this.server.headersTimeout = Math.ceil(limits.headerTimeoutMs);
        // Node reads this option of the server for each new connection; its types declare it only for the creation.
        (this.server as Server & { maxHeaderSize: number; }).maxHeaderSize = toParserLimit(limits);
    }

    private getConnection(socket: Socket): GuardedConnection {
        let connection = this.connections.get(socket);
        if (connection === undefined) {
            connection = {
                parserLimitBytes: toParserLimit(this.limits),
                owedResponseCount: 0,
                newestRequest: undefined,
                waitingFault: undefined,
                isRefused: false,
            };
            this.connections.set(socket, connection);
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
        response.once("close", () => {
            connection.owedResponseCount -= 1;
            if (connection.owedResponseCount === 0) this.onResponsesEnded(socket, connection);
        });
        if (!this.isTooLarge(request)) return true;
        connection.isRefused = true;
        this.options.onFault("too_large");
        const { status, headers, body } = this.options.createRefusal("too_large", this.limits);
        response.on("error", () => undefined);
        response.writeHead(status, [...headers, ...createFramingHeaders(body)]).end(body);
        return false;
    }

    private isTooLarge({ method = "", url = "", rawHeaders }: IncomingMessage): boolean {
        return rawHeaders.length >= 2 * MAX_HEADER_COUNT
            || countHeadBytes(method, url, rawHeaders) > this.limits.maxHeaderBytes;
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

function toParserLimit({ maxHeaderBytes }: RequestHeadLimits): number {
    return Math.max(Math.ceil(maxHeaderBytes), MIN_PARSER_HEADER_BYTES);
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
