import { IncomingMessage, type Server } from "node:http";
import type { Socket } from "node:net";
import { LoopShare } from "../runtime/loop-share.ts";
import { ReadDebts } from "../runtime/read-debts.ts";
import { ByteCollector } from "../utils/byte-collector.ts";
import { NewConnections } from "./new-connections.ts";
import { getReadHandle } from "./read-handle.ts";

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

/** Part of the event loop's time that connections from one address may take before new ones from there have to wait. */
export const MAX_ADDRESS_SHARE = 0.5;

/** The event loop is the same for all servers of the process. */
export const processLoopShare = new LoopShare();
/** Of each connection, the newest request before its last read, and those that this read brought. */
const recentRequests = new WeakMap<Socket, PacedRequest[]>();

/**
 * A request whose connection can be held while its body is received; Node would read on otherwise. What comes before
 * somebody reads the body is kept by its bytes, since Node would keep each chunk for itself.
 */
export class PacedRequest extends IncomingMessage {
    /** Pieces of the body that came since the connection's last read began. */
    pieceCount = 0;
    private isHeldBack = false;
    /** Whether its reader has asked for more since it is held. */
    private isReadMissed = false;
    private hasReader = false;
    /** Body that came while there was no reader. */
    private readonly unread = new ByteCollector();

    constructor(socket: Socket) {
        super(socket);
        const recent = recentRequests.get(socket);
        if (recent === undefined) recentRequests.set(socket, [this]);
        else recent.push(this);
    }

    override push(chunk: Buffer | null, encoding?: BufferEncoding): boolean {
        this.pieceCount += 1;
        if (!this.hasReader && chunk) {
            this.unread.append(chunk);
            return this.hasRoom;
        }
        this.passOnUnread();
        return super.push(chunk, encoding);
    }

    override _read(size: number): void {
        if (!this.hasReader) {
            this.hasReader = true;
            this.passOnUnread();
        }
        if (this.isHeldBack) this.isReadMissed = true;
        else super._read(size);
    }

    get isHeld(): boolean {
        return this.isHeldBack;
    }

    hold(): void {
        this.isHeldBack = true;
        this.socket.pause();
        // A paused socket reads once more, up to 64 KiB, into its own buffer.
        getReadHandle(this.socket)?.readStop();
    }

    /** Lets Node read on, unless the body's reader is late: it asks for more once it has read what is buffered. */
    release(): void {
        this.isHeldBack = false;
        if (this.socket.destroyed) return;
        const handle = getReadHandle(this.socket);
        // Otherwise Node starts it itself.
        if (handle?.reading === true) handle.readStart();
        if (this.isReadMissed) {
            this.isReadMissed = false;
            super._read(this.readableHighWaterMark);
        }
        else if ((this.complete || this.hasRoom) && !isPausedByNode(this.socket)) this.socket.resume();
    }

    private get hasRoom(): boolean {
        return this.readableLength + this.unread.byteCount < this.readableHighWaterMark;
    }

    private passOnUnread(): void {
        if (this.unread.byteCount === 0) return;
        super.push(this.unread.toBuffer());
        this.unread.clear();
    }
}

/** Whether the body's pieces may be what a read took long for; of a body of stated length, a read brings one. */
function isInPieces({ headers, complete, pieceCount }: PacedRequest): boolean {
    return headers["transfer-encoding"] !== undefined && (!complete || pieceCount >= MIN_COSTLY_PIECES);
}

/** Whether the connection waits until its caller has read earlier responses. */
function isPausedByNode(socket: Socket): boolean {
    return (socket as { _paused?: boolean; })._paused === true;
}

/**
 * Lets connections whose request bodies take long to read, since they come in very many chunks, take turns, also after a
 * body that is complete: the next one may follow at once. The server's option `IncomingMessage` has to be `PacedRequest`.
 *
 * @example
 * const server = createServer({ IncomingMessage: PacedRequest });
 * paceBodies(server);
 */
export function paceBodies(server: Server, share = processLoopShare, debts = new ReadDebts(MAX_ADDRESS_SHARE)): void {
    const newConnections = new NewConnections(share, debts);
    server.on("connection", (socket: Socket) => {
        const { remoteAddress } = socket;
        newConnections.admit(socket);
        let readAtMs = 0;
        // Node's parser has its listener already and reads in between.
        socket.prependListener("data", () => {
            readAtMs = performance.now();
            for (const request of recentRequests.get(socket) ?? []) request.pieceCount = 0;
        });
        socket.on("data", () => {
            const costMs = performance.now() - readAtMs;
            const recent = recentRequests.get(socket) ?? [];
            const request = recent.at(-1);
            const isCostly = costMs >= COSTLY_READ_MS && recent.some(isInPieces);
            recent.splice(0, recent.length - 1);
            if (isCostly && remoteAddress !== undefined) debts.add(remoteAddress, costMs);
            if (!isCostly || request === undefined || request.isHeld || socket.destroyed) return;
            request.hold();
            share.add({ costMs, isGone: () => socket.destroyed, resume: () => request.release() });
        });
    });
}
