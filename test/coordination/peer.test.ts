import { create } from "@bufbuild/protobuf";
import { createPeerClient, createPeerServer, type PeerServer } from "@skylarkmill/coordination";
import { type ProcessId, ProcessStatusSchema, PushResponseSchema, toId } from "@skylarkmill/protocol";
import { afterEach, describe, expect, it } from "vitest";

const openServers: PeerServer[] = [];
const refusedReasons: string[] = [];

async function startServer(port = 0) {
    const server = await createPeerServer({
        host: "127.0.0.1",
        port,
        keys: () => ["new", "old"],
        handlers: {
            getStatus: () => create(ProcessStatusSchema, { processId: "p1" }),
            push: () => create(PushResponseSchema, { applied: 0 }),
        },
        onRefused: reason => refusedReasons.push(reason),
    });
    return server.map(value => {
        openServers.push(value);
        return value;
    });
}

afterEach(async () => {
    refusedReasons.length = 0;
    await Promise.all(openServers.splice(0).map(server => server.close()));
});

describe("peer interface", () => {
    // Guards against calls from processes without a valid peer key, and against peers
    // that are refused during a key rotation.
    const keys = [
        { key: "new", accepted: true },
        { key: "old", accepted: true },
        { key: "wrong", accepted: false },
        { key: "", accepted: false },
    ];
    it.each(keys)("handles a call with key '$key' (accepted: $accepted)", async ({ key, accepted }) => {
        const { port } = (await startServer())._unsafeUnwrap();
        const peer = createPeerClient({
            processId: toId<ProcessId>("p1"),
            address: "127.0.0.1",
            port,
            keys: () => [key],
        });
        const respondingProcessId = await peer.calls.getStatus({}).then(status => status.processId, () => undefined);
        expect(respondingProcessId).toBe(accepted ? "p1" : undefined);
        expect(refusedReasons).toEqual(accepted ? [] : ["key"]);
        peer.close();
    });

    it("refuses an HTTP/1.1 request and an oversized message, and continues serving", async () => {
        const { port } = (await startServer())._unsafeUnwrap();
        const response = await fetch(`http://127.0.0.1:${port}/`).catch(() => undefined);
        expect(response?.ok ?? false).toBe(false);
        const peer = createPeerClient({
            processId: toId<ProcessId>("p1"),
            address: "127.0.0.1",
            port,
            keys: () => ["new"],
        });
        const record = { key: "k", version: 1n, nonce: "n", editId: "e", value: new Uint8Array(5 * 1024 * 1024) };
        await expect(peer.calls.push({ processId: "p2", records: [record] })).rejects.toThrow();
        expect((await peer.calls.getStatus({})).processId).toBe("p1");
        peer.close();
    });

    // Guards against two agents on one host that send orders to the same model engine.
    it("binds its port exclusively", async () => {
        const { port } = (await startServer())._unsafeUnwrap();
        const second = await startServer(port);
        expect(second._unsafeUnwrapErr().code).toBe("unavailable");
    });
});
