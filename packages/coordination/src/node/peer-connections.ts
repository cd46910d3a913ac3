import type { Http2Server, Http2Session, ServerHttp2Session } from "node:http2";
import type { Socket } from "node:net";

/** Limits of connections that have not brought a call with an accepted key. */
export interface PeerConnectionLimits {
    /** Time within which a connection must bring such a call; own processes call at once. @default 10000 */
    readonly acceptTimeoutMs: number;
    /** Number of connections without such a call; beyond it the oldest one is closed. @default 256 */
    readonly maxUnacceptedCount: number;
    /** Calls without an accepted key that one connection may bring; beyond it, it is closed at once. @default 16 */
    readonly maxRefusedCalls: number;
    /** Time for the answers to calls without an accepted key; the connection is closed then. @default 1000 */
    readonly refusalLingerMs: number;
}

export const DEFAULT_PEER_CONNECTION_LIMITS: PeerConnectionLimits = {
    acceptTimeoutMs: 10_000,
    maxUnacceptedCount: 256,
    maxRefusedCalls: 16,
    refusalLingerMs: 1000,
};

/**
 * Open connections of a server for calls of other processes. Those that have not brought a call with an accepted key are
 * limited in number and time, so that callers without a key take neither memory nor descriptors from other processes.
 *
 * @example
 * const connections = new PeerConnections(server);
 * connections.accept(request.stream.session);
 */
export class PeerConnections {
    readonly sockets = new Set<Socket>();
    readonly sessions = new Set<ServerHttp2Session>();
    private readonly socketsBySession = new WeakMap<Http2Session, Socket>();
    /** Connections without an accepted key and the timers that close them, the oldest first. */
    private readonly unaccepted = new Map<Socket, NodeJS.Timeout>();
    private newestSocket: Socket | undefined;
    private readonly refusedCallCounts = new WeakMap<Http2Session, number>();

    private readonly limits: PeerConnectionLimits;

    constructor(server: Http2Server, limits: Partial<PeerConnectionLimits> = {}) {
        this.limits = { ...DEFAULT_PEER_CONNECTION_LIMITS, ...limits };
        // The listener of the server itself comes afterwards and reports the session of the same connection.
        server.prependListener("connection", (socket: Socket) => this.add(socket));
        server.on("session", session => this.addSession(session));
    }

    /** The connection has brought a call with an accepted key. */
    accept(session: Http2Session | undefined): void {
        const socket = session && this.socketsBySession.get(session);
        if (socket !== undefined) this.forget(socket);
    }

    /** Counts a call without an accepted key; its connection is closed once the answer has had time. */
    refuse(session: Http2Session | undefined): void {
        if (session === undefined) return;
        const refusedCallCount = (this.refusedCallCounts.get(session) ?? 0) + 1;
        this.refusedCallCounts.set(session, refusedCallCount);
        if (refusedCallCount > this.limits.maxRefusedCalls) this.closeSession(session);
        else if (refusedCallCount === 1) {
            const timer = setTimeout(() => this.closeSession(session), this.limits.refusalLingerMs);
            session.once("close", () => clearTimeout(timer));
        }
    }

    private add(socket: Socket): void {
        this.newestSocket = socket;
        this.sockets.add(socket);
        this.unaccepted.set(socket, setTimeout(() => socket.destroy(), this.limits.acceptTimeoutMs));
        socket.once("close", () => {
            this.sockets.delete(socket);
            this.forget(socket);
        });
        const [oldest] = this.unaccepted.keys();
        if (this.unaccepted.size > this.limits.maxUnacceptedCount) {
            this.forget(oldest!);
            oldest!.destroy();
        }
    }

    private addSession(session: ServerHttp2Session): void {
        this.sessions.add(session);
        if (this.newestSocket !== undefined) this.socketsBySession.set(session, this.newestSocket);
        session.on("close", () => this.sessions.delete(session));
        // Without a listener the error would crash the process; calls on the connection report it.
        session.on("error", () => undefined);
    }

    private forget(socket: Socket): void {
        clearTimeout(this.unaccepted.get(socket));
        this.unaccepted.delete(socket);
    }

    private closeSession(session: Http2Session): void {
        session.destroy();
        this.socketsBySession.get(session)?.destroy();
    }
}
