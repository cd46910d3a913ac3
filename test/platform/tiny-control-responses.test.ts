import type { EngineCall, ServerRecord } from "@skylarkmill/gateway";
import { PlatformEngineClient } from "@skylarkmill/platform";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server } from "node:net";
import { afterEach, beforeEach, expect, it, vi } from "vitest";

const REPORT = JSON.stringify({
    stage: "both",
    born: 1_772_451_858_000,
    busy: false,
    sequence: 2,
    models: [{ name: "m1", version: 1, adapters: [] }],
    queued: 0,
    active: 0,
    kv_used: 0,
    kv_total: 1_000,
    handles: 0,
    at_hand: { in_memory: [], on_disk: [] },
});
/** Reads that a response of ten thousand chunks takes at most. */
const MAX_DATA_CALLS = 200;
const REPORT_BYTES = 10_000;
/** Buffers in which a client may keep a report; its bytes are copied to blocks that grow. */
const MAX_KEPT_PARTS = 20;

let server: Server;

beforeEach(async () => {
    const chunks = Array.from(REPORT.padEnd(REPORT_BYTES), character => `1\r\n${character}\r\n`).join("");
    server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once(
            "data",
            () => socket.write(`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`),
        );
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
});

afterEach(() => {
    vi.restoreAllMocks();
    server.close();
});

// Guards against a server whose reports take a hundred times their size.
it("keeps a report that comes in one-byte chunks in few buffers", async () => {
    const { port } = server.address() as AddressInfo;
    const record = { serverId: "e1", address: { host: "127.0.0.1", port } } as unknown as ServerRecord;
    const concat = vi.spyOn(Buffer, "concat");
    const report = await new PlatformEngineClient().readReport(record);
    expect(report.isOk()).toBe(true);
    expect(Math.max(0, ...concat.mock.calls.map(([parts]) => parts.length))).toBeLessThanOrEqual(MAX_KEPT_PARTS);
});

// Guards against a response whose chunks cost their caller and the gateway more than their bytes.
it("passes on the one-byte chunks of one read together", async () => {
    const { port } = server.address() as AddressInfo;
    const call = {
        server: { serverId: "e1", address: { host: "127.0.0.1", port } },
        request: { requestId: "a1", method: "GET", path: "/x", host: "h", headers: [] },
        deadlineMs: 10_000,
    } as unknown as EngineCall;
    const parts: Buffer[] = [];
    await new Promise<void>((resolve, reject) => {
        new PlatformEngineClient().sendRequest(call, {
            onHead: () => undefined,
            onData: chunk => void parts.push(chunk),
            onEnd: resolve,
            onFailure: reject,
        });
    });
    expect(Buffer.concat(parts).toString()).toBe(REPORT.padEnd(REPORT_BYTES));
    expect(parts.length).toBeLessThan(MAX_DATA_CALLS);
});
