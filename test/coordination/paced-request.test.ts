import { createServer, type IncomingMessage, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { afterEach, describe, expect, it, vi } from "vitest";
import { paceBodies, PacedRequest } from "../../packages/coordination/src/node/paced-request.ts";
import { eventually } from "../support/eventually.ts";

/** One read of Node takes as many bytes at most. */
const READ_BYTES = 64 * 1024;
const TINY_CHUNK = "1\r\nx\r\n";
const CHUNKED = "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";

let server: Server | undefined;
let client: Socket | undefined;

afterEach(() => {
    vi.restoreAllMocks();
    client?.destroy();
    server?.closeAllConnections();
    server?.close();
});

/** Starts a server and sends it `text`; resolves with the requests that it gets. */
async function send(text: string): Promise<IncomingMessage[]> {
    const requests: IncomingMessage[] = [];
    server = createServer({ IncomingMessage: PacedRequest });
    paceBodies(server);
    server.on("request", request => requests.push(request));
    await new Promise<void>(resolve => server!.listen(0, "127.0.0.1", resolve));
    client = connect((server.address() as AddressInfo).port, "127.0.0.1");
    client.on("error", () => undefined);
    client.write(text);
    return requests;
}

describe("a body in tiny chunks", () => {
    it("waits in the connection while nobody reads it", async () => {
        const requests = await send(CHUNKED + TINY_CHUNK.repeat(200_000));
        const request = await eventually("a request", () => requests[0]);
        // Several turns of its connection.
        await delay(1_000);
        expect(request.socket.bytesRead).toBeLessThan(4 * READ_BYTES);
    });

    it("is received whole by a reader that comes late", async () => {
        const requests = await send(`${CHUNKED}${TINY_CHUNK.repeat(200_000)}0\r\n\r\n`);
        const request = await eventually("a request", () => requests[0]);
        await delay(300);
        let byteCount = 0;
        for await (const chunk of request) byteCount += (chunk as Buffer).length;
        expect(byteCount).toBe(200_000);
    });

    it("leaves nothing in its connection's own buffer while it is held", async () => {
        const requests = await send(CHUNKED + TINY_CHUNK.repeat(200_000));
        const request = await eventually("a request", () => requests[0]);
        request.resume();
        let largestByteCount = 0;
        for (let turn = 0; turn < 200; turn += 1) {
            await new Promise(resolve => setImmediate(resolve));
            largestByteCount = Math.max(largestByteCount, request.socket.readableLength);
        }
        expect(largestByteCount).toBe(0);
    });

    it("is kept as few pieces while nobody reads it", async () => {
        const requests = await send(CHUNKED + TINY_CHUNK.repeat(8_000));
        const request = await eventually("a request", () => requests[0]);
        await delay(300);
        const pieces: Buffer[] = [];
        request.once("data", (piece: Buffer) => void pieces.push(piece));
        await eventually("a piece", () => pieces[0]);
        expect(pieces[0]!.length).toBe(8_000);
    });

    it.each([
        { name: "without a body", text: "GET / HTTP/1.1\r\nhost: h\r\n\r\n", body: "" },
        { name: "with a body that has come", text: `${CHUNKED}${TINY_CHUNK.repeat(3)}0\r\n\r\n`, body: "xxx" },
        {
            name: "with tiny and large chunks in turn",
            text: `${CHUNKED}${`1\r\na\r\n400\r\n${"b".repeat(1_024)}\r\n1\r\nc\r\n`.repeat(3)}0\r\n\r\n`,
            body: `a${"b".repeat(1_024)}c`.repeat(3),
        },
    ])("ends for a reader that comes late: a request $name", async ({ text, body }) => {
        const requests = await send(text);
        const request = await eventually("a request", () => requests[0]);
        await delay(50);
        let received = "";
        for await (const chunk of request) received += String(chunk);
        expect(received).toBe(body);
    });
});

describe("whole bodies in tiny chunks", () => {
    // What one read brings: a part of a body is held in any case.
    const whole = `${CHUNKED}${TINY_CHUNK.repeat(9_000)}0\r\n\r\n`;
    const statedHead = "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\n\r\n";

    it.each([
        { name: "one after the other", text: whole, rest: "" },
        { name: "before a head of a stated length", text: whole + statedHead, rest: "x" },
    ])("take turns too: $name", async ({ text, rest }) => {
        const hold = vi.spyOn(PacedRequest.prototype, "hold");
        const requests = await send("");
        let responseCount = 0;
        server!.on("request", (request, response) => {
            request.resume();
            request.once("end", () => {
                responseCount += 1;
                response.end();
            });
        });
        for (let round = 1; round <= 3; round += 1) {
            client!.write(text);
            await eventually("the heads", () => requests.length === round * (rest === "" ? 1 : 2) || undefined);
            await eventually("a turn", () => !requests.some(request => (request as PacedRequest).isHeld) || undefined);
            expect(hold.mock.calls.length).toBeGreaterThanOrEqual(round);
            client!.write(rest);
            await eventually("the responses", () => responseCount === requests.length || undefined);
        }
    });
});

describe("a body of a stated length", () => {
    it("is not held after a read that took long", async () => {
        const byteCount = 1024 * 1024;
        const requests = await send("");
        const isHeld: boolean[] = [];
        let receivedByteCount = 0;
        server!.on("request", (request: PacedRequest) => {
            request.on("data", (chunk: Buffer) => {
                receivedByteCount += chunk.length;
                // As if the process were suspended.
                const endAtMs = performance.now() + 5;
                while (performance.now() < endAtMs);
                setImmediate(() => isHeld.push(request.isHeld));
            });
        });
        client!.write(`POST / HTTP/1.1\r\nhost: h\r\ncontent-length: ${byteCount}\r\n\r\n${"x".repeat(byteCount)}`);
        await eventually("the body", () => receivedByteCount === byteCount || undefined);
        expect(requests).toHaveLength(1);
        expect(isHeld).not.toContain(true);
    });
});
