import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { LoopShare } from "../runtime/loop-share.ts";
import { nowMs } from "../utils/clock.ts";
import { COSTLY_READ_MS, processLoopShare } from "./paced-request.ts";
import { getReadHandle } from "./read-handle.ts";

/**
 * Least number of pieces in a costly read after which the connection of a response waits. The 64 KiB that Node reads at
 * once hold fewer of a stream's events, also after a suspension of the process.
 */
export const MIN_COSTLY_RESPONSE_PIECES = 1_000;

/**
 * Stops and continues the reads from the connection of a response. After the `pause` of the response alone, Node reads on
 * for a while and keeps each chunk of a body in chunks for itself.
 *
 * A connection whose read takes long, since it brings the response in very many pieces, waits for its turn before the next
 * one: its bytes stay with the operating system, and the event loop is there for others.
 *
 * @example
 * request.once("socket", socket => {
 *     flow = new ResponseFlow(socket);
 * });
 * response.on("data", chunk => {
 *     flow.countPieces(1);
 *     handle(chunk);
 * });
 */
export class ResponseFlow {
    private readAtMs = 0;
    private pieceCount = 0;
    private isPaused = false;
    private isHeldBack = false;
    private lastReleaseAtMs = -Infinity;

    constructor(private readonly socket: Socket, private readonly share: LoopShare = processLoopShare) {
        // Node's HTTP client has its listener already.
        socket.prependListener("data", () => {
            this.readAtMs = nowMs();
            this.pieceCount = 0;
        });
        // What handles the pieces of a read together has been scheduled before.
        socket.on("data", () => process.nextTick(() => this.endRead()));
    }

    /** Whether the connection waits for its turn, so that nothing that has arrived is known. */
    get isHeld(): boolean {
        return this.isHeldBack;
    }

    /** Time at which its last turn came, on the monotonic clock; -Infinity before. */
    get releasedAtMs(): number {
        return this.lastReleaseAtMs;
    }

    pause(): void {
        this.isPaused = true;
        this.update();
    }

    resume(): void {
        this.isPaused = false;
        this.update();
    }

    /** Adds pieces into which the newest read was split, such as chunks or events. */
    countPieces(count: number): void {
        this.pieceCount += count;
    }

    /**
     * Counts the chunks of a response as Node's parser adds them, for a reader that gets many at once.
     *
     * @example
     * flow.countChunks(response);
     * for await (const bytes of response) handle(bytes);
     */
    countChunks(response: IncomingMessage): void {
        const push = response.push.bind(response);
        response.push = (chunk, encoding) => {
            this.countPieces(1);
            return push(chunk, encoding);
        };
    }

    private endRead(): void {
        const costMs = nowMs() - this.readAtMs;
        if (costMs < COSTLY_READ_MS || this.pieceCount < MIN_COSTLY_RESPONSE_PIECES) return;
        if (this.isHeldBack || this.socket.destroyed) return;
        this.isHeldBack = true;
        this.update();
        this.share.add({ costMs, isGone: () => this.socket.destroyed, resume: () => this.release() });
    }

    private release(): void {
        this.isHeldBack = false;
        this.lastReleaseAtMs = nowMs();
        this.update();
    }

    private update(): void {
        const handle = getReadHandle(this.socket);
        // Node itself starts one that it has stopped.
        if (handle?.reading !== true) return;
        if (this.isPaused || this.isHeldBack) handle.readStop();
        else handle.readStart();
    }
}
