import { type AddressInfo, createServer, type Socket } from "node:net";

export interface RepeatingRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
}

export interface RepeatingResponse {
    readonly status: number;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body: string;
}

/**
 * What a faulty server sends once more, and when.
 *
 * - `next_request`: the previous response of the connection, when the next request has arrived on it.
 * - `connect`: the response to repeat, on each new connection before its request.
 * - `before_response`, `after_response`: the response to repeat, on the request's connection before or after the
 *   request's own response.
 */
export type Repetition = "next_request" | "connect" | "before_response" | "after_response";

export interface RepeatingServerOptions {
    readonly respond: (request: RepeatingRequest) => RepeatingResponse;
    /** @default "next_request" */
    readonly repetition?: Repetition;
    /** Response that is sent once more, if there is one yet; doesn't apply to `next_request`. */
    readonly responseToRepeat?: (request: RepeatingRequest | undefined) => RepeatingResponse | undefined;
}

export interface RepeatingServer {
    readonly url: string;
    /** Every request with the response that was meant for it. */
    readonly journal: readonly { readonly request: RepeatingRequest; readonly response: RepeatingResponse; }[];
    readonly connectionCount: number;
    close(): Promise<void>;
}

const COPY_DELAY_MS = 10;
const OWN_RESPONSE_DELAY_MS = 30;
const COPY_AFTER_RESPONSE_DELAY_MS = 31;

function formatResponse({ status, headers = {}, body }: RepeatingResponse): string {
    const lines = Object.entries({ ...headers, "content-length": String(Buffer.byteLength(body)) })
        .map(([name, value]) => `${name}: ${value}\r\n`);
    return `HTTP/1.1 ${status} Status\r\n${lines.join("")}\r\n${body}`;
}

/** Takes the first complete request from the start of the text. */
function parseRequest(text: string): { request: RepeatingRequest; rest: string; } | undefined {
    const headEnd = text.indexOf("\r\n\r\n");
    if (headEnd < 0) return undefined;
    const [requestLine = "", ...headerLines] = text.slice(0, headEnd).split("\r\n");
    const [method = "", path = ""] = requestLine.split(" ");
    const headers = Object.fromEntries(headerLines.map(line => {
        const colon = line.indexOf(":");
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }));
    const bodyStart = headEnd + 4;
    const bodyEnd = bodyStart + Number(headers["content-length"] ?? 0);
    if (text.length < bodyEnd) return undefined;
    return { request: { method, path, headers, body: text.slice(bodyStart, bodyEnd) }, rest: text.slice(bodyEnd) };
}

/** Starts a faulty server that keeps connections whatever the client asks for, and sends responses once more. */
export async function startRepeatingServer(options: RepeatingServerOptions): Promise<RepeatingServer> {
    const { respond, repetition = "next_request", responseToRepeat = () => undefined } = options;
    const journal: { request: RepeatingRequest; response: RepeatingResponse; }[] = [];
    const sockets = new Set<Socket>();
    let connectionCount = 0;

    const selectCopy = (request: RepeatingRequest | undefined, previous: RepeatingResponse | undefined) =>
        repetition === "next_request" ? previous : responseToRepeat(request);

    const server = createServer(socket => {
        connectionCount += 1;
        sockets.add(socket);
        let received = "";
        let previous: RepeatingResponse | undefined;
        const send = (response: RepeatingResponse | undefined, delayMs: number): void => {
            if (response === undefined) return;
            setTimeout(() => {
                if (!socket.destroyed) socket.write(formatResponse(response));
            }, delayMs);
        };
        socket.on("error", () => undefined);
        socket.once("close", () => sockets.delete(socket));
        if (repetition === "connect") send(responseToRepeat(undefined), 0);
        socket.on("data", chunk => {
            received += chunk.toString("latin1");
            for (let parsed = parseRequest(received); parsed !== undefined; parsed = parseRequest(received)) {
                const { request, rest } = parsed;
                received = rest;
                const copy = repetition === "connect" ? undefined : selectCopy(request, previous);
                const response = respond(request);
                journal.push({ request, response });
                send(copy, repetition === "after_response" ? COPY_AFTER_RESPONSE_DELAY_MS : COPY_DELAY_MS);
                send(response, OWN_RESPONSE_DELAY_MS);
                previous = response;
            }
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
        journal,
        get connectionCount() {
            return connectionCount;
        },
        close: async () => {
            for (const socket of sockets) socket.destroy();
            await new Promise(resolve => server.close(resolve));
        },
    };
}
