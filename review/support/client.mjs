import { Buffer } from "node:buffer";
import { createHash, randomBytes } from "node:crypto";
import { connect } from "node:net";
import { performance } from "node:perf_hooks";
import { setTimeout } from "node:timers";
import { HOST } from "./deployment.mjs";

export function createAttemptId() {
    return randomBytes(8).toString("hex");
}

export function hash(bytes) {
    return createHash("sha256").update(bytes).digest("hex").slice(0, 16);
}

/**
 * Sends one request on a new connection and reads the bytes that come back until the connection ends. With
 * `bytesPerSecond`, the client reads no faster than that, as behind a link of that speed.
 */
export function sendRequest({ port, method = "POST", path, headers = {}, body = Buffer.alloc(0), bytesPerSecond }) {
    const id = createAttemptId();
    const lines = Object.entries({
        "Host": HOST,
        "X-Attempt-Id": id,
        ...headers,
        ...(method === "GET" ? {} : { "Content-Length": body.length }),
    }).map(([name, value]) => `${name}: ${value}\r\n`);
    const socket = connect({ host: "127.0.0.1", port, ...(bytesPerSecond && { highWaterMark: 64 * 1024 }) });
    socket.setNoDelay(true);
    const chunks = [];
    let missingByteCount = Infinity;
    const result = { id, path, sentAtMs: performance.now(), ending: "none" };
    socket.once("connect", () => {
        socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join("")}\r\n`);
        if (body.length > 0) socket.write(body);
        result.sentAtMs = performance.now();
    });
    socket.on("data", chunk => {
        chunks.push(chunk);
        result.firstByteAtMs ??= performance.now();
        if (chunks.length === 1) missingByteCount = countWholeResponse(chunk);
        missingByteCount -= chunk.length;
        if (missingByteCount <= 0) {
            result.ending = "left open";
            return socket.destroy();
        }
        if (bytesPerSecond === undefined) return;
        socket.pause();
        setTimeout(() => socket.resume(), chunk.length / bytesPerSecond * 1_000);
    });
    socket.once("end", () => {
        result.ending = "closed";
    });
    socket.once("error", error => {
        result.ending = error.code === "ECONNRESET" ? "reset" : error.code;
    });
    const ended = new Promise(resolve => {
        socket.once("close", () => {
            result.endedAtMs = performance.now();
            Object.assign(result, parseResponse(Buffer.concat(chunks), result.ending));
            resolve(result);
        });
    });
    return { id, ended, socket };
}

/** Counts the bytes of the whole response from its head, if that states a length. */
function countWholeResponse(firstChunk) {
    const headEnd = firstChunk.indexOf("\r\n\r\n");
    const length = /\r\ncontent-length: *(\d+)/i.exec(firstChunk.subarray(0, Math.max(0, headEnd)).toString("latin1"));
    return length?.[1] === undefined ? Infinity : headEnd + 4 + Number(length[1]);
}

/** Parses the bytes of one response; `isComplete` is what HTTP/1.1 (RFC 9112, section 8) says of its end. */
function parseResponse(bytes, ending) {
    const headEnd = bytes.indexOf("\r\n\r\n");
    if (headEnd < 0) return { status: 0, headers: {}, body: Buffer.alloc(0), isComplete: false };
    const [statusLine, ...lines] = bytes.subarray(0, headEnd).toString("latin1").split("\r\n");
    const headers = Object.fromEntries(lines.map(line => {
        const colon = line.indexOf(":");
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }));
    const rest = bytes.subarray(headEnd + 4);
    const status = Number(statusLine.split(" ")[1]);
    const length = headers["content-length"];
    if (headers["transfer-encoding"] === "chunked") return { status, headers, ...decodeChunks(rest) };
    if (length !== undefined) return { status, headers, body: rest, isComplete: rest.length === Number(length) };
    return { status, headers, body: rest, isComplete: ending === "closed" };
}

function decodeChunks(bytes) {
    const parts = [];
    for (let offset = 0;;) {
        const lineEnd = bytes.indexOf("\r\n", offset);
        const size = lineEnd < 0 ? Number.NaN : Number.parseInt(bytes.subarray(offset, lineEnd).toString("latin1"), 16);
        const body = () => Buffer.concat(parts);
        if (Number.isNaN(size)) return { body: body(), isComplete: false };
        if (size === 0) return { body: body(), isComplete: bytes.indexOf("\r\n", lineEnd + 2) >= 0 };
        parts.push(bytes.subarray(lineEnd + 2, lineEnd + 2 + size));
        offset = lineEnd + 2 + size + 2;
    }
}

/** Describes an answer in one line of the record. */
export function describe(result) {
    const { id, path, status, headers, body, isComplete, ending, sentAtMs, endedAtMs } = result;
    const seal = headers["x-response-seal"] === undefined ? "no seal" : "sealed";
    const length = headers["content-length"] ?? headers["transfer-encoding"] ?? "no length";
    return `${id} ${path} answered ${status} (${seal}, ${length}): ${body.length} bytes, `
        + `${isComplete ? "complete" : "incomplete"}, connection ${ending}, `
        + `after ${Math.round(endedAtMs - sentAtMs)} ms`;
}
