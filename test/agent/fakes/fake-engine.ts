import type {
    AdapterOrder,
    BackendClient,
    BackendRequest,
    EngineControl,
    EngineError,
    EngineIndex,
    EngineModel,
    LoadOrder,
    UnloadOrder,
} from "@skylarkmill/adapters";
import { type ModelId, OutcomeUnknownError, UnavailableError } from "@skylarkmill/protocol";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { Readable } from "node:stream";
import type { Dispatcher } from "undici";

export interface JournalEntry {
    readonly order: string;
    readonly usedBytes: number;
}

type BackendResult = Result<Dispatcher.ResponseData, UnavailableError | OutcomeUnknownError>;
export type Responder = (request: BackendRequest, attemptId: string) => BackendResult | Promise<BackendResult>;

/** Fake engine that implements the agent's engine interfaces and records the executed orders. */
export class FakeEngine implements EngineControl, BackendClient {
    readonly journal: JournalEntry[] = [];
    readonly models = new Map<ModelId, EngineModel>();
    readonly requests: BackendRequest[] = [];
    memorySizeBytes = 100;
    slotCount = 2;
    isDown = false;
    responder: Responder = respondComplete;
    /** Called before an order takes effect. If it returns an error, the order fails with this error. */
    beforeOrder: (order: string, token: number) => Promise<EngineError | undefined> = async () => undefined;

    get usedBytes(): number {
        return [...this.models.values()].reduce((sum, model) => sum + model.memoryBytes, 0);
    }

    readIndex(): ResultAsync<EngineIndex, EngineError> {
        return this.respond(() => ({
            memorySizeBytes: this.memorySizeBytes,
            slotCount: this.slotCount,
            models: [...this.models.values()],
        }));
    }

    load(order: LoadOrder): ResultAsync<void, EngineError> {
        const { modelId, version, memoryBytes } = order;
        const facts = { modelId, version, memoryBytes, locality: "memory", adapterIds: [] } as const;
        return this.executeOrder(`load ${modelId} ${version} ${order.fencingToken}`, order.fencingToken, () => {
            this.models.set(modelId, { ...facts, state: "ready" });
        });
    }

    unload(order: UnloadOrder): ResultAsync<void, EngineError> {
        return this.executeOrder(
            `unload ${order.modelId}`,
            order.fencingToken,
            () => void this.models.delete(order.modelId),
        );
    }

    loadAdapter({ modelId, adapterId, fencingToken }: AdapterOrder): ResultAsync<void, EngineError> {
        return this.executeOrder(`adapter ${modelId} ${adapterId}`, fencingToken, () => {
            const model = this.models.get(modelId);
            if (model !== undefined) {
                this.models.set(modelId, { ...model, adapterIds: [...model.adapterIds, adapterId] });
            }
        });
    }

    send(request: BackendRequest): ResultAsync<Dispatcher.ResponseData, UnavailableError | OutcomeUnknownError> {
        this.requests.push(request);
        return new ResultAsync(
            Promise.resolve().then(() => this.responder(request, request.headers["x-request-id"] ?? "")),
        );
    }

    executedOrders(kind: string): string[] {
        return this.journal.map(entry => entry.order).filter(order => order.startsWith(kind));
    }

    private executeOrder(order: string, token: number, effect: () => void): ResultAsync<void, EngineError> {
        const run = async (): Promise<Result<void, EngineError>> => {
            const error = await this.beforeOrder(order, token);
            if (error !== undefined) return err(error);
            effect();
            this.journal.push({ order, usedBytes: this.usedBytes });
            return ok(undefined);
        };
        return new ResultAsync(run());
    }

    private respond<T>(read: () => T): ResultAsync<T, EngineError> {
        return new ResultAsync(Promise.resolve().then(() => (this.isDown ? err(unavailableError()) : ok(read()))));
    }
}

export function unavailableError(): UnavailableError {
    return new UnavailableError("the engine is down", { step: "fake", peer: "engine" });
}

export function lostConnectionError(): OutcomeUnknownError {
    return new OutcomeUnknownError("the connection broke", { step: "fake", peer: "engine" });
}

/** Creates a response with the given body parts. A part that is an error makes the body fail. */
export function createResponse(
    status: number,
    headers: Record<string, string>,
    parts: AsyncIterable<Buffer> | readonly (string | Error)[],
): BackendResult {
    const chunks = Symbol.asyncIterator in parts ? parts : toChunks(parts);
    const body = Readable.from(chunks, { objectMode: false });
    return ok({ statusCode: status, headers, body } as unknown as Dispatcher.ResponseData);
}

async function* toChunks(parts: readonly (string | Error)[]): AsyncGenerator<Buffer> {
    for (const part of parts) {
        if (part instanceof Error) throw part;
        yield Buffer.from(part);
    }
}

export const respondComplete: Responder = (_request, attemptId) =>
    createResponse(200, { "content-type": "application/json" }, [JSON.stringify({ id: `chatcmpl-${attemptId}` })]);

/** Creates one chunk of a streamed response. The last one has a finish reason. */
export function streamChunk(attemptId: string, sequence: number, isLast = false): string {
    const choices = [{ delta: { content: `t${sequence}` }, ...(isLast ? { finish_reason: "stop" } : {}) }];
    return `id: ${sequence}\ndata: ${JSON.stringify({ id: `chatcmpl-${attemptId}`, choices })}\n\n`;
}

export function doneEvent(sequence: number): string {
    return `id: ${sequence}\ndata: [DONE]\n\n`;
}
