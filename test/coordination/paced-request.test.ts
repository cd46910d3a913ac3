import { createServer, type IncomingMessage, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { afterEach, describe, expect, it } from "vitest";
import { paceBodies, PacedRequest } from "../../packages/coordination/src/node/paced-request.ts";
import { eventually } from "../support/eventually.ts";

/** One read of Node takes as many bytes at most. */
const READ_BYTES = 64 * 1024;
const TINY_CHUNK = "1\r\nx\r\n";
/** Bytes of the body that one read may bring. */
const READ_BODY_BYTES = Math.ceil(READ_BYTES / TINY_CHUNK.length);
const CHUNKED = "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";

let server: Server | undefined;
let client: Socket | undefined;

afterEach(() => {
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

describe("a body in one-byte chunks", () => {
    it("waits in the connection while nobody reads it", async () => {
        const requests = await send(CHUNKED + TINY_CHUNK.repeat(200_000));
        const request = await eventually("a request", () => requests[0]);
        // Several turns of its connection.
        await delay(1_000);
        expect(request.readableLength).toBeLessThan(2 * READ_BODY_BYTES + request.readableHighWaterMark);
    });

    it("is received whole by a reader that comes late", async () => {
        const requests = await send(`${CHUNKED}${TINY_CHUNK.repeat(200_000)}0\r\n\r\n`);
        const request = await eventually("a request", () => requests[0]);
        await delay(300);
        let byteCount = 0;
        for await (const chunk of request) byteCount += (chunk as Buffer).length;
        expect(byteCount).toBe(200_000);
    });
});
