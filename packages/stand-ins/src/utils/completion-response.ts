import { z } from "zod";
import type { EngineRequest } from "../types/engine.ts";

const MAX_TOKENS = 100_000;
const DEFAULT_MAX_TOKENS = 32;

const commonFields = {
    model: z.string().min(1),
    stream: z.boolean().default(false),
    max_tokens: z.number().int().min(1).max(MAX_TOKENS).optional(),
    max_completion_tokens: z.number().int().min(1).max(MAX_TOKENS).optional(),
    priority: z.number().default(0),
};

const contentSchema = z.union([
    z.string(),
    z.array(z.object({ text: z.string().default("") })).transform(parts => parts.map(part => part.text).join("")),
]);

export const chatSchema = z.looseObject({
    ...commonFields,
    messages: z.array(z.looseObject({ role: z.string(), content: contentSchema })).min(1),
});

export const completionSchema = z.looseObject({
    ...commonFields,
    prompt: z.union([z.string(), z.array(z.string()).min(1).transform(parts => parts.join("\n"))]),
});

/** Converts a validated body of either kind into an engine request. */
export function toEngineRequest(
    body: z.output<typeof chatSchema> | z.output<typeof completionSchema>,
    requestId: string,
    modelId: string,
): EngineRequest {
    const isChat = "messages" in body;
    const messages = isChat ? (body as z.output<typeof chatSchema>).messages.map(message => message.content) : [];
    const prompt = isChat ? messages.join("\n") : body.prompt;
    return {
        requestId,
        kind: isChat ? "chat" : "completion",
        modelId,
        requestedModelName: body.model,
        isStreamed: body.stream,
        tokenCount: body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_MAX_TOKENS,
        priority: body.priority,
        prompt,
        lastMessage: messages.at(-1) ?? prompt,
    };
}

export function toCompletionId(kind: EngineRequest["kind"], requestId: string): string {
    return `${kind === "chat" ? "chatcmpl" : "cmpl"}-${requestId}`;
}

/**
 * Returns the text of one token. The first contains the request's last message, by which tests detect responses to
 * other requests.
 */
export function formatTokenText(request: EngineRequest, index: number): string {
    return index === 0 ? `${request.requestedModelName} answers: ${request.lastMessage}` : ` t${index}`;
}

export function toFullText(request: EngineRequest): string {
    return Array.from({ length: request.tokenCount }, (_, index) => formatTokenText(request, index)).join("");
}

function toUsage(request: EngineRequest): object {
    const promptTokens = Math.ceil(request.prompt.length / 4);
    return {
        prompt_tokens: promptTokens,
        completion_tokens: request.tokenCount,
        total_tokens: promptTokens + request.tokenCount,
    };
}

/** Builds the body of a response that is not streamed. */
export function toCompletionBody(request: EngineRequest, createdS: number): object {
    const text = toFullText(request);
    const choice = request.kind === "chat"
        ? { index: 0, message: { role: "assistant", content: text }, finish_reason: "stop" }
        : { index: 0, text, finish_reason: "stop" };
    return {
        id: toCompletionId(request.kind, request.requestId),
        object: request.kind === "chat" ? "chat.completion" : "text_completion",
        created: createdS,
        model: request.requestedModelName,
        choices: [choice],
        usage: toUsage(request),
    };
}

function toStreamChoice(request: EngineRequest, index: number): object {
    const isLast = index === request.tokenCount;
    const finish = isLast ? { finish_reason: "stop" } : {};
    if (request.kind === "completion") {
        return { index: 0, text: isLast ? "" : formatTokenText(request, index), ...finish };
    }
    if (isLast) return { index: 0, delta: {}, ...finish };
    const role = index === 0 ? { role: "assistant" } : {};
    return { index: 0, delta: { ...role, content: formatTokenText(request, index) } };
}

/** Returns the number of events in a stream: one per token, one with the finish reason, and `[DONE]`. */
export function countStreamEvents(request: EngineRequest): number {
    return request.tokenCount + 2;
}

/** Formats one server-sent event; sequence numbers start at 0. */
export function formatStreamEvent(request: EngineRequest, sequence: number, createdS: number): string {
    if (sequence === countStreamEvents(request) - 1) return `id: ${sequence}\ndata: [DONE]\n\n`;
    const chunk = {
        id: toCompletionId(request.kind, request.requestId),
        object: request.kind === "chat" ? "chat.completion.chunk" : "text_completion",
        created: createdS,
        model: request.requestedModelName,
        choices: [toStreamChoice(request, sequence)],
        ...(sequence === countStreamEvents(request) - 2 ? { usage: toUsage(request) } : {}),
    };
    return `id: ${sequence}\ndata: ${JSON.stringify(chunk)}\n\n`;
}
