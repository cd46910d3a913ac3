import { detectReset } from "@skylarkmill/coordination";
import { connect } from "node:net";

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
}

/** Sends a request on a connection of its own and reads until the connection ends, so that its ending can be checked. */
export function callRaw({ port, path, version, headers, readDelayMs = 0 }: RawCall): Promise<RawResult> {
    return new Promise((resolve, reject) => {
        const lines = Object.entries({ ...headers, "content-length": "0", "connection": "close" })
            .map(([name, value]) => `${name}: ${value}\r\n`);
        const socket = connect(port, "127.0.0.1", () => {
            socket.write(`POST ${path} HTTP/${version}\r\n${lines.join("")}\r\n`);
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

function parseResponse(response: string, ending: RawResult["ending"]): RawResult {
    const headEnd = response.indexOf("\r\n\r\n");
    if (headEnd < 0) return { status: 0, text: "", framing: "none", ending, isComplete: false };
    const head = response.slice(0, headEnd);
    const body = response.slice(headEnd + 4);
    const status = Number(head.split(" ")[1]);
    const length = /\r\ncontent-length: *(\d+)/i.exec(head)?.[1];
    if (/\r\ntransfer-encoding: *chunked/i.test(head)) {
        return { status, framing: "chunked", ending, ...decodeChunks(body) };
    }
    if (length !== undefined) {
        return { status, text: body, framing: "length", ending, isComplete: body.length === Number(length) };
    }
    return { status, text: body, framing: "none", ending, isComplete: ending === "closed" };
}

function decodeChunks(body: string): { text: string; isComplete: boolean; } {
    let text = "";
    for (let offset = 0;;) {
        const lineEnd = body.indexOf("\r\n", offset);
        const size = lineEnd < 0 ? NaN : Number.parseInt(body.slice(offset, lineEnd), 16);
        if (Number.isNaN(size)) return { text, isComplete: false };
        if (size === 0) return { text, isComplete: body.startsWith("\r\n", lineEnd + 2) };
        text += body.slice(lineEnd + 2, lineEnd + 2 + size);
        offset = lineEnd + 2 + size + 2;
    }
}
