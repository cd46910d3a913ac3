import type { Dispatcher } from "undici";

export type Execution = "not_run" | "unknown";

/** How one request ended for its caller. */
export type Outcome =
    | { readonly kind: "response"; readonly status: number; readonly text: string; }
    | { readonly kind: "refusal"; readonly status: number; readonly code: string; readonly execution: Execution; }
    /** An error status whose body has no documented form. */
    | { readonly kind: "undocumented_error"; readonly status: number; readonly text: string; }
    /** The connection failed; `hasResponseHead` is true if the head of a response had arrived. */
    | { readonly kind: "broken"; readonly code: string; readonly hasResponseHead: boolean; }
    /** The caller itself disconnected. */
    | { readonly kind: "disconnected"; }
    /** No response had arrived long after the deadline. */
    | { readonly kind: "timed_out"; };

export function toOutcome(response: Dispatcher.ResponseData, text: string): Outcome {
    const { statusCode: status } = response;
    if (status < 400) return { kind: "response", status, text };
    const error = parseError(text);
    if (error === undefined) return { kind: "undocumented_error", status, text };
    return { kind: "refusal", status, ...error };
}

function parseError(text: string): { readonly code: string; readonly execution: Execution; } | undefined {
    try {
        const { error } = JSON.parse(text) as { error?: { code?: unknown; execution?: unknown; }; };
        const isExecution = error?.execution === "not_run" || error?.execution === "unknown";
        if (typeof error?.code !== "string" || !isExecution) return undefined;
        return { code: error.code, execution: error.execution as Execution };
    }
    catch {
        return undefined;
    }
}

/** Whether a response of the engine stand-in is complete, a clear error, or wrong. */
export type Verdict = "complete" | "clear error" | `wrong: ${string}`;

interface ExpectedResponse {
    readonly model: string;
    readonly message: string;
    readonly tokenCount: number;
    readonly stream: boolean;
}

/** Compares an outcome with the only complete response to its request. */
export function judgeOutcome(outcome: Outcome, expected: ExpectedResponse): Verdict {
    if (outcome.kind === "refusal") return "clear error";
    // A truncated body with a content length or in chunked coding shows up as a broken connection.
    if (outcome.kind === "broken") return "clear error";
    if (outcome.kind !== "response") return `wrong: ${outcome.kind}`;
    return expected.stream ? judgeStream(outcome.text, expected) : judgeUnstreamed(outcome.text, expected);
}

function fullText({ model, message, tokenCount }: ExpectedResponse): string {
    const rest = Array.from({ length: tokenCount - 1 }, (_, index) => ` t${index + 1}`);
    return [`${model} answers: ${message}`, ...rest].join("");
}

function judgeUnstreamed(text: string, expected: ExpectedResponse): Verdict {
    const response = JSON.parse(text) as { choices: { message: { content: string; }; }[]; };
    const content = response.choices[0]?.message.content;
    return content === fullText(expected) ? "complete" : `wrong: unstreamed response ${JSON.stringify(content)}`;
}

interface Chunk {
    readonly id?: string;
    readonly error?: { readonly code?: string; readonly execution?: string; };
    readonly choices?: readonly { readonly delta?: { readonly content?: string; }; readonly finish_reason?: string; }[];
}

function judgeStream(text: string, expected: ExpectedResponse): Verdict {
    const data = text.split("\n").filter(line => line.startsWith("data: ")).map(line => line.slice("data: ".length));
    const hasEndMark = data.at(-1) === "[DONE]";
    const chunks = data.filter(line => line !== "[DONE]").map(line => JSON.parse(line) as Chunk);
    const ids = new Set(chunks.flatMap(chunk => chunk.id ?? []));
    if (ids.size > 1) return `wrong: chunks of ${[...ids].join(" and ")}`;
    const content = chunks.map(chunk => chunk.choices?.[0]?.delta?.content ?? "").join("");
    const error = chunks.at(-1)?.error;
    if (error !== undefined) {
        if (hasEndMark) return "wrong: an end mark after an error";
        if (!fullText(expected).startsWith(content)) return `wrong: stream ${JSON.stringify(content)} before an error`;
        return error.execution === "unknown" ? "clear error" : `wrong: error ${JSON.stringify(error)}`;
    }
    if (!hasEndMark) return `wrong: a stream without end mark or error, ending with ${text.slice(-200)}`;
    return content === fullText(expected) ? "complete" : `wrong: stream ${JSON.stringify(content)}`;
}
