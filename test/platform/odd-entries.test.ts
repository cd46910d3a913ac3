import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { eventually } from "../support/eventually.ts";
import { PlatformFixture } from "./stand-ins/fixture.ts";
import type { PlatformServerStandIn } from "./stand-ins/platform-server.ts";

let fixture: PlatformFixture;
let desk: PlatformServerStandIn;
let nextId = 0;

beforeAll(async () => {
    fixture = await PlatformFixture.start();
    desk = await fixture.addServer({ id: "d1", service: "desk" });
    await fixture.addGateway("edge-1");
    await fixture.waitUntilServerAvailable(0, "d1");
});

afterAll(async () => {
    await fixture.close();
});

function listServers(): string[] {
    const { servers } = fixture.gateways[0]!.gateway.status() as { servers: { serverId: string; }[]; };
    return servers.map(({ serverId }) => serverId);
}

// Guards against an odd entry of another writer that ends the gateway, stops it from following the entries, or gets
// requests that it can't serve.
describe("an odd entry among those of the servers", () => {
    const address = (text: string): object => ({ ...desk.toServerRecord(), address: text });
    const cases: readonly { name: string; createEntry: () => unknown; }[] = [
        { name: "the port 0", createEntry: () => address("127.0.0.1:0") },
        { name: "a port out of range", createEntry: () => address("127.0.0.1:65536") },
        { name: "a negative port", createEntry: () => address("127.0.0.1:-1") },
        { name: "a host out of range", createEntry: () => address("999.1.1.1:80") },
        { name: "a host name", createEntry: () => address("localhost:80") },
        {
            name: "more slots than a server can have",
            createEntry: () => ({ ...desk.toServerRecord(), slots: Number.MAX_SAFE_INTEGER }),
        },
        { name: "a number that is too large", createEntry: () => ({ ...desk.toServerRecord(), born: 1e308 }) },
        {
            name: "an infinite number",
            createEntry: () => JSON.stringify(desk.toServerRecord()).replace("8,", "1e999,"),
        },
        { name: "deep nesting", createEntry: () => "[".repeat(200_000) + "]".repeat(200_000) },
        {
            name: "deep nesting in a field",
            createEntry: () => ({
                ...desk.toServerRecord(),
                models: JSON.parse("[".repeat(3_000) + "]".repeat(3_000)) as unknown,
            }),
        },
        { name: "null", createEntry: () => "null" },
        { name: "a list", createEntry: () => "[]" },
        { name: "no JSON", createEntry: () => "{" },
        { name: "no text", createEntry: () => "" },
    ];

    it.each(cases)("costs that entry alone: $name", async ({ createEntry }) => {
        nextId += 1;
        fixture.store.put(`servers/odd-${nextId}`, createEntry());
        const next = `next-${nextId}`;
        fixture.store.put(`servers/${next}`, { ...desk.toServerRecord(), state: "draining" });
        await eventually("the next entry is followed", () => listServers().includes(next) || undefined, 4_000);
        expect(listServers()).not.toContain(`odd-${nextId}`);
        expect(await fixture.call(0, "/orders/x")).toMatchObject({ status: 200 });
    });
});
