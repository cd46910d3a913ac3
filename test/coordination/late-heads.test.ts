import { RequestHeadGuard } from "@skylarkmill/coordination";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";

const HEADER_TIMEOUT_MS = 300;
const CHECK_INTERVAL_MS = 50;
const REQUEST = "GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
const RESPONSE_WAIT_MS = 2_000;

/** Keeps the process from its timers and sockets, as a suspension does. */
function suspend(durationMs: number): void {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
}

describe("a request head", () => {
    let server: Server;
    let socket: Socket;

    beforeEach(async () => {
        server = createServer({ connectionsCheckingInterval: CHECK_INTERVAL_MS }, (_request, response) => {
            response.end("served");
        });
        const guard = new RequestHeadGuard(server, {
            limits: { maxHeaderBytes: 16_384, headerTimeoutMs: HEADER_TIMEOUT_MS },
            createRefusal: () => ({ status: 408, headers: [], body: "late" }),
            onFault: () => undefined,
        });
        guard.setLimits({ maxHeaderBytes: 16_384, headerTimeoutMs: HEADER_TIMEOUT_MS });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const accepted = new Promise(resolve => server.once("connection", resolve));
        socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
        await accepted;
    });

    afterEach(async () => {
        socket.destroy();
        await new Promise(resolve => server.close(resolve));
    });

    function readStatus(): Promise<string> {
        return new Promise((resolve, reject) => {
            const timer = setTimeout(() => reject(new Error("no response")), RESPONSE_WAIT_MS);
            socket.once("data", bytes => {
                clearTimeout(timer);
                resolve(String(bytes).slice("HTTP/1.1 ".length, "HTTP/1.1 200".length));
            });
        });
    }

    // Guards against refusals of sound requests by a gateway that was frozen for longer than a head may take.
    it("that arrived while the process was suspended is read", async () => {
        const status = readStatus();
        socket.write(REQUEST);
        suspend(HEADER_TIMEOUT_MS + 2 * CHECK_INTERVAL_MS);
        expect(await status).toBe("200");
    });

    it.each([
        { name: "that doesn't arrive", sent: "" },
        { name: "of which a part arrives", sent: REQUEST.slice(0, 20) },
    ])("$name is refused as late", async ({ sent }) => {
        const status = readStatus();
        socket.write(sent);
        expect(await status).toBe("408");
    });

    it("of which a part arrived while the process was suspended is refused as late", async () => {
        const status = readStatus();
        socket.write(REQUEST.slice(0, 20));
        suspend(HEADER_TIMEOUT_MS + 2 * CHECK_INTERVAL_MS);
        expect(await status).toBe("408");
    });
});
