import { LoopShare, paceBodies, PacedRequest, type WaitingRead } from "@skylarkmill/coordination";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { eventually } from "../support/eventually.ts";

/** Time in which a connection that isn't held is read on. */
const QUIET_MS = 300;
const HEAD = "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";
const TINY_CHUNKS = "1\r\nx\r\n".repeat(100_000);

/** Keeps connections until the test lets them go on. */
class ManualShare extends LoopShare {
    readonly reads: WaitingRead[] = [];

    override add(read: WaitingRead): void {
        this.reads.push(read);
    }
}

let server: Server;
let caller: Socket;
let received = "";

afterEach(async () => {
    caller.destroy();
    server.closeAllConnections();
    await new Promise(resolve => server.close(resolve));
});

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

/** Starts a server and a caller whose first read is costly; resolves with the server's side of the held connection. */
async function hold(handler: Handler, sent = HEAD + TINY_CHUNKS): Promise<{ socket: Socket; share: ManualShare; }> {
    const share = new ManualShare();
    server = createServer({ IncomingMessage: PacedRequest }, handler);
    paceBodies(server, share);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const accepted = new Promise<Socket>(resolve => server.once("connection", resolve));
    received = "";
    caller = connect((server.address() as AddressInfo).port, "127.0.0.1");
    caller.on("data", data => received += data.toString("latin1"));
    caller.on("error", () => undefined);
    caller.write(sent);
    const socket = await accepted;
    await eventually("a held connection", () => share.reads.length > 0 || undefined);
    return { socket, share };
}

function sleep(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

const HANDLERS: readonly { readonly name: string; readonly handler: Handler; }[] = [
    { name: "reads the body", handler: request => void request.resume() },
    { name: "doesn't read the body", handler: () => undefined },
    {
        name: "responds at once without reading the body",
        handler: (_request, response) => void response.end("early"),
    },
    {
        name: "responds at once and reads the body",
        handler: (request, response) => {
            request.resume();
            response.end("early");
        },
    },
    {
        name: "pauses and resumes the body",
        handler: request => {
            request.on("data", () => {
                request.pause();
                setImmediate(() => request.resume());
            });
        },
    },
    {
        name: "sends a long response meanwhile",
        handler: (request, response) => {
            request.resume();
            response.write("x".repeat(4_000_000));
        },
    },
];

describe("a connection whose read was costly", () => {
    it.each(HANDLERS)("isn't read until its turn when the handler $name", async ({ handler }) => {
        const { socket, share } = await hold(handler);
        await sleep(QUIET_MS);
        const heldByteCount = socket.bytesRead;
        await sleep(QUIET_MS);
        expect(socket.bytesRead).toBe(heldByteCount);
        expect(share.reads).toHaveLength(1);
        // The stream may have read ahead once, which waits for the parser.
        expect(socket.readableLength).toBeLessThanOrEqual(65_536);
    });

    it("is read on when it is its turn, and its caller's end is noticed then", async () => {
        const { socket, share } = await hold(request => void request.resume());
        caller.destroy();
        await eventually("the end", () => {
            for (const read of share.reads.splice(0)) read.resume();
            return socket.destroyed || undefined;
        });
    });

    it("is closed at once when its server ends it", async () => {
        const { socket } = await hold((request, response) => {
            request.resume();
            setTimeout(() => response.writeHead(408, { connection: "close" }).end("late"), QUIET_MS);
        });
        await eventually("the end", () => socket.destroyed || undefined);
        expect(received).toContain("late");
    });

    it("isn't idle, and its request is served when the body is complete", async () => {
        const sent = `${HEAD}${"1\r\nx\r\n".repeat(50_000)}0\r\n\r\n`;
        const { share } = await hold((request, response) => {
            request.resume().once("end", () => response.end("served"));
        }, sent);
        server.closeIdleConnections();
        await eventually("a response", () => {
            for (const read of share.reads.splice(0)) read.resume();
            return received.includes("served") || undefined;
        });
    });

    it("waits also when the body is complete, before its next request is read", async () => {
        const sent = `${HEAD}${"1\r\nx\r\n".repeat(10_000)}0\r\n\r\n`;
        let requestCount = 0;
        let newest: IncomingMessage | undefined;
        const { share } = await hold((request, response) => {
            requestCount += 1;
            newest = request;
            request.resume().once("end", () => response.end("served"));
        }, sent);
        await eventually("a response", () => {
            // One read mostly brings the whole of it.
            if (newest?.complete === false) { for (const read of share.reads.splice(0)) read.resume(); }
            return received.includes("served") || undefined;
        });
        caller.write(sent);
        await sleep(QUIET_MS);
        expect(requestCount).toBe(1);
        for (const read of share.reads.splice(0)) read.resume();
        await eventually("the next request", () => requestCount === 2 || undefined);
    });
});
