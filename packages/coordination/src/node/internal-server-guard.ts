import { type Refusal, toRefusalBody, toRefusalHeaders } from "@skylarkmill/protocol";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { HeadFault } from "../runtime/head-fault.ts";
import { RefusedBody } from "../runtime/refused-body.ts";
import { createHeadGuardServerOptions, RequestHeadGuard, type RequestHeadLimits } from "./request-head-guard.ts";

/** Heads of requests between own processes hold those of callers, and more. */
const LIMITS: RequestHeadLimits = { maxHeaderBytes: 32 * 1024, headerTimeoutMs: 60_000 };
export const MAX_REQUEST_MEMORY_BYTES = 24 * 1024 * 1024;
const NO_MEMORY_RETRY_MS = 500;
/** Bounds of the part of a body that comes after the response; no body inside the limits is as long. */
export const MAX_LATE_BODY_BYTES = 16 * 1024 * 1024;
const MAX_LATE_BODY_MS = 30_000;

/**
 * Options for the creation of a server that `guardInternalServer` guards.
 *
 * @example
 * const server = createServer(createInternalServerOptions());
 */
export function createInternalServerOptions(): ReturnType<typeof createHeadGuardServerOptions> {
    return createHeadGuardServerOptions(LIMITS);
}

/**
 * Guards a server for own processes, operators or probes against others that reach its port: limits the heads of requests,
 * their number ahead of responses and their memory, and bodies that go on after the response. Call it once the server has
 * its `request` listeners.
 *
 * @example
 * const server = createServer(createInternalServerOptions(), listener);
 * guardInternalServer(server);
 */
export function guardInternalServer(server: Server): void {
    server.prependListener("request", boundLateBody);
    // The guard listens to the server for as long as the server exists.
    void new RequestHeadGuard(server, {
        limits: LIMITS,
        maxRequestMemoryBytes: MAX_REQUEST_MEMORY_BYTES,
        onFault: () => undefined,
        createRefusal: fault => {
            const refusal = createRefusal(fault);
            return {
                status: refusal.status,
                headers: Object.entries(toRefusalHeaders(refusal)).flat(),
                body: JSON.stringify(toRefusalBody(refusal)),
            };
        },
    });
}

/** Node reads a body to its end when the response has ended before it. */
function boundLateBody(request: IncomingMessage, response: ServerResponse): void {
    response.once("finish", () => {
        if (request.complete || request.socket.destroyed) return;
        new RefusedBody(request, {
            maxByteCount: MAX_LATE_BODY_BYTES,
            maxMs: MAX_LATE_BODY_MS,
            onEnd: () => {
                if (!request.complete) request.socket.destroy();
            },
        });
    });
}

function createRefusal(fault: HeadFault): Refusal {
    const invalid = { type: "invalid_request_error", execution: "not_run" } as const;
    switch (fault) {
        case "late":
            return {
                ...invalid,
                status: 408,
                type: "timeout_error",
                code: "head_timeout",
                message: "The head is late.",
            };
        case "too_large":
        case "limit_raised":
            return { ...invalid, status: 431, code: "head_too_large", message: "The request's head is too long." };
        case "no_memory":
            return {
                status: 503,
                type: "overloaded_error",
                code: "no_memory",
                message: "This process has no memory for the request.",
                execution: "not_run",
                retryAfterMs: NO_MEMORY_RETRY_MS,
            };
        case "ahead":
        case "malformed":
            return { ...invalid, status: 400, code: "invalid_request", message: "The request is not valid HTTP/1.1." };
    }
}
