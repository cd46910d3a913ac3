import { type BackendResponse, createBackendClient } from "@skylarkmill/adapters";
import { processLoopShare } from "@skylarkmill/coordination";
import { type AddressInfo, createServer, type Server } from "node:net";
import { text } from "node:stream/consumers";
import { afterEach, describe, expect, it } from "vitest";
import { eventually } from "../support/eventually.ts";

const BODY_BYTES = 240_000;
const SMALL_BODY = "whole";
/** Number of ordinary requests, one after the other. */
const ORDINARY_COUNT = 20;
const HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const servers: Server[] = [];

afterEach(() => {
    for (const server of servers.splice(0)) server.close();
});

/** Starts a server whose responses come in chunks of one size. */
async function startServer(body: string, chunkBytes: number, isEndless = false): Promise<string> {
    const size = `${chunkBytes.toString(16)}\r\n`;
    const pieces = Array.from({ length: body.length / chunkBytes }, (_, index) => index * chunkBytes);
    const chunks = pieces.map(start => `${size}${body.slice(start, start + chunkBytes)}\r\n`).join("");
    const server = createServer(socket => {
        const goOn = (): void => {
            if (!socket.destroyed) socket.write(chunks, goOn);
        };
        // The reader of an endless response resets its connection.
        socket.on("error", () => undefined);
        socket.once("data", () => {
            socket.write(HEAD);
            if (isEndless) goOn();
            else socket.end(`${chunks}0\r\n\r\n`);
        });
    });
    servers.push(server);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function receive(baseUrl: string, signal = new AbortController().signal): Promise<BackendResponse> {
    const client = createBackendClient({ baseUrl });
    const response = await client.send({ method: "GET", path: "/", headers: {}, body: undefined, signal });
    return response._unsafeUnwrap();
}

describe("a backend server's response", () => {
    it.each([
        { guards: "one that keeps the event loop, or is changed while it waits", chunkBytes: 1, isPaced: true },
        { guards: "a sound one that waits", chunkBytes: 6_000, isPaced: false },
    ])("in chunks of $chunkBytes bytes takes turns: $isPaced (guards against $guards)", async play => {
        const { readCount } = processLoopShare.totals;
        const body = "0123456789".repeat(BODY_BYTES / 10);
        const { body: received } = await receive(await startServer(body, play.chunkBytes));
        expect(await text(received) === body).toBe(true);
        expect(processLoopShare.totals.readCount > readCount).toBe(play.isPaced);
    });

    // Guards against an engine that keeps the agent for itself.
    it("is whole beside an endless one in one-byte chunks, which takes turns", async () => {
        const { readCount } = processLoopShare.totals;
        const controller = new AbortController();
        const endless = await receive(await startServer("x".repeat(20_000), 1, true), controller.signal);
        let byteCount = 0;
        const reading = (async () => {
            for await (const chunk of endless.body as AsyncIterable<Buffer>) byteCount += chunk.length;
        })();
        const ended = expect(reading).rejects.toThrow();
        await eventually("the endless response", () => byteCount > 0 || undefined);
        const small = await startServer(SMALL_BODY, 1);
        for (let count = 0; count < ORDINARY_COUNT; count += 1) {
            expect(await text((await receive(small)).body)).toBe(SMALL_BODY);
        }
        const seenBytes = byteCount;
        await eventually("more of the endless response", () => byteCount > seenBytes || undefined);
        controller.abort();
        await ended;
        expect(processLoopShare.totals.readCount).toBeGreaterThan(readCount);
    }, 30_000);
});
