import type { ConfiguredModel, ConfiguredService } from "@skylarkmill/config";
import { abortResponse, nowMs, rankByRendezvous } from "@skylarkmill/coordination";
import { type Refusal, type ServerId, type ServiceId } from "@skylarkmill/protocol";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { RouterContext } from "../types/context.ts";
import type { RequestSpec, RequestTarget } from "../types/request.ts";
import { pickRequestHeaders } from "../utils/forwarded-headers.ts";
import { readBody } from "../utils/read-body.ts";
import { refusals } from "../utils/refusals.ts";
import {
    type ModelRequest,
    parseModelRequest,
    readRequestOptions,
    type RequestOptions,
} from "../utils/request-input.ts";
import type { KeyedRequests } from "./keyed-requests.ts";
import { type RequestResult, RequestTask } from "./request-task.ts";
import { ResponseWriter } from "./response-writer.ts";
import type { RequestOutcome } from "./router-metrics.ts";

/** Time limit for receiving a body if the caller sets no timeout. */
const BODY_TIMEOUT_MS = 30_000;
/** Retry delay returned when the limit on requests in progress or on memory for bodies is reached. */
const OVERLOAD_RETRY_MS = 1000;
/** Assumed time per token until durations have been observed. */
const ASSUMED_TOKEN_MS = 10;
/** Assumed response time of a plain service until durations have been observed. */
const ASSUMED_PLAIN_MS = 50;
/** Assumed time to the first token until durations have been observed. */
const ASSUMED_FIRST_TOKEN_MS = 300;

/** Methods that HTTP defines as idempotent (RFC 9110, section 9.2.2). */
const IDEMPOTENT_METHODS = new Set(["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"]);

interface CallerRequest {
    readonly incoming: IncomingMessage;
    readonly writer: ResponseWriter;
    readonly startedAtMs: number;
}

/** Validates callers' requests and starts a task for each. */
export class RequestHandler {
    private readonly context: RouterContext;
    private readonly keyedRequests: KeyedRequests;
    private stopping = false;

    constructor(context: RouterContext, keyedRequests: KeyedRequests) {
        this.context = context;
        this.keyedRequests = keyedRequests;
    }

    get isStopping(): boolean {
        return this.stopping;
    }

    /** Makes all further responses close their connections. */
    stop(): void {
        this.stopping = true;
    }

    /** Handles a request to a model. */
    async handleModelRequest(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
        const callerRequest = this.openCallerRequest(incoming, outgoing);
        const options = this.readOptions(callerRequest);
        if (options === undefined) return;
        const body = await this.readBody(callerRequest, options);
        if (body === undefined) return;
        const request = parseModelRequest(body);
        if (request.isErr()) return this.refuse(callerRequest, request.error);
        const resolved = this.context.config.resolveModelName(request.value.model);
        const service = resolved && this.context.config.service(resolved.model.serviceId);
        if (resolved === undefined || service === undefined) {
            return this.refuse(callerRequest, refusals.unknownModel(request.value.model));
        }
        const target = createModelTarget(service, resolved.model, resolved.adapterId);
        const path = incoming.url!;
        await this.dispatch(
            callerRequest,
            this.toRequestSpec(callerRequest, options, target, path, body, request.value),
        );
    }

    /** Handles a request to a plain service; `path` is the path below the service. */
    async handlePlainRequest(
        incoming: IncomingMessage,
        outgoing: ServerResponse,
        serviceId: string,
        path: string,
    ): Promise<void> {
        const callerRequest = this.openCallerRequest(incoming, outgoing);
        const options = this.readOptions(callerRequest);
        if (options === undefined) return;
        const service = this.context.config.service(serviceId as ServiceId);
        if (service?.config.kind !== "plain") return this.refuse(callerRequest, refusals.unknownService(serviceId));
        const body = await this.readBody(callerRequest, options);
        if (body === undefined) return;
        const target = {
            serviceId: service.serviceId,
            service: service.config,
            modelId: undefined,
            model: undefined,
            adapterId: undefined,
        };
        await this.dispatch(callerRequest, this.toRequestSpec(callerRequest, options, target, path, body, undefined));
    }

    /** Refuses a request that has no target. */
    refuseUnrouted(incoming: IncomingMessage, outgoing: ServerResponse, refusal: Refusal): void {
        this.refuse(this.openCallerRequest(incoming, outgoing), refusal);
    }

    /** Ends a request whose handling failed with an unexpected error. */
    failRequest(outgoing: ServerResponse, error: unknown): void {
        this.context.logger.error({ step: "request.handle", peer: "local", err: error }, "request handling failed");
        if (outgoing.headersSent) abortResponse(outgoing);
        else new ResponseWriter(outgoing, () => true).refuse(refusals.internalError());
    }

    /** Counts a request that was refused because it could not be parsed. */
    countUnparsedRequest(): void {
        const { metrics } = this.context;
        metrics.received.inc();
        metrics.refusals.inc({ execution: "not_run" });
        metrics.countOutcome("none", "refused", 0);
    }

    private openCallerRequest(incoming: IncomingMessage, outgoing: ServerResponse): CallerRequest {
        const { requestTracker, metrics } = this.context;
        requestTracker.addRequest();
        metrics.received.inc();
        outgoing.once("close", () => requestTracker.removeRequest());
        const shouldCloseConnection = () => this.stopping || !incoming.complete;
        return { incoming, writer: new ResponseWriter(outgoing, shouldCloseConnection), startedAtMs: nowMs() };
    }

    private readOptions(callerRequest: CallerRequest): RequestOptions | undefined {
        if (this.context.config.services().size === 0) {
            this.refuse(callerRequest, refusals.notReady());
            return undefined;
        }
        const options = readRequestOptions(callerRequest.incoming.headers);
        if (options.isErr()) {
            this.refuse(callerRequest, options.error);
            return undefined;
        }
        callerRequest.writer.setRequestId(options.value.requestId);
        return options.value;
    }

    private async readBody(callerRequest: CallerRequest, options: RequestOptions): Promise<Buffer | undefined> {
        const { bodyMemory, options: { limits: { maxBodyBytes } } } = this.context;
        const { incoming, writer } = callerRequest;
        if (!this.hasRoomFor(incoming)) {
            this.refuse(callerRequest, refusals.overloaded("queue_full", OVERLOAD_RETRY_MS));
            return undefined;
        }
        const share = bodyMemory.open();
        writer.onClose(() => share.release());
        const timeoutMs = options.timeoutMs ?? BODY_TIMEOUT_MS;
        const body = await readBody(incoming, { maxBytes: maxBodyBytes, timeoutMs, share });
        if (body.isOk()) return body.value;
        if (body.error === undefined) this.recordOutcome("none", callerRequest, "disconnected");
        else this.refuse(callerRequest, body.error);
        return undefined;
    }

    /** Whether the limits allow one more request with a body of the stated length; memory is held as the body arrives. */
    private hasRoomFor(incoming: IncomingMessage): boolean {
        const { requestTracker, bodyMemory, options: { limits } } = this.context;
        const statedByteCount = Number(incoming.headers["content-length"] ?? 0);
        return requestTracker.totalCount <= limits.maxRequests
            && bodyMemory.makeRoom(Math.min(statedByteCount, limits.maxBodyBytes));
    }

    private toRequestSpec(
        callerRequest: CallerRequest,
        options: RequestOptions,
        target: RequestTarget,
        path: string,
        body: Buffer,
        request: ModelRequest | undefined,
    ): RequestSpec {
        const { config, durationTracker } = this.context;
        const { incoming, startedAtMs } = callerRequest;
        const method = incoming.method!;
        const requestClass = config.requestClass(target.serviceId, options.className);
        const firstByteGroup = `${target.serviceId}/${target.modelId ?? method}/${requestClass.name}/${
            request?.stream ?? ""
        }`;
        // A response that is not streamed is complete at about the time of its first byte.
        const totalGroup = request?.stream === true ? `${firstByteGroup}/total` : firstByteGroup;
        const assumedMs = request === undefined
            ? ASSUMED_PLAIN_MS
            : request.stream
            ? ASSUMED_FIRST_TOKEN_MS
            : requestClass.expectedTokens * ASSUMED_TOKEN_MS;
        const isIdempotent = !config.isNonIdempotent(target.serviceId, method, path)
            && (request !== undefined || IDEMPOTENT_METHODS.has(method));
        return {
            requestId: options.requestId,
            target,
            requestClass,
            method,
            path,
            headers: pickRequestHeaders(incoming.rawHeaders, incoming.headers.connection),
            body: body.length > 0 ? body : undefined,
            isIdempotent,
            idempotencyKey: options.idempotencyKey,
            startedAtMs,
            deadlineAtMs: startedAtMs + (options.timeoutMs ?? requestClass.timeoutMs),
            firstByteGroup,
            totalGroup,
            expectedFirstByteMs: durationTracker.expectedMs(firstByteGroup, assumedMs),
            highFirstByteMs: durationTracker.highMs(firstByteGroup, assumedMs),
            recentTotalMs: durationTracker.recentMs(totalGroup, startedAtMs),
            promptPrefix: request?.promptPrefix ?? "",
            preferredServerId: isIdempotent ? undefined : this.preferredServer(target, options.idempotencyKey),
        };
    }

    /** Prefers the same agent for the same idempotency key, since agents store keys too. */
    private preferredServer(target: RequestTarget, idempotencyKey: string | undefined): ServerId | undefined {
        if (idempotencyKey === undefined) return undefined;
        const servers = this.context.directory.serversOf(target.serviceId);
        const available = servers.filter(server => this.context.directory.isAvailable(server, nowMs()));
        return rankByRendezvous<ServerId>(idempotencyKey, available.map(server => server.serverId))[0];
    }

    private async dispatch(callerRequest: CallerRequest, spec: RequestSpec): Promise<void> {
        const { requestTracker } = this.context;
        const { serviceId } = spec.target;
        requestTracker.addServiceRequest(serviceId);
        if (spec.target.modelId !== undefined) this.context.demand.record(spec.target.modelId, spec.startedAtMs);
        const onEnded = (result: RequestResult) => {
            requestTracker.removeServiceRequest(serviceId);
            if (result.kind === "refused") this.context.metrics.refusals.inc({ execution: result.execution });
            this.recordOutcome(
                serviceId,
                callerRequest,
                callerRequest.writer.isDisconnected ? "disconnected" : result.kind,
            );
        };
        if (spec.idempotencyKey !== undefined && !spec.isIdempotent) {
            return this.keyedRequests.run(spec, callerRequest.writer, onEnded);
        }
        new RequestTask(this.context, spec, callerRequest.writer, onEnded).start();
    }

    private refuse(callerRequest: CallerRequest, refusal: Refusal): void {
        callerRequest.writer.refuse(refusal);
        this.context.metrics.refusals.inc({ execution: refusal.execution });
        this.recordOutcome("none", callerRequest, "refused");
    }

    private recordOutcome(service: string, callerRequest: CallerRequest, outcome: RequestOutcome): void {
        this.context.metrics.countOutcome(service, outcome, nowMs() - callerRequest.startedAtMs);
    }
}

function createModelTarget(
    service: ConfiguredService,
    model: ConfiguredModel,
    adapterId: RequestTarget["adapterId"],
): RequestTarget {
    return {
        serviceId: service.serviceId,
        service: service.config,
        modelId: model.modelId,
        model: model.config,
        adapterId,
    };
}
