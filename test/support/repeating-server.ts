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

export interface RepeatingServer {
    readonly url: string;
    /** Every request with the response that was meant for it. */
    readonly journal: readonly { readonly request: RepeatingRequest; readonly response: RepeatingResponse; }[];
    readonly connectionCount: number;
    close(): Promise<void>;
}

const COPY_DELAY_MS = 10;
const OWN_RESPONSE_DELAY_MS = 30;

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

/**
 * Starts a faulty server that keeps connections whatever the client asks for, and sends the previous response of a
 * connection once more when the next request has arrived on it, ahead of that request's own response.
 */
export async function startRepeatingServer(
    respond: (request: RepeatingRequest) => RepeatingResponse,
): Promise<RepeatingServer> {
    const journal: { request: RepeatingRequest; response: RepeatingResponse; }[] = [];
    const sockets = new Set<Socket>();
    let connectionCount = 0;
    const server = createServer(socket => {
        connectionCount += 1;
        sockets.add(socket);
        let received = "";
        let previous: string | undefined;
        const send = (text: string, delayMs: number): void => {
            setTimeout(() => {
                if (!socket.destroyed) socket.write(text);
            }, delayMs);
        };
        socket.on("error", () => undefined);
        socket.on("data", chunk => {
            received += chunk.toString("latin1");
            for (let parsed = parseRequest(received); parsed !== undefined; parsed = parseRequest(received)) {
                received = parsed.rest;
                const response = respond(parsed.request);
                journal.push({ request: parsed.request, response });
                if (previous !== undefined) send(previous, COPY_DELAY_MS);
                previous = formatResponse(response);
                send(previous, OWN_RESPONSE_DELAY_MS);
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
