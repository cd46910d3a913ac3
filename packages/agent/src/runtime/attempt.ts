import type { BackendClient, BackendRequest, BackendResponse } from "@skylarkmill/adapters";
import { HEADERS, parseRetryAfterMs, type Refusal, toRefusalBody, toRefusalHeaders } from "@skylarkmill/protocol";
import type { AttemptOutcome, RequestHead } from "../types/request.ts";
import type { AgentResponse, ResponseCheckCounters } from "../types/response.ts";
import { discardBody } from "../utils/discard-body.ts";
import { toRouterHeaders } from "../utils/forwarded-headers.ts";
import { REFUSALS } from "../utils/refusals.ts";
import { relayCheckedStream } from "./checked-stream.ts";
import { checkResponseBody, readResponseBody } from "./response-body.ts";
import type { StreamNumbering } from "./stream-checker.ts";

/** Statuses of responses that never have a body (RFC 9110, 6.4.1). */
const BODYLESS_STATUSES = new Set([204, 205, 304]);

/** Retry delay sent to the router when the engine responds with status 429 and states no time. */
const ENGINE_OVERLOAD_RETRY_MS = 500;

export interface AttemptOptions {
    readonly backend: BackendClient;
    readonly head: RequestHead;
    readonly method: string;
    readonly path: string;
    /** Headers for the backend server, without hop-by-hop headers. */
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array | undefined;
    /** Present for model services, whose responses are checked. */
    readonly numbering: StreamNumbering | undefined;
    readonly maxResponseBytes: number;
    readonly maxResumeCount: number;
    readonly counters: ResponseCheckCounters;
    /** Aborted when the router closes the connection. */
    readonly signal: AbortSignal;
    /** Called when the engine responds that the model is not loaded, in which case the request did not run. */
    readonly onModelMissing: () => void;
    /** Called exactly once, when the attempt no longer uses the backend server. */
    readonly onFinished: (outcome: AttemptOutcome) => void;
}

/** Sends one dispatched request to the backend server, then checks and relays the response. */
export class Attempt {
    private readonly abortController = new AbortController();
    private readonly startedAtMs = Date.now();
    private readonly deadlineTimer: NodeJS.Timeout;
    private firstByteMs: number | undefined;
    private isFinished = false;
    private hasDeadlinePassed = false;

    constructor(private readonly options: AttemptOptions) {
        options.signal.addEventListener("abort", this.onRouterDisconnected);
        if (options.signal.aborted) this.abortController.abort();
        this.deadlineTimer = setTimeout(this.onDeadline, Math.max(0, options.head.deadlineAtMs - this.startedAtMs));
    }

    /** Resolves with the response once its head is available. The attempt ends with the end of a streamed body. */
    async run(): Promise<AgentResponse> {
        const request = this.createRequest();
        const sent = await this.options.backend.send(request);
        if (sent.isErr()) {
            if (sent.error.code === "unavailable") {
                this.finish("not_run");
                return createRefusalResponse(REFUSALS.backendUnavailable());
            }
            return this.fail(REFUSALS.backendFailed("The backend server's connection broke."));
        }
        this.firstByteMs = Date.now() - this.startedAtMs;
        const { numbering } = this.options;
        if (numbering === undefined) return this.respondUnchecked(sent.value);
        return this.respondChecked(sent.value, request, numbering);
    }

    /** Ends the attempt after an unexpected error in this process. */
    abandon(): AgentResponse {
        this.abortController.abort();
        return this.fail(REFUSALS.backendFailed("The agent could not relay the answer."));
    }

    private readonly onRouterDisconnected = (): void => {
        this.abortController.abort();
        // Before the response head arrives, the aborted send ends the attempt.
        if (this.firstByteMs !== undefined) this.finish("cancelled");
    };

    private readonly onDeadline = (): void => {
        this.hasDeadlinePassed = true;
        this.abortController.abort();
        // If the router has stopped reading, the body is never read to its end, so the attempt is ended here.
        if (this.firstByteMs !== undefined) this.finish("unknown");
    };

    private createRequest(): BackendRequest {
        const { method, path, headers, body } = this.options;
        return {
            method,
            path,
            headers: { ...headers, ...this.createAgentHeaders() },
            body,
            signal: this.abortController.signal,
        };
    }

    private createAgentHeaders(): Record<string, string> {
        const { head, numbering } = this.options;
        if (numbering === undefined) return { [HEADERS.requestId]: head.requestId };
        // A compressed response could not be checked.
        return { [HEADERS.requestId]: head.attemptId, "accept-encoding": "identity" };
    }

    private async respondUnchecked(response: BackendResponse): Promise<AgentResponse> {
        const headers = toRouterHeaders(response.headers);
        const length = response.headers["content-length"];
        if (typeof length === "string") headers.set("content-length", length);
        if (this.options.method === "HEAD" || BODYLESS_STATUSES.has(response.statusCode)) {
            response.body.on("error", () => undefined).resume();
            this.finish("answered");
            return { status: response.statusCode, headers, body: undefined };
        }
        return { status: response.statusCode, headers, body: this.relay(response.body) };
    }

    private async *relay(body: AsyncIterable<Uint8Array>): AsyncGenerator<Uint8Array> {
        try {
            yield* body;
            this.finish("answered");
        }
        finally {
            this.finishBody();
        }
    }

    private async respondChecked(
        response: BackendResponse,
        request: BackendRequest,
        numbering: StreamNumbering,
    ): Promise<AgentResponse> {
        if (response.statusCode === 404) {
            discardBody(response.body);
            this.options.onModelMissing();
            this.finish("not_run");
            return createRefusalResponse(REFUSALS.modelNotLoaded());
        }
        if (response.statusCode === 429) {
            discardBody(response.body);
            const { "retry-after": retryAfter } = response.headers;
            const holdMs = typeof retryAfter === "string" ? parseRetryAfterMs(retryAfter) : undefined;
            // An engine that fails may send this status after it has run the request.
            if (this.options.head.isNonIdempotent) return this.fail(REFUSALS.refusalUnconfirmed(), holdMs);
            this.finish("not_run", holdMs);
            return createRefusalResponse(REFUSALS.overloaded("engine_overloaded", holdMs ?? ENGINE_OVERLOAD_RETRY_MS));
        }
        if (response.statusCode >= 500) {
            discardBody(response.body);
            return this.fail(REFUSALS.backendFailed(`The engine answered with status ${response.statusCode}.`));
        }
        const contentType = String(response.headers["content-type"] ?? "");
        const headers = toRouterHeaders(response.headers);
        if (contentType.startsWith("text/event-stream")) {
            return { status: response.statusCode, headers, body: this.relayChecked(response.body, request, numbering) };
        }
        return this.respondBuffered(response, headers);
    }

    private async *relayChecked(
        body: AsyncIterable<Uint8Array>,
        request: BackendRequest,
        numbering: StreamNumbering,
    ): AsyncGenerator<Uint8Array> {
        const { backend, head, maxResumeCount, counters } = this.options;
        try {
            yield* relayCheckedStream(body, {
                backend,
                request,
                attemptId: head.attemptId,
                numbering,
                canResume: !head.isNonIdempotent,
                maxResumeCount,
                counters,
                onEnd: complete => this.finish(complete ? "answered" : "unknown"),
            });
        }
        finally {
            this.finishBody();
        }
    }

    private async respondBuffered(
        response: BackendResponse,
        headers: Headers,
    ): Promise<AgentResponse> {
        const { maxResponseBytes, head, counters } = this.options;
        const readResult = await readResponseBody(response.body, response.headers["content-length"], maxResponseBytes);
        const isError = response.statusCode >= 400;
        const checkedBody = readResult.andThen(
            body => (isError ? readResult : checkResponseBody(body, head.attemptId)),
        );
        if (checkedBody.isErr()) {
            discardBody(response.body);
            counters.countFailedCheck("bad_answer");
            return this.fail(REFUSALS.badResponse(checkedBody.error));
        }
        this.finish("answered");
        headers.set("content-length", String(checkedBody.value.length));
        return { status: response.statusCode, headers, body: checkedBody.value };
    }

    /** Ends an attempt whose request may have run. */
    private fail(refusal: Refusal, holdMs?: number): AgentResponse {
        this.finish(this.options.signal.aborted ? "cancelled" : "unknown", holdMs);
        return createRefusalResponse(
            this.hasDeadlinePassed ? REFUSALS.deadlineExceeded("unknown", "while the request ran") : refusal,
        );
    }

    /** Ends the attempt after the body and aborts the backend server's request if it is not complete. */
    private finishBody(): void {
        this.finish(this.options.signal.aborted ? "cancelled" : "unknown");
        this.abortController.abort();
    }

    private finish(result: AttemptOutcome["result"], holdMs?: number): void {
        if (this.isFinished) return;
        this.isFinished = true;
        clearTimeout(this.deadlineTimer);
        this.options.signal.removeEventListener("abort", this.onRouterDisconnected);
        const durationMs = Date.now() - this.startedAtMs;
        this.options.onFinished({ firstByteMs: this.firstByteMs, durationMs, result, holdMs });
    }
}

/** Creates the response for a refusal. */
export function createRefusalResponse(refusal: Refusal): AgentResponse {
    return {
        status: refusal.status,
        headers: new Headers({ ...toRefusalHeaders(refusal), [HEADERS.execution]: refusal.execution }),
        body: JSON.stringify(toRefusalBody(refusal)),
    };
}
