import { closeServer, createInternalServerOptions, guardInternalServer } from "@skylarkmill/coordination";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { PacedCaller } from "../support/paced-caller.ts";

/** Longer than a body is read after its response without a byte, shorter than Node's own limit of 300 s. */
const END_TIMEOUT_MS = 10_000;
const BLOCK = "x".repeat(65_536);

let server: Server;
let caller: PacedCaller;

beforeEach(async () => {
    server = createServer(createInternalServerOptions(), (_request, response) => {
        response.end("served");
    });
    guardInternalServer(server);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    caller = new PacedCaller((server.address() as AddressInfo).port);
});

afterEach(async () => {
    caller.close();
    await closeServer(server);
});

function createHead(bodyHeader: string, method = "POST"): string {
    return `${method} / HTTP/1.1\r\nhost: h\r\n${bodyHeader}\r\n\r\n`;
}

// Guards against callers who keep a connection to a port whose handler doesn't read bodies by a body that never ends.
describe("a body that goes on after its response", () => {
    it.each<{ name: string; start: (caller: PacedCaller) => unknown; }>([
        { name: "without a byte", start: client => client.send(createHead("content-length: 100")) },
        { name: "of GET", start: client => client.send(createHead("content-length: 100", "GET")) },
        {
            name: "stated, which goes on",
            start: client => client.send(createHead("content-length: 50000000000")).drip(BLOCK, 1),
        },
        {
            name: "in chunks without end",
            start: client => client.send(createHead("transfer-encoding: chunked")).drip(`10000\r\n${BLOCK}\r\n`, 1),
        },
    ])("is served, and its connection ends: $name", async ({ start }) => {
        start(caller);
        await caller.waitForEnd(caller.connectedAtMs, END_TIMEOUT_MS);
        expect(caller.statuses).toEqual([200]);
    });

    it("leaves its connection open for the next request if it ends", async () => {
        caller.send(createHead("content-length: 1000000"));
        await caller.waitForResponses(1);
        for (let index = 0; index < 5; index += 1) {
            caller.send("x".repeat(200_000));
            await new Promise(resolve => setTimeout(resolve, 600));
        }
        caller.send(createHead("content-length: 0"));
        expect(await caller.waitForResponses(2)).toEqual([200, 200]);
        expect(caller.ending).toBeUndefined();
    });
});
