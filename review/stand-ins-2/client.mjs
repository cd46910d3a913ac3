// A client of the platform: one connection for each request.
import { Buffer } from "node:buffer";
import { randomBytes } from "node:crypto";
import { request as httpRequest } from "node:http";
import { performance } from "node:perf_hooks";
import { HOST } from "./config.mjs";

export function createId() {
    return randomBytes(8).toString("hex");
}

/** Resolves with status, headers, body, and whether the response is complete. */
export function send(port, { method = "POST", path, id = createId(), headers = {}, body, deadlineMs }) {
    return new Promise(resolve => {
        const startedAtMs = performance.now();
        const finish = outcome =>
            resolve({ id, path, tookMs: Math.round(performance.now() - startedAtMs), ...outcome });
        const request = httpRequest({
            host: "127.0.0.1",
            port,
            method,
            path,
            agent: false,
            headers: {
                Host: HOST,
                "X-Attempt-Id": id,
                "X-Deadline-Ms": String(deadlineMs),
                ...headers,
                ...(body === undefined ? {} : { "Content-Length": Buffer.byteLength(body) }),
            },
        });
        request.once("error", error => finish({ status: 0, error: error.message }));
        request.once("response", response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("error", () => undefined);
            response.once("close", () => {
                finish({
                    status: response.statusCode,
                    headers: response.headers,
                    isComplete: response.complete,
                    body: Buffer.concat(chunks).toString(),
                });
            });
        });
        request.end(body);
    });
}
