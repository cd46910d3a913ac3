import { EventEmitter, once } from "node:events";
import {
    createServer,
    type IncomingHttpHeaders,
    type IncomingMessage,
    type Server,
    type ServerResponse,
} from "node:http";
import { findFreePort } from "../../support/free-ports.ts";

export interface ReceivedRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: IncomingHttpHeaders;
    readonly body: string;
}

export type AgentBehaviour = (request: ReceivedRequest, response: ServerResponse, index: number) => void;

/** An agent on a loopback port that records its requests and the number of responses that were cut off. */
export class FakeAgent {
    readonly receivedRequests: ReceivedRequest[] = [];
    closedEarlyCount = 0;
    behaviour: AgentBehaviour;
    port = 0;
    private server: Server | undefined;
    private readonly changes = new EventEmitter();

    constructor(behaviour: AgentBehaviour = respondWithJson) {
        this.behaviour = behaviour;
    }

    /** Starts to listen; after a stop, on the same port as before. */
    async start(): Promise<void> {
        const server = createServer((request, response) => void this.handleRequest(request, response));
        // A port that the system assigns could be taken by any connection while the agent is stopped.
        if (this.port === 0) this.port = await findFreePort();
        server.listen(this.port, "127.0.0.1");
        await once(server, "listening");
        this.server = server;
    }

    async stop(): Promise<void> {
        const { server } = this;
        this.server = undefined;
        const closed = new Promise<void>(resolve => server === undefined ? resolve() : server.close(() => resolve()));
        server?.closeAllConnections();
        await closed;
    }

    /** Resolves once `count` requests have been received. */
    async untilReceived(count: number): Promise<void> {
        while (this.receivedRequests.length < count) await once(this.changes, "change");
    }

    /** Resolves once `count` connections have closed before their response was complete. */
    async untilClosedEarly(count: number): Promise<void> {
        while (this.closedEarlyCount < count) await once(this.changes, "change");
    }

    private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const chunks: Buffer[] = [];
        for await (const chunk of request) chunks.push(chunk as Buffer);
        const body = Buffer.concat(chunks).toString();
        const entry = { method: request.method!, path: request.url!, headers: request.headers, body };
        response.on("close", () => {
            if (!response.writableFinished) this.closedEarlyCount += 1;
            this.changes.emit("change");
        });
        this.receivedRequests.push(entry);
        this.changes.emit("change");
        this.behaviour(entry, response, this.receivedRequests.length - 1);
    }
}

export function respondWithJson(request: ReceivedRequest, response: ServerResponse): void {
    const id = `chatcmpl-${String(request.headers["x-skylarkmill-attempt-id"])}`;
    const body = JSON.stringify({ id, path: request.path, echo: request.body });
    response.writeHead(200, { "content-type": "application/json", "x-skylarkmill-execution": "run" });
    response.end(body);
}

export function respondWithStream(request: ReceivedRequest, response: ServerResponse): void {
    response.writeHead(200, { "content-type": "text/event-stream" });
    for (let i = 0; i < 3; i += 1) response.write(`id: ${i}\ndata: {"n":${i}}\n\n`);
    response.end("data: [DONE]\n\n");
}

/** Returns a behaviour that responds with a refusal in an agent's format. */
export function refuseWith(
    status: number,
    code: string,
    execution: "not_run" | "unknown",
    type = "overloaded_error",
): AgentBehaviour {
    return (_request, response) => {
        response.writeHead(status, { "content-type": "application/json", "x-skylarkmill-execution": execution });
        response.end(JSON.stringify({ error: { type, code, message: code, execution, retry_after_ms: 700 } }));
    };
}

export function breakConnection(_request: ReceivedRequest, response: ServerResponse): void {
    response.destroy();
}
