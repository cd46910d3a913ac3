import { createBackendClient, createHttpHostList, createTritonEngineControl } from "@skylarkmill/adapters";
import { createFaultProxy, createServiceStandIn, type FaultProxy, type ServiceStandIn } from "@skylarkmill/stand-ins";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, it } from "vitest";

const LOCAL = { host: "127.0.0.1", port: 0 };
const cleanups: (() => Promise<unknown>)[] = [];

afterEach(async () => {
    for (const close of cleanups.splice(0).reverse()) await close();
});

async function startServer(status: number, body: string): Promise<string> {
    const server: Server = createServer((_, response) => response.writeHead(status).end(body));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    cleanups.push(() => new Promise(resolve => server.close(resolve)));
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const entry = {
    hostId: "h1",
    dataCentre: "edinburgh",
    role: "router",
    state: "live",
    address: "127.0.0.1",
    peerPort: 1,
    requestPort: 2,
};

// Guards against external responses that crash the process or are accepted without validation.
describe("host list", () => {
    const cases = [
        { name: "a valid list", status: 200, body: { hosts: [entry] }, isAccepted: true },
        { name: "an unknown state", status: 200, body: { hosts: [{ ...entry, state: "asleep" }] }, isAccepted: false },
        {
            name: "a host name instead of an IP address",
            status: 200,
            body: { hosts: [{ ...entry, address: "example.org" }] },
            isAccepted: false,
        },
        {
            name: "a port out of range",
            status: 200,
            body: { hosts: [{ ...entry, peerPort: 70_000 }] },
            isAccepted: false,
        },
        { name: "a body of another form", status: 200, body: [], isAccepted: false },
        { name: "an error status", status: 500, body: { hosts: [] }, isAccepted: false },
        {
            name: "an oversized list",
            status: 200,
            body: { hosts: [{ ...entry, extra: "x".repeat(5_000_000) }] },
            isAccepted: false,
        },
    ];
    it.each(cases)("validates $name (accepted: $isAccepted)", async ({ status, body, isAccepted }) => {
        const list = createHttpHostList({ url: `${await startServer(status, JSON.stringify(body))}/hosts` });
        cleanups.push(() => list.close());
        const hosts = await list.read();
        expect(hosts.isOk()).toBe(isAccepted);
        if (hosts.isErr()) expect(hosts.error.code).toBe("unavailable");
    });
});

describe("engine index", () => {
    const cases = [
        { name: "text that is not JSON", body: "<html>", code: "protocol" },
        { name: "JSON of another form", body: "{}", code: "protocol" },
        { name: "an oversized body", body: `"${"x".repeat(5_000_000)}"`, code: "protocol" },
    ];
    it.each(cases)("returns $code for $name", async ({ body, code }) => {
        const control = createTritonEngineControl({ baseUrl: await startServer(200, body) });
        cleanups.push(() => control.close());
        expect(await control.readIndex()).toMatchObject({ error: { code } });
    });
});

// Guards against reporting a request as not run although it may have run, because such a request is sent again.
describe("backend client", () => {
    type Faults = Parameters<FaultProxy["setFaults"]>[0];
    const cases: readonly { name: string; faults: Faults; code: string; runs: number; }[] = [
        { name: "refused connections", faults: { mode: "refuse" }, code: "unavailable", runs: 0 },
        {
            name: "a connection that is reset before the response",
            faults: { direction: "from_target", resetAfterBytes: 1 },
            code: "outcome_unknown",
            runs: 1,
        },
        {
            name: "a response that never arrives",
            faults: { mode: "hang", direction: "from_target" },
            code: "outcome_unknown",
            runs: 1,
        },
        { name: "a request that never arrives", faults: { mode: "hang" }, code: "outcome_unknown", runs: 0 },
    ];
    it.each(cases)("returns $code for $name", async ({ faults, code, runs }) => {
        const service: ServiceStandIn = await createServiceStandIn({ listen: LOCAL, workMs: 1 });
        const proxy = await createFaultProxy({ listen: LOCAL, target: service });
        const client = createBackendClient({ baseUrl: `http://${proxy.host}:${proxy.port}` });
        cleanups.push(() => service.close(), () => proxy.close(), () => client.close());
        await proxy.setFaults(faults);
        const result = await client.send({
            method: "POST",
            path: "/orders",
            headers: { "content-type": "application/json" },
            body: "{}",
            signal: AbortSignal.timeout(300),
        });
        expect(result).toMatchObject({ error: { code } });
        const started = service.journal.list().filter(event => event.kind === "execution_started");
        expect(started).toHaveLength(runs);
    });
});
