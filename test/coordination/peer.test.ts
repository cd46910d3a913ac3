import { create } from "@bufbuild/protobuf";
import { createPeerClient, createPeerServer, type PeerServer } from "@skylarkmill/coordination";
import { type ProcessId, ProcessStatusSchema, PushResponseSchema, toId } from "@skylarkmill/protocol";
import { afterEach, describe, expect, it } from "vitest";

const open: PeerServer[] = [];
const refused: string[] = [];

async function serve(port = 0) {
    const server = await createPeerServer({
        host: "127.0.0.1",
        port,
        keys: () => ["new", "old"],
        handlers: {
            getStatus: () => create(ProcessStatusSchema, { processId: "p1" }),
            push: () => create(PushResponseSchema, { applied: 0 }),
        },
        onRefused: reason => refused.push(reason),
    });
    return server.map(value => {
        open.push(value);
        return value;
    });
}

afterEach(async () => {
    refused.length = 0;
    await Promise.all(open.splice(0).map(server => server.close()));
});

describe("peer interface", () => {
    // Guards against orders from processes without the system's key, and against a rotation that cuts peers off.
    const keys = [
        { key: "new", accepted: true },
        { key: "old", accepted: true },
        { key: "wrong", accepted: false },
        { key: "", accepted: false },
    ];
    it.each(keys)("answers a call with key '$key': $accepted", async ({ key, accepted }) => {
        const { port } = (await serve())._unsafeUnwrap();
        const peer = createPeerClient({
            processId: toId<ProcessId>("p1"),
            address: "127.0.0.1",
            port,
            keys: () => [key],
        });
        const answer = await peer.calls.getStatus({}).then(status => status.processId, () => undefined);
        expect(answer).toBe(accepted ? "p1" : undefined);
        expect(refused).toEqual(accepted ? [] : ["key"]);
        peer.close();
    });

    it("refuses an oversized message and goes on serving", async () => {
        const { port } = (await serve())._unsafeUnwrap();
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

    // Guards against two agents that give orders to one engine.
    it("binds its port exclusively", async () => {
        const { port } = (await serve())._unsafeUnwrap();
        const second = await serve(port);
        expect(second._unsafeUnwrapErr().code).toBe("unavailable");
    });
});
