import { PeerClient } from "@skylarkmill/gateway";
import { afterEach, describe, expect, it } from "vitest";
import { createPeerApp, type PeerAppOptions } from "../../packages/gateway/src/node/peer-app.ts";
import { startRepeatingServer } from "../support/repeating-server.ts";

const CALL_COUNT = 8;
const cleanups: (() => Promise<unknown>)[] = [];

afterEach(async () => {
    for (const close of cleanups.splice(0).reverse()) await close();
});

// Guards against a gateway that takes a late copy of a peer's earlier response for the response to its call, and so
// follows an old copy of the keys.
describe("a peer's response that is sent once more on a kept connection", () => {
    it("is not taken for the response to another call", async () => {
        const peer = await startRepeatingServer({
            respond: ({ path, headers }) => {
                const callId = headers["x-skylarkmill-call-id"] ?? "";
                const revision = Number(new URL(path, "http://peer").searchParams.get("revision"));
                return {
                    status: 200,
                    headers: { "x-skylarkmill-call-id": callId },
                    body: JSON.stringify({ revision: revision + 1, entries: [] }),
                };
            },
        });
        const client = new PeerClient();
        cleanups.push(() => peer.close(), () => client.close());
        const address = new URL(peer.url).host;
        const outcomes: unknown[] = [];
        for (let revision = 1; revision <= CALL_COUNT; revision += 1) {
            const result = await client.fetchView(address, revision);
            if (result.isOk()) outcomes.push([revision, result.value?.revision]);
            else expect(result.error.code).toBe("unavailable");
        }
        expect(outcomes).not.toHaveLength(0);
        expect(outcomes).toEqual(outcomes.map(outcome => (outcome as number[])[0]!).map(sent => [sent, sent + 1]));
        expect(peer.connectionCount).toBeLessThan(CALL_COUNT);
    });

    it.each(["/healthz", "/unknown"])("can be told from others by the id of its call: %s", async path => {
        const app = createPeerApp({} as PeerAppOptions);
        const response = await app.request(path, { headers: { "x-skylarkmill-call-id": "7" } });
        expect(response.headers.get("x-skylarkmill-call-id")).toBe("7");
    });
});
