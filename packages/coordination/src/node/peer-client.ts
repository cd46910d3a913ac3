import { type Client, createClient, type Interceptor } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import { PeerService, type ProcessId } from "@skylarkmill/protocol";
import { connect, type Socket } from "node:net";
import type { PermitBrokerPeer } from "../types/permits.ts";
import type { RecordPeer } from "../types/record-store.ts";
import { formatOrigin } from "../utils/format-origin.ts";

export interface PeerClientOptions {
    readonly processId: ProcessId;
    readonly address: string;
    readonly port: number;
    /** Peer keys; the first one authenticates the calls. */
    readonly keys: () => readonly string[];
    /** Time limit of each call. @default 1000 */
    readonly timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 1000;
/** Maximum size of a message; a value of the key-value service (at most 1 MB) fits in with its protocol overhead. */
export const MAX_PEER_MESSAGE_BYTES = 4 * 1024 * 1024;
/**
 * Time after which an idle connection is closed. It is short, since record exchanges select peers at random and thus
 * rarely reuse a connection.
 */
const IDLE_CONNECTION_TIMEOUT_MS = 15_000;

/** Client of one peer; the record store and the permit client can use it directly. */
export interface PeerClient extends RecordPeer, PermitBrokerPeer {
    /** All calls of the peer interface. */
    readonly calls: Client<typeof PeerService>;
    /** Closes all connections; calls in progress reject. */
    close(): void;
}

/**
 * Creates a client for another process of the system. It connects on the first call.
 * A failed call rejects with a `ConnectError`.
 *
 * @example
 * const peer = createPeerClient({ processId, address: "127.0.0.1", port: 7001, keys: () => ["secret"] });
 * const status = await peer.calls.getStatus({});
 */
export function createPeerClient(options: PeerClientOptions): PeerClient {
    const baseUrl = formatOrigin(options.address, options.port);
    const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    const addPeerKey: Interceptor = next => request => {
        request.header.set("authorization", `Bearer ${options.keys()[0] ?? ""}`);
        return next(request);
    };
    const sockets = new Set<Socket>();
    const http2Sessions = new Http2SessionManager(
        baseUrl,
        { idleConnectionTimeoutMs: IDLE_CONNECTION_TIMEOUT_MS },
        { createConnection: () => openSocket(options, sockets) },
    );
    const calls = createClient(
        PeerService,
        createConnectTransport({
            baseUrl,
            httpVersion: "2",
            sessionManager: http2Sessions,
            interceptors: [addPeerKey],
            defaultTimeoutMs: timeoutMs,
            readMaxBytes: MAX_PEER_MESSAGE_BYTES,
            writeMaxBytes: MAX_PEER_MESSAGE_BYTES,
            useBinaryFormat: true,
        }),
    );
    return {
        processId: options.processId,
        calls,
        exchange: request => calls.exchange(request),
        push: request => calls.push(request),
        acquire: request => calls.acquirePermit(request),
        release: async permitId => {
            await calls.releasePermit({ permitId });
        },
        // `abort` of the session manager removes its error handler, so a GOAWAY frame that arrives
        // at that moment would crash the process.
        close: () => {
            for (const socket of sockets) socket.destroy();
        },
    };
}

function openSocket({ address, port }: PeerClientOptions, sockets: Set<Socket>): Socket {
    const socket = connect({ host: address, port, noDelay: true });
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
    return socket;
}
