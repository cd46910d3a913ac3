import { detectReset } from "@skylarkmill/coordination";
import { connect, type Socket } from "node:net";

export interface RawCall {
    readonly port: number;
    readonly path: string;
    readonly version: "1.0" | "1.1";
    readonly headers: Readonly<Record<string, string>>;
    /** Time for which the caller reads nothing. */
    readonly readDelayMs?: number;
}

export interface RawResult {
    readonly status: number;
    readonly text: string;
    readonly framing: "length" | "chunked" | "none";
    readonly ending: "closed" | "reset";
    /** Whether the response is complete by HTTP (RFC 9112, section 8). */
    readonly isComplete: boolean;
    /** Number of bytes behind the end of the response. */
    readonly extraByteCount: number;
    /** Whether the response says that its connection ends. */
    readonly isLast: boolean;
}

/** A connection on which one request follows the other until it ends. */
export class KeptConnection {
    private received = "";
    private ending: RawResult["ending"] | undefined;
    private wake: () => void = () => undefined;
    private readonly socket: Socket;

    constructor(port: number) {
        let ending: RawResult["ending"] = "closed";
        this.socket = connect(port, "127.0.0.1").setEncoding("latin1");
        this.socket.on("data", text => {
            this.received += String(text);
            this.wake();
        });
        this.socket.on("error", () => {
            ending = "reset";
        });
        detectReset(this.socket, () => {
            ending = "reset";
        });
        this.socket.once("close", () => {
            this.ending = ending;
            this.wake();
        });
    }

    get isOpen(): boolean {
        return this.ending === undefined;
    }

    /** Sends a request and reads until its response is complete or the connection ends. */
    async send({ path, headers }: Pick<RawCall, "path" | "headers">): Promise<RawResult> {
        this.socket.write(`POST ${path} HTTP/1.1\r\n${formatHeaders({ ...headers, "content-length": "0" })}\r\n`);
        for (;;) {
            const result = parseResponse(this.received, this.ending ?? "reset");
            if (result.isComplete || result.extraByteCount > 0 || !this.isOpen) {
                this.received = "";
                return result;
            }
            await new Promise<void>(resolve => {
                this.wake = resolve;
            });
        }
    }

    close(): void {
        this.socket.destroy();
    }
}

/** Sends a request on a connection of its own and reads until the connection ends, so that its ending can be checked. */
export function callRaw({ port, path, version, headers, readDelayMs = 0 }: RawCall): Promise<RawResult> {
    return new Promise((resolve, reject) => {
        const lines = formatHeaders({ ...headers, "content-length": "0", "connection": "close" });
        const socket = connect(port, "127.0.0.1", () => {
            socket.write(`POST ${path} HTTP/${version}\r\n${lines}\r\n`);
        });
        if (readDelayMs > 0) {
            socket.pause();
            setTimeout(() => socket.resume(), readDelayMs);
        }
        const chunks: Buffer[] = [];
        let ending: RawResult["ending"] = "closed";
        socket.on("data", chunk => chunks.push(chunk));
        detectReset(socket, () => {
            ending = "reset";
        });
        socket.on("error", (error: NodeJS.ErrnoException) => {
            if (error.code === "ECONNRESET") ending = "reset";
            else reject(error);
        });
        socket.once("close", () => resolve(parseResponse(Buffer.concat(chunks).toString("latin1"), ending)));
    });
}

function formatHeaders(headers: Readonly<Record<string, string>>): string {
    return Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
}

function parseResponse(response: string, ending: RawResult["ending"]): RawResult {
    const headEnd = response.indexOf("\r\n\r\n");
    if (headEnd < 0) {
        return { status: 0, text: "", framing: "none", ending, isComplete: false, extraByteCount: 0, isLast: true };
    }
    const head = response.slice(0, headEnd);
    const body = response.slice(headEnd + 4);
    const status = Number(head.split(" ")[1]);
    const isLast = /\r\nconnection: *close/i.test(head);
    const length = /\r\ncontent-length: *(\d+)/i.exec(head)?.[1];
    if (/\r\ntransfer-encoding: *chunked/i.test(head)) {
        return { status, framing: "chunked", ending, isLast, ...decodeChunks(body) };
    }
    const byteCount = length === undefined ? body.length : Number(length);
    return {
        status,
        text: body.slice(0, byteCount),
        framing: length === undefined ? "none" : "length",
        ending,
        isComplete: length === undefined ? ending === "closed" : body.length === byteCount,
        extraByteCount: Math.max(0, body.length - byteCount),
        isLast,
    };
}

function decodeChunks(body: string): Pick<RawResult, "text" | "isComplete" | "extraByteCount"> {
    let text = "";
    for (let offset = 0;;) {
        const lineEnd = body.indexOf("\r\n", offset);
        const size = lineEnd < 0 ? NaN : Number.parseInt(body.slice(offset, lineEnd), 16);
        if (Number.isNaN(size)) return { text, isComplete: false, extraByteCount: 0 };
        if (size === 0) {
            const isComplete = body.startsWith("\r\n", lineEnd + 2);
            return { text, isComplete, extraByteCount: isComplete ? body.length - lineEnd - 4 : 0 };
        }
        text += body.slice(lineEnd + 2, lineEnd + 2 + size);
        offset = lineEnd + 2 + size + 2;
    }
}
