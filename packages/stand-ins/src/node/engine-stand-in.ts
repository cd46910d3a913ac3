import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { randomUUID } from "node:crypto";
import { z } from "zod";
import {
    consumeFault,
    createInactiveEngineFaults,
    type EngineFaults,
    engineFaultsSchema,
} from "../runtime/engine-faults.ts";
import { type EngineOrderResult, EngineRepository, type RepositoryModel } from "../runtime/engine-repository.ts";
import { EngineRequestRunner } from "../runtime/engine-request-runner.ts";
import { EngineStream } from "../runtime/engine-stream.ts";
import { Journal } from "../runtime/journal.ts";
import { createWeightStoreStandIn } from "../runtime/weight-store.ts";
import type { EngineRequest, EngineStandInOptions, ResolvedEngineOptions } from "../types/engine.ts";
import type { StandIn } from "../types/stand-in.ts";
import {
    chatSchema,
    completionSchema,
    countStreamEvents,
    toCompletionBody,
    toEngineRequest,
} from "../utils/completion-response.ts";
import {
    createStandInApp,
    dropConnection,
    holdConnectionOpen,
    readJsonBody,
    type StandInContext,
    startHttpServer,
} from "./http-server.ts";

export interface EngineStandIn extends StandIn {
    setFaults(faults: Partial<EngineFaults>): void;
}

const engineOrderSchema = z.object({
    parameters: z.object({
        version: z.string().optional(),
        memory_bytes: z.number().min(0).optional(),
        fencing_token: z.number().optional(),
        adapter: z.string().optional(),
    }).prefault({}),
});

// Time for which a reader can still resume a stream whose execution has finished.
const FINISHED_STREAM_RETENTION_MS = 10_000;

function resolveOptions(options: EngineStandInOptions): ResolvedEngineOptions {
    return {
        name: "engine",
        memorySizeBytes: 3_000_000_000,
        slotCount: 8,
        tokensPerSecond: 200,
        prefillMs: 10,
        loadMs: { memory: 100, disk: 400, remote: 1000 },
        unloadMs: 20,
        checksFencing: false,
        cachedModelIds: [],
        weightStore: createWeightStoreStandIn(),
        resumeGraceMs: 250,
        ...options,
    };
}

/** Handles the requests, orders and faults of one engine stand-in. */
class EngineServer {
    readonly journal: Journal;
    readonly faults = createInactiveEngineFaults();
    readonly repository: EngineRepository;
    readonly runner: EngineRequestRunner;
    private readonly options: ResolvedEngineOptions;
    private readonly streams = new Map<string, EngineStream>();

    constructor(options: ResolvedEngineOptions) {
        this.options = options;
        this.journal = new Journal(options.name);
        this.repository = new EngineRepository(options, this.journal, this.faults);
        this.runner = new EngineRequestRunner(options, this.repository, this.journal, this.faults);
    }

    setFaults(faults: Partial<EngineFaults>): void {
        Object.assign(this.faults, faults);
        this.journal.add("faults", { ...faults });
    }

    toMetadata(): object {
        return {
            name: this.options.name,
            version: "1",
            extensions: ["model_repository"],
            parameters: {
                memory_size_bytes: this.options.memorySizeBytes,
                slot_count: this.options.slotCount,
                used_bytes: this.repository.usedBytes(),
                running_count: this.runner.slots.runningCount,
                queued_count: this.runner.slots.waitingCount,
            },
        };
    }

    async handleEngineOrder(context: StandInContext, action: "load" | "unload", name: string): Promise<Response> {
        const request = await readJsonBody(context, engineOrderSchema);
        if ("response" in request) return request.response;
        const { parameters } = request.value;
        if (action === "unload") return toEngineOrderResponse(context, await this.repository.unload(name, parameters));
        const result = this.repository.load(name, parameters);
        if (parameters.adapter === undefined && consumeFault(this.faults, "unansweredLoads")) {
            return dropConnection(context);
        }
        if (parameters.adapter === undefined && consumeFault(this.faults, "hungLoads")) {
            return holdConnectionOpen(context);
        }
        return toEngineOrderResponse(context, await result);
    }

    async handleCompletion(
        context: StandInContext,
        schema: typeof chatSchema | typeof completionSchema,
    ): Promise<Response> {
        const requestId = context.req.header("x-request-id") ?? randomUUID();
        const lastEventId = context.req.header("last-event-id");
        if (lastEventId !== undefined) return this.resumeStream(context, requestId, Number(lastEventId));
        const body = await readJsonBody(context, schema);
        if ("response" in body) return body.response;
        const model = this.repository.findReadyModel(body.value.model);
        if (model === undefined) {
            const error = { message: `model ${body.value.model} is not loaded`, code: "model_not_loaded" };
            return context.json({ error }, 404);
        }
        const request = toEngineRequest(body.value, requestId, model.name);
        const fields = {
            requestId,
            modelId: model.name,
            model: request.requestedModelName,
            tokenCount: request.tokenCount,
            idempotencyKey: context.req.header("idempotency-key"),
        };
        if (request.isStreamed) return this.respondStreamed(context, request, model, fields);
        return this.respondWhole(context, request, model, fields);
    }

    private async respondWhole(
        context: StandInContext,
        request: EngineRequest,
        model: RepositoryModel,
        fields: Readonly<Record<string, unknown>>,
    ): Promise<Response> {
        const abortController = new AbortController();
        const { outgoing } = context.env;
        outgoing.once("close", () => abortController.abort());
        const isFinished = await this.runner.run(request, model, fields, abortController.signal, () => undefined);
        if (!isFinished) return RESPONSE_ALREADY_SENT;
        const isForeign = consumeFault(this.faults, "misaddressed") || consumeFault(this.faults, "crossed");
        const requestInResponse = isForeign
            ? { ...request, requestId: "of-another-request", lastMessage: "FOREIGN" }
            : request;
        const body = JSON.stringify(toCompletionBody(requestInResponse, Math.floor(Date.now() / 1000)));
        if (!consumeFault(this.faults, "truncated")) {
            return context.body(body, 200, { "content-type": "application/json" });
        }
        outgoing.writeHead(200, { "content-type": "application/json", "content-length": Buffer.byteLength(body) });
        outgoing.write(body.slice(0, body.length / 2), () => outgoing.destroy());
        return RESPONSE_ALREADY_SENT;
    }

    private respondStreamed(
        context: StandInContext,
        request: EngineRequest,
        model: RepositoryModel,
        fields: Readonly<Record<string, unknown>>,
    ): Response {
        const abortController = new AbortController();
        const stream = new EngineStream(request, this.faults);
        this.streams.set(request.requestId, stream);
        this.detachOnClose(context, stream, abortController);
        void this.runner
            .run(request, model, fields, abortController.signal, count => {
                if (count > 0 && !stream.hasBeenAttached) stream.attach(context.env.outgoing, 0);
                stream.addEvents(count);
            })
            .then(finished => this.finishStream(stream, finished));
        return RESPONSE_ALREADY_SENT;
    }

    private finishStream(stream: EngineStream, isFinished: boolean): void {
        if (isFinished) stream.addEvents(countStreamEvents(stream.request));
        else stream.close();
        const removeStream = (): void => {
            if (this.streams.get(stream.request.requestId) === stream) this.streams.delete(stream.request.requestId);
        };
        setTimeout(removeStream, isFinished ? FINISHED_STREAM_RETENTION_MS : 0).unref();
    }

    /** Detaches the reader when its connection closes, and aborts the execution unless the stream is resumed in time. */
    private detachOnClose(context: StandInContext, stream: EngineStream, abortController: AbortController): void {
        const { outgoing } = context.env;
        stream.abortController = abortController;
        outgoing.once("close", () => {
            if (!stream.hasBeenAttached) abortController.abort();
            stream.detach(outgoing, this.options.resumeGraceMs, () => abortController.abort());
        });
    }

    private resumeStream(context: StandInContext, requestId: string, lastSequence: number): Response {
        const stream = this.streams.get(requestId);
        if (stream === undefined || !Number.isInteger(lastSequence)) {
            return context.json({ error: { message: `no stream ${requestId}`, code: "stream_not_found" } }, 404);
        }
        this.journal.add("stream_resumed", { requestId, lastSequence });
        if (stream.abortController !== undefined) this.detachOnClose(context, stream, stream.abortController);
        stream.attach(context.env.outgoing, lastSequence + 1);
        return RESPONSE_ALREADY_SENT;
    }
}

function toEngineOrderResponse(context: StandInContext, result: EngineOrderResult): Response {
    return result.error === undefined ? context.json({}) : context.json({ error: result.error }, result.status);
}

/**
 * Starts a stand-in for a model engine. It serves OpenAI-style completions, whole or as server-sent events, and accepts
 * orders of the KServe model-repository extension. Tests inject faults with `PUT /control/faults`.
 *
 * `X-Request-Id` identifies a request. A broken stream is resumed by a request with the same id and `Last-Event-ID`.
 *
 * @example
 * const engine = await createEngineStandIn({ listen: { host: "127.0.0.1", port: 0 }, name: "engine-1" });
 */
export async function createEngineStandIn(options: EngineStandInOptions): Promise<EngineStandIn> {
    const resolved = resolveOptions(options);
    const server = new EngineServer(resolved);
    const app = createStandInApp(server.journal);
    app.get("/v2", context => context.json(server.toMetadata()));
    app.get("/v2/health/ready", context => context.json({}));
    app.post("/v2/repository/index", context => context.json(server.repository.index()));
    app.post("/v2/repository/models/:model/load", c => server.handleEngineOrder(c, "load", c.req.param("model")));
    app.post("/v2/repository/models/:model/unload", c => server.handleEngineOrder(c, "unload", c.req.param("model")));
    app.post("/v1/chat/completions", context => server.handleCompletion(context, chatSchema));
    app.post("/v1/completions", context => server.handleCompletion(context, completionSchema));
    app.put("/control/faults", async context => {
        const faults = await readJsonBody(context, engineFaultsSchema);
        if ("response" in faults) return faults.response;
        server.setFaults(faults.value);
        return context.json(server.faults);
    });
    const standIn = await startHttpServer(app, resolved.listen, server.journal);
    return { ...standIn, setFaults: faults => server.setFaults(faults) };
}
