import type { EngineCall } from "@skylarkmill/gateway";
import { PlatformEngineClient } from "@skylarkmill/platform";
import { IncomingMessage } from "node:http";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { afterEach, describe, expect, it, vi } from "vitest";
import { eventually } from "../support/eventually.ts";

const EVENT_INTERVAL_MS = 20;
/** Exceeds the time until the server has ended its connection. */
const PAUSE_MS = 150;

afterEach(() => void vi.restoreAllMocks());

function createCall(port: number): EngineCall {
    return {
        request: { requestId: "a1", method: "POST", path: "/", host: "x", headers: [], body: undefined },
        server: { serverId: "e1", address: { host: "127.0.0.1", port } },
        deadlineMs: 1_000,
    } as unknown as EngineCall;
}

function sendResponse(socket: Socket, isChunked: boolean, end: () => void): void {
    const format = (text: string) => isChunked ? `${text.length.toString(16)}\r\n${text}\r\n` : text;
    const framing = isChunked ? "Transfer-Encoding: chunked\r\n" : "";
    socket.on("error", () => undefined);
    socket.once("data", () => {
        socket.write(`HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nConnection: close\r\n${framing}\r\n${format("one ")}`);
        setTimeout(() => {
            socket.write(format("two") + (isChunked ? "0\r\n\r\n" : ""));
            end();
        }, EVENT_INTERVAL_MS);
    });
}

/** Reads the response, and pauses after its first part until the server has ended the connection. */
function readSlowly(port: number): Promise<string> {
    return new Promise(resolve => {
        let received = "";
        const exchange = new PlatformEngineClient().sendRequest(createCall(port), {
            onHead: () => undefined,
            onData: chunk => {
                if (received === "") {
                    exchange.pause();
                    setTimeout(() => exchange.resume(), PAUSE_MS);
                }
                received += chunk.toString();
            },
            onEnd: () => resolve(`${received}, whole`),
            onFailure: () => resolve(`${received}, failed`),
        });
    });
}

// Guards against a whole response that counts as cut because its caller reads slowly: Node closes the request of a
// response that is paused as soon as the connection ends.
describe("a response that is paused while its server ends the connection", () => {
    it.each([
        { isChunked: true, ending: "close", expected: "one two, whole" },
        { isChunked: false, ending: "close", expected: "one two, whole" },
        { isChunked: true, ending: "reset", expected: "one two, whole" },
        { isChunked: true, ending: "late reset", expected: "one two, whole" },
        { isChunked: false, ending: "reset", expected: "one , failed" },
        { isChunked: false, ending: "late reset", expected: "one , failed" },
    ])("with chunks $isChunked and the ending $ending", async ({ isChunked, ending, expected }) => {
        const server = createServer(socket =>
            sendResponse(socket, isChunked, () => {
                if (ending === "close") socket.end();
                else if (ending === "reset") socket.resetAndDestroy();
                else setTimeout(() => socket.resetAndDestroy(), EVENT_INTERVAL_MS);
            })
        );
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        expect(await readSlowly((server.address() as AddressInfo).port)).toBe(expected);
        await new Promise(resolve => server.close(resolve));
    });
});

const TINY_CHUNK = "1\r\nx\r\n";

/** Starts a server that sends one-byte chunks without end, as fast as its caller reads. */
async function startEndlessServer(): Promise<Server> {
    const server = createServer(socket => {
        const send = (): void => {
            while (!socket.destroyed && socket.write(TINY_CHUNK.repeat(10_000)));
        };
        socket.on("error", () => undefined).on("drain", send);
        socket.once("data", () => {
            socket.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n");
            send();
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return server;
}

// Guards against responses of which each piece is kept for itself, a hundred times its size, while their callers read slowly.
it("reads nothing of a response in one-byte chunks while it is paused, and goes on afterwards", async () => {
    const server = await startEndlessServer();
    const push = vi.spyOn(IncomingMessage.prototype, "push");
    const call = createCall((server.address() as AddressInfo).port);
    let byteCount = 0;
    const exchange = new PlatformEngineClient().sendRequest(call, {
        onHead: () => undefined,
        onData: chunk => {
            if (byteCount === 0) exchange.pause();
            byteCount += chunk.length;
        },
        onEnd: () => undefined,
        onFailure: () => undefined,
    });
    await eventually("a part of the response", () => byteCount > 0 || undefined);
    push.mockClear();
    await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
    expect(push).not.toHaveBeenCalled();
    const pausedByteCount = byteCount;
    exchange.resume();
    await eventually("a further part", () => byteCount > pausedByteCount || undefined);
    exchange.cancel();
    await new Promise(resolve => server.close(resolve));
});
