import type { ModelInForce, ServiceInForce } from "@skylarkmill/config";
import { rankByRendezvous } from "@skylarkmill/coordination";
import { type Refusal, type ServerId, type ServiceId } from "@skylarkmill/protocol";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { RouterContext } from "../types/context.ts";
import type { RequestSpec, Target } from "../types/request.ts";
import { nowMs } from "../utils/clock.ts";
import { pickRequestHeaders } from "../utils/forwarded-headers.ts";
import { readBody } from "../utils/read-body.ts";
import { refusals } from "../utils/refusals.ts";
import {
    type ModelRequest,
    parseModelRequest,
    readRequestOptions,
    type RequestOptions,
} from "../utils/request-input.ts";
import { AnswerWriter } from "./answer-writer.ts";
import type { KeyedRequests } from "./keyed-requests.ts";
import { type RequestEnd, RequestTask } from "./request-task.ts";
import type { Outcome } from "./router-metrics.ts";

/** Time limit for receiving a body if the caller sets no timeout. */
const BODY_TIMEOUT_MS = 30_000;
/** Retry delay returned for a request that is refused before its service is known. */
const BUSY_RETRY_MS = 1000;
/** Assumed time per token until durations have been observed. */
const ASSUMED_TOKEN_MS = 10;
/** Assumed response time of a plain service until durations have been observed. */
const ASSUMED_PLAIN_MS = 50;
/** Assumed time to the first token until durations have been observed. */
const ASSUMED_FIRST_TOKEN_MS = 300;

/** Methods that HTTP defines as idempotent (RFC 9110, section 9.2.2). */
const IDEMPOTENT_METHODS = new Set(["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"]);

interface Exchange {
    readonly incoming: IncomingMessage;
    readonly writer: AnswerWriter;
    readonly startedAtMs: number;
}

/** Validates callers' requests and starts a task for each. */
export class RequestHandler {
    private readonly context: RouterContext;
    private readonly keyed: KeyedRequests;
    private stopping = false;

    constructor(context: RouterContext, keyed: KeyedRequests) {
        this.context = context;
        this.keyed = keyed;
    }

    get isStopping(): boolean {
        return this.stopping;
    }

    /** Makes all further responses close their connections. */
    stop(): void {
        this.stopping = true;
    }

    /** Handles a request to a model. */
    async handleModel(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
        const exchange = this.open(incoming, outgoing);
        const options = this.readOptions(exchange);
        if (options === undefined) return;
        const body = await this.readBody(exchange, options);
        if (body === undefined) return;
        const request = parseModelRequest(body);
        if (request.isErr()) return this.refuse(exchange, request.error);
        const found = this.context.config.resolveModelName(request.value.model);
        const service = found && this.context.config.service(found.model.serviceId);
        if (found === undefined || service === undefined) {
            return this.refuse(exchange, refusals.unknownModel(request.value.model));
        }
        const target = toModelTarget(service, found.model, found.adapterId);
        const path = incoming.url!;
        await this.dispatch(exchange, this.toSpec(exchange, options, target, path, body, request.value));
    }

    /** Handles a request to a plain service; `path` is the path below the service. */
    async handlePlain(
        incoming: IncomingMessage,
        outgoing: ServerResponse,
        serviceId: string,
        path: string,
    ): Promise<void> {
        const exchange = this.open(incoming, outgoing);
        const options = this.readOptions(exchange);
        if (options === undefined) return;
        const service = this.context.config.service(serviceId as ServiceId);
        if (service?.config.kind !== "plain") return this.refuse(exchange, refusals.unknownService(serviceId));
        const body = await this.readBody(exchange, options);
        if (body === undefined) return;
        const target = {
            serviceId: service.serviceId,
            service: service.config,
            modelId: undefined,
            model: undefined,
            adapterId: undefined,
        };
        await this.dispatch(exchange, this.toSpec(exchange, options, target, path, body, undefined));
    }

    /** Refuses a request that has no target. */
    refuseUnknown(incoming: IncomingMessage, outgoing: ServerResponse, refusal: Refusal): void {
        this.refuse(this.open(incoming, outgoing), refusal);
    }

    /** Ends a request whose handling failed with an unexpected error. */
    fail(outgoing: ServerResponse, error: unknown): void {
        this.context.logger.error({ step: "request.handle", peer: "local", err: error }, "request handling failed");
        if (outgoing.headersSent) outgoing.destroy();
        else new AnswerWriter(outgoing, () => true).refuse(refusals.internal());
    }

    /** Counts a request that was refused because it could not be parsed. */
    countUnparsed(): void {
        const { metrics } = this.context;
        metrics.received.inc();
        metrics.refusals.inc({ execution: "not_run" });
        metrics.countOutcome("none", "refused", 0);
    }

    private open(incoming: IncomingMessage, outgoing: ServerResponse): Exchange {
        const { counts, metrics } = this.context;
        counts.open();
        metrics.received.inc();
        outgoing.once("close", () => counts.close());
        const mustClose = () => this.stopping || !incoming.complete;
        return { incoming, writer: new AnswerWriter(outgoing, mustClose), startedAtMs: nowMs() };
    }

    private readOptions(exchange: Exchange): RequestOptions | undefined {
        if (this.context.config.services().size === 0) {
            this.refuse(exchange, refusals.notReady());
            return undefined;
        }
        const options = readRequestOptions(exchange.incoming.headers);
        if (options.isErr()) {
            this.refuse(exchange, options.error);
            return undefined;
        }
        exchange.writer.setRequestId(options.value.requestId);
        return options.value;
    }

    private async readBody(exchange: Exchange, options: RequestOptions): Promise<Buffer | undefined> {
        const { maxBodyBytes } = this.context.options.limits;
        if (!this.reserveBody(exchange)) {
            this.refuse(exchange, refusals.overloaded("queue_full", BUSY_RETRY_MS));
            return undefined;
        }
        const body = await readBody(exchange.incoming, maxBodyBytes, options.timeoutMs ?? BODY_TIMEOUT_MS);
        if (body.isOk()) return body.value;
        if (body.error === undefined) this.countEnd("none", exchange, "disconnected");
        else this.refuse(exchange, body.error);
        return undefined;
    }

    /** Reserves memory for the body, if the limits allow it. A body of unknown length reserves the maximum length. */
    private reserveBody({ incoming, writer }: Exchange): boolean {
        const { counts, options: { limits } } = this.context;
        const isChunked = incoming.headers["transfer-encoding"] !== undefined;
        const length = isChunked ? limits.maxBodyBytes : Number(incoming.headers["content-length"] ?? 0);
        const sizeBytes = Math.min(length, limits.maxBodyBytes);
        if (counts.total > limits.maxRequests || counts.heldBodyBytes + sizeBytes > limits.maxHeldBodyBytes) {
            return false;
        }
        counts.holdBody(sizeBytes);
        writer.onClose(() => counts.releaseBody(sizeBytes));
        return true;
    }

    private toSpec(
        exchange: Exchange,
        options: RequestOptions,
        target: Target,
        path: string,
        body: Buffer,
        request: ModelRequest | undefined,
    ): RequestSpec {
        const { config, durations } = this.context;
        const { incoming, startedAtMs } = exchange;
        const method = incoming.method!;
        const requestClass = config.requestClass(target.serviceId, options.className);
        const group = `${target.serviceId}/${target.modelId ?? method}/${requestClass.name}/${request?.stream ?? ""}`;
        // A response that is not streamed is complete at about the time of its first byte.
        const totalGroup = request?.stream === true ? `${group}/total` : group;
        const assumedMs = request === undefined
            ? ASSUMED_PLAIN_MS
            : request.stream
            ? ASSUMED_FIRST_TOKEN_MS
            : requestClass.expectedTokens * ASSUMED_TOKEN_MS;
        const idempotent = !config.isNonIdempotent(target.serviceId, method, path)
            && (request !== undefined || IDEMPOTENT_METHODS.has(method));
        return {
            requestId: options.requestId,
            target,
            requestClass,
            method,
            path,
            headers: pickRequestHeaders(incoming.rawHeaders, incoming.headers.connection),
            body: body.length > 0 ? body : undefined,
            idempotent,
            idempotencyKey: options.idempotencyKey,
            startedAtMs,
            deadlineAtMs: startedAtMs + (options.timeoutMs ?? requestClass.timeoutMs),
            group,
            totalGroup,
            expectedMs: durations.expectedMs(group, assumedMs),
            highMs: durations.highMs(group, assumedMs),
            learnedMs: durations.learnedMs(totalGroup, startedAtMs),
            prompt: request?.prompt ?? "",
            preferredServerId: idempotent ? undefined : this.preferredServer(target, options.idempotencyKey),
        };
    }

    /** Prefers the same agent for the same idempotency key, since agents store keys too. */
    private preferredServer(target: Target, idempotencyKey: string | undefined): ServerId | undefined {
        if (idempotencyKey === undefined) return undefined;
        const servers = this.context.directory.serversOf(target.serviceId);
        const live = servers.filter(server => this.context.directory.isAvailable(server, nowMs()));
        return rankByRendezvous<ServerId>(idempotencyKey, live.map(server => server.serverId))[0];
    }

    private async dispatch(exchange: Exchange, spec: RequestSpec): Promise<void> {
        const { counts } = this.context;
        const { serviceId } = spec.target;
        counts.enter(serviceId);
        if (spec.target.modelId !== undefined) this.context.demand.record(spec.target.modelId, spec.startedAtMs);
        const onEnded = (end: RequestEnd) => {
            counts.leave(serviceId);
            if (end.kind === "refused") this.context.metrics.refusals.inc({ execution: end.execution });
            this.countEnd(serviceId, exchange, exchange.writer.isLost ? "disconnected" : end.kind);
        };
        if (spec.idempotencyKey !== undefined && !spec.idempotent) {
            return this.keyed.run(spec, exchange.writer, onEnded);
        }
        new RequestTask(this.context, spec, exchange.writer, onEnded).start();
    }

    private refuse(exchange: Exchange, refusal: Refusal): void {
        exchange.writer.refuse(refusal);
        this.context.metrics.refusals.inc({ execution: refusal.execution });
        this.countEnd("none", exchange, "refused");
    }

    private countEnd(service: string, exchange: Exchange, outcome: Outcome): void {
        this.context.metrics.countOutcome(service, outcome, nowMs() - exchange.startedAtMs);
    }
}

function toModelTarget(service: ServiceInForce, model: ModelInForce, adapterId: Target["adapterId"]): Target {
    return {
        serviceId: service.serviceId,
        service: service.config,
        modelId: model.modelId,
        model: model.config,
        adapterId,
    };
}
