import { type Client, createClient, type Interceptor } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import { PeerService, type ProcessId } from "@skylarkmill/protocol";
import { connect, type Socket } from "node:net";
import type { PermitBrokerPeer } from "../types/permits.ts";
import type { RecordPeer } from "../types/record-store.ts";

export interface PeerClientOptions {
    readonly processId: ProcessId;
    readonly address: string;
    readonly port: number;
    /** The first key is sent. */
    readonly keys: () => readonly string[];
    /** Time limit of each call. @default 1000 */
    readonly timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 1000;
/** A message between processes may carry one value of the key-value service, which is at most 1 MB, and its frame. */
export const MAX_PEER_MESSAGE_BYTES = 4 * 1024 * 1024;
/** Random peers are called rarely, so their connections are not worth keeping. */
const IDLE_CONNECTION_TIMEOUT_MS = 15_000;

/** The calls of one peer. */
export interface PeerClient extends RecordPeer, PermitBrokerPeer {
    readonly calls: Client<typeof PeerService>;
    close(): void;
}

/**
 * Creates a client of another process of the system; it connects on the first call.
 * Calls reject with a `ConnectError`.
 *
 * @example
 * const peer = createPeerClient({ processId, address: "127.0.0.1", port: 7001, keys: () => ["secret"] });
 * const status = await peer.calls.getStatus({});
 */
export function createPeerClient(options: PeerClientOptions): PeerClient {
    const baseUrl = `http://${options.address}:${options.port}`;
    const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    const authorize: Interceptor = next => request => {
        request.header.set("authorization", `Bearer ${options.keys()[0] ?? ""}`);
        return next(request);
    };
    const sockets = new Set<Socket>();
    const sessions = new Http2SessionManager(
        baseUrl,
        { idleConnectionTimeoutMs: IDLE_CONNECTION_TIMEOUT_MS },
        { createConnection: () => openSocket(options, sockets) },
    );
    const calls = createClient(
        PeerService,
        createConnectTransport({
            baseUrl,
            httpVersion: "2",
            sessionManager: sessions,
            interceptors: [authorize],
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
        // An abort of the session manager takes away its error handler, so a GOAWAY that it is
        // handling at that moment would end the process.
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
