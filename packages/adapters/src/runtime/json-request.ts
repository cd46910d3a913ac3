import { OutcomeUnknownError, ProtocolError, UnavailableError } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";
import { pipeline } from "node:stream";
import { createGunzip } from "node:zlib";
import type { Dispatcher } from "undici";
import type { z } from "zod";
import { readBoundedBody } from "./bounded-body.ts";
import type { SendTracker } from "./tracked-dispatch.ts";

export interface JsonRequest {
    readonly step: string;
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly body?: unknown;
    readonly headers?: Readonly<Record<string, string>>;
    /** Whether the request may change state at the peer. */
    readonly isWrite: boolean;
    readonly timeoutMs: number;
    readonly maxBodyBytes: number;
    readonly signal?: AbortSignal | undefined;
}

export interface JsonResponse {
    readonly status: number;
    readonly text: string;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

export type JsonRequestError = UnavailableError | OutcomeUnknownError | ProtocolError;

function toRequestError(call: JsonRequest, peer: string, isSent: boolean, cause: unknown): JsonRequestError {
    const context = { step: call.step, peer, cause };
    const reason = cause instanceof Error ? cause.message : String(cause);
    if (cause instanceof ProtocolError && !call.isWrite) return cause;
    if (call.isWrite && isSent) {
        return new OutcomeUnknownError(`no complete answer to ${call.path}: ${reason}`, context);
    }
    return new UnavailableError(`${call.path} failed: ${reason}`, context);
}

/** Sends one JSON request; any status is a successful result, and a missing or incomplete response is an error. */
export async function sendJsonRequest(
    dispatcher: Dispatcher,
    peer: string,
    request: JsonRequest,
): Promise<Result<JsonResponse, JsonRequestError>> {
    const tracker: SendTracker = { hasStarted: false };
    const timeout = AbortSignal.timeout(request.timeoutMs);
    const options = {
        method: request.method,
        path: request.path,
        signal: request.signal === undefined ? timeout : AbortSignal.any([timeout, request.signal]),
        headersTimeout: 0,
        bodyTimeout: 0,
        sendTracker: tracker,
        headers: { ...request.headers, ...(request.body === undefined ? {} : { "content-type": "application/json" }) },
        ...(request.body === undefined ? {} : { body: JSON.stringify(request.body) }),
    };
    try {
        const response = await dispatcher.request(options);
        const isCompressed = response.headers["content-encoding"] === "gzip";
        const body = isCompressed ? pipeline(response.body, createGunzip(), () => undefined) : response.body;
        const text = await readBoundedBody(body, request.maxBodyBytes, { step: request.step, peer });
        return ok({ status: response.statusCode, text, headers: response.headers });
    }
    catch (cause) {
        return err(toRequestError(request, peer, tracker.hasStarted, cause));
    }
}

/**
 * Whether the response is known to be whole. undici ends a response without a length or chunks normally when its
 * connection is reset, so that only its text can show it.
 */
export function isWholeResponse({ headers, text }: JsonResponse): boolean {
    if (headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined) return true;
    try {
        JSON.parse(text);
        return true;
    }
    catch {
        return false;
    }
}

/** Parses the JSON text of a response and validates it against the schema. */
export function parseJson<Schema extends z.ZodType>(
    schema: Schema,
    text: string,
    context: { readonly step: string; readonly peer: string; },
): Result<z.output<Schema>, ProtocolError> {
    let json: unknown;
    try {
        json = JSON.parse(text);
    }
    catch (cause) {
        return err(new ProtocolError("the answer is not JSON", { ...context, cause }));
    }
    const parsed = schema.safeParse(json);
    if (parsed.success) return ok(parsed.data);
    const issue = parsed.error.issues[0];
    const message = `the answer breaks the schema at ${issue?.path.join(".") ?? ""}: ${issue?.message ?? ""}`;
    return err(new ProtocolError(message, { ...context, cause: parsed.error }));
}
