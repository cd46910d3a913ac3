import type { IncomingMessage } from "node:http";

/** The part of a request that matters here. */
export type RefusedRequest = Pick<IncomingMessage, "once"> & {
    readonly socket: Pick<IncomingMessage["socket"], "on" | "off">;
};

/** Time without a byte after which a body that was refused isn't read any longer. */
const STALL_MS = 2_000;

export interface RefusedBodyOptions {
    /** Bytes that are still read from the connection. */
    readonly maxByteCount: number;
    /** Time for which the body is still read, however slowly it comes. */
    readonly maxMs: number;
    /** Called once, when the body has ended or isn't read any longer. */
    readonly onEnd: () => void;
}

/**
 * Reads on a body whose request has been refused, within bounds, and discards it. Many callers read the response only
 * after they have sent the whole body, and the end of their connection before that would reset it.
 *
 * @example
 * response.writeHead(413, { "content-length": text.length }).write(text);
 * new RefusedBody(request, { maxByteCount: 1_000_000, maxMs: 10_000, onEnd: () => response.end() });
 */
export class RefusedBody {
    private leftByteCount: number;
    private readonly stallTimer: NodeJS.Timeout;
    private readonly endTimer: NodeJS.Timeout;
    private readonly discard = (chunk: Buffer): void => this.countBytes(chunk.length);
    private readonly socket: RefusedRequest["socket"];
    private isEnded = false;

    constructor(request: RefusedRequest, private readonly options: RefusedBodyOptions) {
        this.leftByteCount = options.maxByteCount;
        this.stallTimer = setTimeout(() => this.end(), STALL_MS);
        this.endTimer = setTimeout(() => this.end(), options.maxMs);
        // Node drops the bytes of a body whose response has ended; only the connection tells of them.
        this.socket = request.socket;
        this.socket.on("data", this.discard);
        request.once("end", () => this.end());
        request.once("close", () => this.end());
    }

    /** Ends the wait for the rest of the body. */
    end(): void {
        if (this.isEnded) return;
        this.isEnded = true;
        this.socket.off("data", this.discard);
        clearTimeout(this.stallTimer);
        clearTimeout(this.endTimer);
        this.options.onEnd();
    }

    private countBytes(byteCount: number): void {
        this.stallTimer.refresh();
        this.leftByteCount -= byteCount;
        if (this.leftByteCount < 0) this.end();
    }
}
