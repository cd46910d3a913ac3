import { HEADERS, type Refusal, type RequestId, toId } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import type { IncomingHttpHeaders } from "node:http";
import { refusals } from "./refusals.ts";

const MAX_TIMEOUT_MS = 600_000;
const REQUEST_ID_PATTERN = /^[A-Za-z0-9._:-]{1,128}$/;
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;
const TIMEOUT_PATTERN = /^[1-9][0-9]{0,5}$/;
/** Length of the start of a prompt that is used for prefix affinity. */
const MAX_PROMPT_PREFIX_LENGTH = 4096;

/** Request options that a caller sets in headers. */
export interface RequestOptions {
    readonly requestId: RequestId;
    /** `undefined`: the timeout of the request class applies. */
    readonly timeoutMs: number | undefined;
    readonly idempotencyKey: string | undefined;
    readonly className: string | undefined;
}

/** The fields of a model request that the router reads. */
export interface ModelRequest {
    readonly model: string;
    readonly stream: boolean;
    readonly promptPrefix: string;
}

/** Joins a repeated header's values, so that the combined value is validated as one. */
function joinHeaderValues(value: string | string[] | undefined): string | undefined {
    return Array.isArray(value) ? value.join(", ") : value;
}

/**
 * Validates and reads the headers that set request options.
 *
 * @example
 * readRequestOptions({ "x-request-timeout-ms": "0" }); // err: bad_timeout
 */
export function readRequestOptions(headers: IncomingHttpHeaders): Result<RequestOptions, Refusal> {
    const givenId = joinHeaderValues(headers[HEADERS.requestId]);
    if (givenId !== undefined && !REQUEST_ID_PATTERN.test(givenId)) return err(refusals.badRequestId());
    const idempotencyKey = joinHeaderValues(headers[HEADERS.idempotencyKey]);
    if (idempotencyKey !== undefined && !IDEMPOTENCY_KEY_PATTERN.test(idempotencyKey)) {
        return err(refusals.badIdempotencyKey());
    }
    const timeout = joinHeaderValues(headers[HEADERS.requestTimeoutMs]);
    if (timeout !== undefined && (!TIMEOUT_PATTERN.test(timeout) || Number(timeout) > MAX_TIMEOUT_MS)) {
        return err(refusals.badTimeout(timeout));
    }
    return ok({
        requestId: toId<RequestId>(givenId ?? randomUUID()),
        timeoutMs: timeout === undefined ? undefined : Number(timeout),
        idempotencyKey,
        className: joinHeaderValues(headers[HEADERS.requestClass]),
    });
}

/**
 * Reads the model, the streaming flag and the start of the prompt from a request body.
 *
 * @example
 * parseModelRequest(Buffer.from("{\"model\":\"m\"}")); // ok: { model: "m", stream: false, promptPrefix: "" }
 */
export function parseModelRequest(body: Buffer): Result<ModelRequest, Refusal> {
    let parsed: Record<string, unknown>;
    try {
        const value = JSON.parse(body.toString("utf8")) as unknown;
        if (typeof value !== "object" || !value || Array.isArray(value)) return err(refusals.notJson());
        parsed = value as Record<string, unknown>;
    }
    catch {
        return err(refusals.notJson());
    }
    const { model, stream } = parsed;
    if (typeof model !== "string" || model === "") return err(refusals.missingModel());
    return ok({ model, stream: stream === true, promptPrefix: readPromptPrefix(parsed) });
}

function readPromptPrefix(body: Record<string, unknown>): string {
    if (typeof body["prompt"] === "string") return body["prompt"].slice(0, MAX_PROMPT_PREFIX_LENGTH);
    if (!Array.isArray(body["messages"])) return "";
    let prompt = "";
    for (const message of body["messages"] as unknown[]) {
        const content = (message as { content?: unknown; } | undefined)?.content;
        if (typeof content === "string") prompt += `${content}\n`;
        if (prompt.length >= MAX_PROMPT_PREFIX_LENGTH) break;
    }
    return prompt.slice(0, MAX_PROMPT_PREFIX_LENGTH);
}
