import { IncomingMessage, type Server } from "node:http";
import type { Socket } from "node:net";
import { LoopShare } from "../runtime/loop-share.ts";

/**
 * Least time of a read after which its connection waits for its turn. The 64 KiB that Node reads at once take some
 * hundredths of a millisecond as plain bytes, and some ten milliseconds as one-byte chunks.
 */
export const COSTLY_READ_MS = 1;

/**
 * Least number of a body's pieces in a costly read after which a connection waits although the body is complete. Without
 * pieces the time went elsewhere, such as to the request's handler.
 */
const MIN_COSTLY_PIECES = 100;

/** The event loop is the same for all servers of the process. */
export const processLoopShare = new LoopShare();
const newestRequests = new WeakMap<Socket, PacedRequest>();

/** A request whose connection can be held while its body is received; Node would read on otherwise. */
export class PacedRequest extends IncomingMessage {
    /** Pieces of the body that came since the connection's last read began. */
    pieceCount = 0;
    private isHeldBack = false;

    constructor(socket: Socket) {
        super(socket);
        newestRequests.set(socket, this);
    }

    override _read(size: number): void {
        if (!this.isHeldBack) super._read(size);
    }

    override push(piece: unknown, encoding?: BufferEncoding): boolean {
        this.pieceCount += 1;
        return super.push(piece, encoding);
    }

    get isHeld(): boolean {
        return this.isHeldBack;
    }

    hold(): void {
        this.isHeldBack = true;
        this.socket.pause();
    }

    release(): void {
        this.isHeldBack = false;
        if (!this.socket.destroyed) this.socket.resume();
    }
}

/**
 * Lets connections whose request bodies take long to read, since they come in very many chunks, take turns. The server's
 * option `IncomingMessage` has to be `PacedRequest`.
 *
 * @example
 * const server = createServer({ IncomingMessage: PacedRequest });
 * paceBodies(server);
 */
export function paceBodies(server: Server, share = processLoopShare): void {
    server.on("connection", (socket: Socket) => {
        let readAtMs = 0;
        // Node's parser has its listener already and reads in between.
        socket.prependListener("data", () => {
            readAtMs = performance.now();
            const request = newestRequests.get(socket);
            if (request !== undefined) request.pieceCount = 0;
        });
        socket.on("data", () => {
            const costMs = performance.now() - readAtMs;
            const request = newestRequests.get(socket);
            if (costMs < COSTLY_READ_MS || request === undefined || socket.destroyed) return;
            if (request.isHeld || request.complete && request.pieceCount < MIN_COSTLY_PIECES) return;
            request.hold();
            share.add({ costMs, isGone: () => socket.destroyed, resume: () => request.release() });
        });
    });
}
