import { create } from "@bufbuild/protobuf";
import { createPeerClient, createPeerServer, type PeerClient, type PeerServer } from "@skylarkmill/coordination";
import { type ProcessId, ProcessStatusSchema, toId } from "@skylarkmill/protocol";
import { connect as connectHttp2 } from "node:http2";
import { connect, type Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { eventually } from "../support/eventually.ts";

const LIMITS = { acceptTimeoutMs: 1_000, maxUnacceptedCount: 5, maxRefusedCalls: 3, refusalLingerMs: 200 };

let server: PeerServer;
let peer: PeerClient;
let refusedCallCount = 0;
const sockets: Socket[] = [];

beforeEach(async () => {
    refusedCallCount = 0;
    const started = await createPeerServer({
        host: "127.0.0.1",
        port: 0,
        keys: () => ["key"],
        handlers: { getStatus: () => create(ProcessStatusSchema, { processId: "p1" }) },
        onRefused: () => refusedCallCount += 1,
        connectionLimits: LIMITS,
    });
    server = started._unsafeUnwrap();
    peer = createPeerClient({
        processId: toId<ProcessId>("p1"),
        address: "127.0.0.1",
        port: server.port,
        keys: () => ["key"],
    });
});

afterEach(async () => {
    peer.close();
    for (const socket of sockets.splice(0)) socket.destroy();
    await server.close();
});

function open(): Socket {
    const socket = connect(server.port, "127.0.0.1");
    // The server may reset a connection at any time.
    socket.on("error", () => undefined);
    socket.resume();
    sockets.push(socket);
    return socket;
}

describe("connections without an accepted key", () => {
    it("are closed after their time, while those of own processes stay", async () => {
        await peer.calls.getStatus({});
        const socket = open();
        await eventually("the connection is closed", () => socket.closed || undefined);
        expect((await peer.calls.getStatus({})).processId).toBe("p1");
    });

    it("are closed beyond their number, the oldest first", async () => {
        await peer.calls.getStatus({});
        const opened: Socket[] = [];
        for (let index = 0; index < LIMITS.maxUnacceptedCount + 2; index += 1) {
            const socket = open();
            await new Promise(resolve => socket.once("connect", resolve));
            opened.push(socket);
        }
        await eventually("two are closed", () => opened.filter(socket => socket.closed).length >= 2 || undefined);
        expect(opened.map(socket => socket.closed)).toEqual([true, true, false, false, false, false, false]);
        expect((await peer.calls.getStatus({})).processId).toBe("p1");
    });

    it("are closed once a call was refused, after the answer", async () => {
        const session = connectHttp2(`http://127.0.0.1:${server.port}`);
        session.on("error", () => undefined);
        const stream = session.request({ ":method": "POST", ":path": "/x", authorization: "Bearer other" });
        // The call has a body without end.
        stream.write(Buffer.alloc(1000));
        stream.on("error", () => undefined);
        const status = await new Promise(resolve => stream.once("response", headers => resolve(headers[":status"])));
        expect(status).toBe(401);
        await eventually("the connection is closed", () => session.closed || undefined);
        expect(refusedCallCount).toBe(1);
    });

    it("are closed at once when they bring many calls", async () => {
        const session = connectHttp2(`http://127.0.0.1:${server.port}`);
        session.on("error", () => undefined);
        await new Promise(resolve => {
            session.once("close", resolve);
            for (let index = 0; index < 100; index += 1) {
                session.request({ ":method": "POST", ":path": "/x" }).on("error", () => undefined).resume();
            }
        });
        expect(refusedCallCount).toBeLessThan(100);
        expect((await peer.calls.getStatus({})).processId).toBe("p1");
    });
});
