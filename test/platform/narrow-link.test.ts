import { PeerClient } from "@skylarkmill/gateway";
import { PlatformStore } from "@skylarkmill/platform";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { eventually } from "../support/eventually.ts";
import { createConfigurationDocument, HOST, PlatformFixture } from "./stand-ins/fixture.ts";
import { PlatformStoreStandIn } from "./stand-ins/platform-store.ts";

/** What other traffic leaves of a link of 7 Mbit/s. */
const NARROW_BYTES_PER_SECOND = 500_000;
const ADDED_ROUTE_COUNT = 4_000;
const STALL_MS = 700;
const closers: (() => Promise<unknown>)[] = [];

afterEach(async () => {
    for (const close of closers.splice(0).reverse()) await close();
});

function createLargeDocument(version: number): Record<string, unknown> {
    const { routes } = createConfigurationDocument() as { routes: object[]; };
    const added = Array.from({ length: ADDED_ROUTE_COUNT }, (_, index) => ({
        ...routes.at(-1),
        name: `added-${index}`,
        prefix: `/added-${index}/`,
    }));
    return createConfigurationDocument(version, { routes: [...routes, ...added] });
}

async function startStore(): Promise<PlatformStoreStandIn> {
    const store = await PlatformStoreStandIn.start();
    closers.push(() => store.close());
    return store;
}

function createClient(store: PlatformStoreStandIn): PlatformStore {
    const client = new PlatformStore({ address: store.address });
    closers.push(() => client.close());
    return client;
}

// Guards against a configuration that no gateway on a narrow link could read: one timeout of 700 ms bounded the whole
// response, and each retry began anew.
describe("a large configuration on a narrow link", () => {
    it("is read in full", async () => {
        const store = await startStore();
        const text = JSON.stringify(createLargeDocument(2));
        store.put("op/config", text);
        store.bytesPerSecond = NARROW_BYTES_PER_SECOND;
        const result = (await createClient(store).range("op/config"))._unsafeUnwrap();
        expect(result.entries.map(({ value }) => value === text)).toEqual([true]);
    });

    it("is received by a watch", async () => {
        const store = await startStore();
        store.put("op/config", createLargeDocument(2));
        store.bytesPerSecond = NARROW_BYTES_PER_SECOND;
        const abort = new AbortController();
        for await (const events of createClient(store).watch("", 1, abort.signal)) {
            expect(events.map(({ entry }) => entry.key)).toEqual(["op/config"]);
            abort.abort();
        }
        expect(abort.signal.aborted).toBe(true);
    });

    it("is served by a gateway that starts", async () => {
        const fixture = await PlatformFixture.start();
        closers.push(() => fixture.close());
        await fixture.addServer({ id: "d1", service: "desk" });
        fixture.store.put("op/config", createLargeDocument(2));
        fixture.store.bytesPerSecond = NARROW_BYTES_PER_SECOND;
        const gateway = await fixture.addGateway("edge-1");
        await fixture.waitUntilServerAvailable(gateway, "d1");
        const path = `/added-${ADDED_ROUTE_COUNT - 1}/x`;
        expect(await fixture.call(gateway, path, { method: "GET", headers: { host: HOST } }))
            .toMatchObject({ status: 200 });
    });
});

// Guards against a false 404: a gateway answered from a copy that nobody had confirmed, while the route was in force.
describe("a path that no known route serves", () => {
    it("is refused as not run while the configuration may be out of date, and as unknown once it is confirmed", async () => {
        const fixture = await PlatformFixture.start();
        closers.push(() => fixture.close());
        const first = await fixture.addGateway("edge-1");
        expect(await fixture.call(first, "/nothing/here")).toMatchObject({ status: 404 });
        fixture.store.outage = "unavailable";
        // The second gateway starts in the outage and takes the copy of the first one.
        const second = await fixture.addGateway("edge-2");
        for (const gateway of [first, second]) {
            await eventually("the path is refused", async () => {
                const response = await fixture.call(gateway, "/nothing/here");
                if (response.status === 404) return undefined;
                expect(response).toMatchObject({
                    status: 503,
                    headers: { "retry-after": expect.anything() as string },
                });
                expect(JSON.parse(response.text)).toMatchObject({ error: { execution: "not_run" } });
                return true;
            }, 4_000);
        }
        fixture.store.outage = "none";
        for (const gateway of [first, second]) {
            await eventually("the path is unknown", async () => {
                const response = await fixture.call(gateway, "/nothing/here");
                return response.status === 404 ? true : undefined;
            }, 4_000);
        }
    });
});

describe("a response of the key-value service that stalls", () => {
    it("ends the call", async () => {
        const server = await listenWith((_request, response) => {
            response.writeHead(200, { "content-length": 1_000_000 });
            response.write("{");
        });
        const client = new PlatformStore({ address: server });
        closers.push(() => client.close());
        const startedAtMs = performance.now();
        const result = await client.range("op/config");
        expect(result.isErr()).toBe(true);
        expect(performance.now() - startedAtMs).toBeLessThan(2 * STALL_MS);
    });
});

// Guards against a peer's copy that could not be taken over: a timeout of 600 ms bounded the whole response.
describe("a large copy of a peer on a narrow link", () => {
    it.each(["fetchView", "fetchViewChanges"] as const)("is read in full by %s", async method => {
        const entries = [{ key: "op/config", value: JSON.stringify(createLargeDocument(2)), modRevision: 7 }];
        const text = JSON.stringify({ revision: 7, ageMs: 0, isComplete: true, entries, removed: [] });
        const peer = await listenWith((_request, response) => {
            const bytes = Buffer.from(text);
            const chunkSize = NARROW_BYTES_PER_SECOND / 20;
            let offset = 0;
            const timer = setInterval(() => {
                response.write(bytes.subarray(offset, offset + chunkSize));
                offset += chunkSize;
                if (offset < bytes.length) return;
                clearInterval(timer);
                response.end();
            }, 50);
        });
        const client = new PeerClient();
        closers.push(() => client.close());
        const result = (await client[method](peer, 1))._unsafeUnwrap();
        expect(result?.entries).toEqual(entries);
    });
});

async function listenWith(handler: NonNullable<Parameters<typeof createServer>[1]>): Promise<string> {
    const server: Server = createServer(handler);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    closers.push(async () => {
        server.closeAllConnections();
        await new Promise(resolve => server.close(resolve));
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}
