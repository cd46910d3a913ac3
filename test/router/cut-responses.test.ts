import { request } from "undici";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import type { AgentBehaviour } from "./support/fake-agent.ts";
import { Harness } from "./support/harness.ts";

const FRAMINGS = ["length", "chunked", "none"] as const;
const ENDINGS = ["close", "reset"] as const;
type Framing = typeof FRAMINGS[number];
type Ending = typeof ENDINGS[number];

const HEADERS = { "x-request-timeout-ms": "3000", "content-type": "application/json" };
const ERROR_EVENT = '\n\ndata: {"error"';
const RESET_DELAY_MS = 5;
/** Only every so many bytes is a cut, besides those at both ends of the head and the body. */
const CUT_STEP = 5;

interface Kind {
    readonly name: string;
    readonly path: string;
    readonly body: string | undefined;
    readonly type: string;
    readonly answer: string;
}

const EVENTS = [0, 1, 2].map(id => `id: ${id}\ndata: {"choices":[{"text":"piece ${id}"}]}\n\n`).join("");
const KINDS: readonly Kind[] = [
    {
        name: "a model's answer",
        path: "/v1/chat/completions",
        body: JSON.stringify({ model: "bench-diagnosis" }),
        type: "application/json",
        answer: JSON.stringify({ id: "chatcmpl-1", choices: [{ text: "the whole answer" }] }),
    },
    {
        name: "a model's stream",
        path: "/v1/chat/completions",
        body: JSON.stringify({ model: "bench-diagnosis", stream: true }),
        type: "text/event-stream",
        answer: `${EVENTS}data: [DONE]\n\n`,
    },
    {
        name: "a plain service's answer",
        path: "/services/parts-ledger/stock",
        body: undefined,
        type: "text/plain",
        answer: "the whole answer",
    },
];

let harness: Harness;

beforeAll(async () => {
    harness = await new Harness().start();
});

afterAll(() => harness.stop());

function formatResponse(kind: Kind, framing: Framing, connection: string): string {
    const { answer, type } = kind;
    const execution = "X-Skylarkmill-Execution: run\r\n";
    const head = `HTTP/1.1 200 OK\r\n${execution}Connection: ${connection}\r\nContent-Type: ${type}\r\n`;
    if (framing === "none") return `${head}\r\n${answer}`;
    if (framing === "length") return `${head}Content-Length: ${answer.length}\r\n\r\n${answer}`;
    return `${head}Transfer-Encoding: chunked\r\n\r\n${answer.length.toString(16)}\r\n${answer}\r\n0\r\n\r\n`;
}

function sendRaw(bytes: string, ending: Ending): AgentBehaviour {
    return (_request, response) => {
        const socket = response.socket!;
        if (ending === "close") return void socket.end(bytes);
        socket.write(bytes, () => setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS));
    };
}

async function call(kind: Kind): Promise<{ status: number; text: string; }> {
    const response = await request(`${harness.url}${kind.path}`, {
        method: "POST",
        headers: HEADERS,
        ...(kind.body === undefined ? {} : { body: kind.body }),
    });
    return { status: response.statusCode, text: await response.body.text() };
}

/** Whether the text is the whole answer, or a part of a stream that states by an error event that it broke off. */
function isWhole(kind: Kind, text: string): boolean {
    if (text === kind.answer) return true;
    const errorStart = kind.type === "text/event-stream" ? text.indexOf(ERROR_EVENT) : -1;
    return errorStart >= 0 && kind.answer.startsWith(text.slice(0, errorStart));
}

function listCuts(whole: string): number[] {
    const bodyStart = whole.indexOf("\r\n\r\n") + 4;
    const steps = Array.from({ length: Math.ceil(whole.length / CUT_STEP) }, (_, index) => index * CUT_STEP);
    const ends = [bodyStart - 2, bodyStart - 1, bodyStart, bodyStart + 1, whole.length - 2, whole.length - 1];
    return [...new Set([...steps, ...ends])];
}

// Guards against an agent's answer that breaks off and reaches the caller as a whole one, and against a request that is
// reported as not run although an agent received it.
describe.each(KINDS)("$name whose agent's connection breaks", kind => {
    const cases = FRAMINGS.flatMap(framing =>
        ENDINGS.flatMap(ending => ["keep-alive", "close"].map(connection => ({ framing, ending, connection })))
    );
    it.each(cases)("is not complete: $framing, $ending, $connection", async ({ framing, ending, connection }) => {
        const whole = formatResponse(kind, framing, connection);
        const mistakes: object[] = [];
        let sentCount = 0;
        for (const cut of listCuts(whole)) {
            for (const agent of Object.values(harness.agents)) agent.behaviour = sendRaw(whole.slice(0, cut), ending);
            const before = harness.receivedRequestCount();
            // A response that is not complete by its framing rejects.
            const response = await call(kind).catch(() => undefined);
            const wasSent = harness.receivedRequestCount() > before;
            if (wasSent) sentCount += 1;
            if (response === undefined) continue;
            const { status, text } = response;
            const isMistake = status < 300 && !isWhole(kind, text)
                || wasSent && status >= 400 && text.includes("not_run");
            if (isMistake) mistakes.push({ cut, status, text: text.slice(-60) });
        }
        expect(mistakes).toEqual([]);
        expect(sentCount).toBeGreaterThan(10);
    }, 30_000);
});
