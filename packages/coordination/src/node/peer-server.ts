import { Code, ConnectError, type Interceptor, type ServiceImpl } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { PeerService, type UnavailableError } from "@skylarkmill/protocol";
import type { ResultAsync } from "neverthrow";
import { createHash, timingSafeEqual } from "node:crypto";
import { constants, createServer, type Http2Server } from "node:http2";
import { listen, listenWhenFree, type ListenWhenFreeOptions } from "./http-server.ts";
import { MAX_PEER_MESSAGE_BYTES } from "./peer-client.ts";
import { type PeerConnectionLimits, PeerConnections } from "./peer-connections.ts";

const LISTEN_STEP = "peer.listen";
/** Calls of one connection at the same time; clients keep further ones back. */
const MAX_CONCURRENT_CALLS = 128;
/** Error as the Connect protocol has it. */
const UNAUTHENTICATED_BODY = JSON.stringify({
    code: "unauthenticated",
    message: "the peer key is missing or wrong",
});

export interface PeerServerOptions {
    readonly host: string;
    /** 0 selects a free port. */
    readonly port: number;
    /** Accepted peer keys; several are allowed, so that keys can be rotated. */
    readonly keys: () => readonly string[];
    readonly handlers: Partial<ServiceImpl<typeof PeerService>>;
    /** Limits of connections without an accepted key. @default the defaults of `PeerConnectionLimits` */
    readonly connectionLimits?: Partial<PeerConnectionLimits>;
    /** Called for each call with a missing or wrong key (`key`) and each malformed or oversized message (`message`). */
    readonly onRefused?: (reason: "key" | "message") => void;
}

export interface PeerServer {
    readonly port: number;
    close(): Promise<void>;
}

function hashSha256(text: string): Buffer {
    return createHash("sha256").update(text).digest();
}

/**
 * Returns whether a header value is one of the accepted secrets (peer keys or team tokens), with or without the
 * prefix `Bearer `. Compares in constant time.
 *
 * @example
 * isAcceptedSecret("Bearer secret", ["secret"]); // true
 */
export function isAcceptedSecret(headerValue: string | undefined, acceptedSecrets: readonly string[]): boolean {
    const receivedDigest = hashSha256(headerValue?.replace(/^Bearer /i, "") ?? "");
    return acceptedSecrets.some(secret => secret !== "" && timingSafeEqual(hashSha256(secret), receivedDigest));
}

/**
 * Starts a server for the calls of other processes. The port is bound exclusively: a second process on the
 * same host fails with `UnavailableError`, even while the first one is suspended.
 *
 * @example
 * const server = await createPeerServer({ host: "127.0.0.1", port: 7001, keys, handlers });
 */
export function createPeerServer(options: PeerServerOptions): ResultAsync<PeerServer, UnavailableError> {
    const { server, connections } = createHttpServer(options);
    return listen(server, options, LISTEN_STEP).map(port => toPeerServer(port, server, connections));
}

/**
 * Like `createPeerServer`, but waits until the port can be bound, and returns undefined if the signal aborts first. The
 * port also tells the processes of one host apart: what only one of them may do must not begin before this resolves.
 *
 * @example
 * const server = await createPeerServerWhenFree({ ...options, logger, signal });
 */
export function createPeerServerWhenFree(
    options: PeerServerOptions & Omit<ListenWhenFreeOptions, "step">,
): ResultAsync<PeerServer | undefined, UnavailableError> {
    const { server, connections } = createHttpServer(options);
    return listenWhenFree(server, options, { ...options, step: LISTEN_STEP })
        .map(port => port === undefined ? undefined : toPeerServer(port, server, connections));
}

function toPeerServer(port: number, server: Http2Server, connections: PeerConnections): PeerServer {
    return { port, close: () => closePeerServer(server, connections) };
}

function createHttpServer(
    options: PeerServerOptions,
): { readonly server: Http2Server; readonly connections: PeerConnections; } {
    const reportMalformedMessages: Interceptor = next => async request => {
        try {
            return await next(request);
        }
        catch (error) {
            const { code } = ConnectError.from(error);
            if (code === Code.InvalidArgument || code === Code.ResourceExhausted) options.onRefused?.("message");
            throw error;
        }
    };
    const handleCall = connectNodeAdapter({
        routes: router => router.service(PeerService, options.handlers),
        interceptors: [reportMalformedMessages],
        readMaxBytes: MAX_PEER_MESSAGE_BYTES,
        grpc: false,
        grpcWeb: false,
    });
    const server = createServer({ settings: { maxConcurrentStreams: MAX_CONCURRENT_CALLS } });
    const connections = new PeerConnections(server, options.connectionLimits);
    // Nothing of a call without a key is read, and it gets no further than its head.
    server.on("request", (request, response) => {
        if (isAcceptedSecret(request.headers.authorization, options.keys())) {
            connections.accept(request.stream.session);
            handleCall(request, response);
            return;
        }
        options.onRefused?.("key");
        // The connection can break at any time.
        request.on("error", () => undefined);
        response.on("error", () => undefined);
        response.writeHead(401, { "content-type": "application/json" }).end(UNAUTHENTICATED_BODY);
        request.stream.close(constants.NGHTTP2_NO_ERROR);
        connections.refuse(request.stream.session);
    });
    return { server, connections };
}

function closePeerServer(server: Http2Server, { sockets, sessions }: PeerConnections): Promise<void> {
    return new Promise(resolve => {
        server.close(() => resolve());
        for (const session of sessions) session.destroy();
        // A session that has received a GOAWAY frame leaves its socket open until the peer ends it. The sessions have sent
        // their last frames when the callback runs.
        setImmediate(() => {
            for (const socket of sockets) socket.destroy();
        });
    });
}
