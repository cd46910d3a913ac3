import { connect } from "node:net";
import { eventually } from "./eventually.ts";

const RESPONSE_TIMEOUT_MS = 30_000;

export interface ChunkedCall {
    readonly host?: string;
    readonly port: number;
    /** Request line and headers without the framing, each with its line end. */
    readonly head: string;
    readonly body: string;
    readonly chunkByteCount: number;
}

/**
 * Sends a request whose body comes in chunks of one size; resolves with the status of the response.
 *
 * @example
 * const head = "POST /lookup/x HTTP/1.1\r\nhost: h\r\n";
 * const status = await callInChunks({ port, head, body: "abc", chunkByteCount: 1 });
 */
export async function callInChunks(
    { host = "127.0.0.1", port, head, body, chunkByteCount }: ChunkedCall,
): Promise<number> {
    const chunks: string[] = [];
    for (let offset = 0; offset < body.length; offset += chunkByteCount) {
        const chunk = body.slice(offset, offset + chunkByteCount);
        chunks.push(`${chunk.length.toString(16)}\r\n${chunk}\r\n`);
    }
    const socket = connect(port, host);
    let text = "";
    socket.on("data", data => text += data.toString("latin1"));
    socket.on("error", () => undefined);
    socket.write(`${head}transfer-encoding: chunked\r\n\r\n${chunks.join("")}0\r\n\r\n`, "latin1");
    try {
        return await eventually("a response", () => {
            const status = /^HTTP\/1\.1 (\d+)/.exec(text)?.[1];
            return status === undefined ? undefined : Number(status);
        }, RESPONSE_TIMEOUT_MS);
    }
    finally {
        socket.destroy();
    }
}
