import { connect } from "node:net";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { eventually } from "../support/eventually.ts";
import { createCatalogDocument, PlatformFixture } from "./stand-ins/fixture.ts";
import type { PlatformServerStandIn, ServerFault } from "./stand-ins/platform-server.ts";

let fixture: PlatformFixture;
let engine1: PlatformServerStandIn;
let engine2: PlatformServerStandIn;
let desk1: PlatformServerStandIn;
let desk2: PlatformServerStandIn;

beforeAll(async () => {
    fixture = await PlatformFixture.start();
    engine1 = await fixture.addServer({ id: "e1", service: "assistant", models: ["m1", "m2"] });
    engine2 = await fixture.addServer({ id: "e2", service: "assistant", models: ["m1", "m2"] });
    desk1 = await fixture.addServer({ id: "d1", service: "desk" });
    desk2 = await fixture.addServer({ id: "d2", service: "desk" });
    await fixture.addGateway("edge-1");
    for (const id of ["e1", "e2", "d1", "d2"]) await fixture.waitUntilServerKnown(0, id);
});

afterAll(async () => {
    await fixture.close();
});

/** Applies the fault to the next request that reaches any of the servers. */
function failOnce(servers: readonly PlatformServerStandIn[], fault: ServerFault): void {
    for (const server of servers) server.faults.length = 0;
    const [first] = servers;
    for (const server of servers) server.faults.push(fault);
    // The server that gets the next request consumes its fault; then the faults of the other servers are removed.
    const clear = (): void => {
        if (servers.every(server => server.faults.length > 0)) return void setImmediate(clear);
        for (const server of servers) server.faults.length = 0;
    };
    if (first !== undefined) setImmediate(clear);
}

function countRuns(id: string): number {
    return [engine1, engine2, desk1, desk2].reduce((sum, server) => sum + server.countRuns(id), 0);
}

function eventText(from: number, to: number): string {
    return Array.from({ length: to - from + 1 }, (_, index) => `id: ${from + index}\ndata: piece ${from + index}\n\n`)
        .join("");
}

describe("routes", () => {
    it.each([
        { name: "a path below a route prefix", path: "/orders/new", status: 200 },
        { name: "the prefix itself", path: "/orders/", status: 200 },
        { name: "a path without a route", path: "/nothing/here", status: 404 },
        { name: "the prefix without its trailing slash", path: "/orders", status: 404 },
    ])("responds with status $status to $name", async ({ path, status }) => {
        expect(await fixture.call(0, path)).toMatchObject({ status });
    });

    it("refuses a request without an attempt id and a body over the size limit", async () => {
        expect(await fixture.call(0, "/orders/x", { headers: { "x-attempt-id": "" } })).toMatchObject({ status: 400 });
        expect(await fixture.call(0, "/orders/x", { body: "x".repeat(5_000) })).toMatchObject({ status: 413 });
    });

    it("forwards method, path, body and headers, and removes headers that only the system may set", async () => {
        const id = fixture.newId();
        const headers = {
            "x-attempt-id": id,
            "x-own": "kept",
            "x-hold": "h1",
            "kv-from": "1.2.3.4:5/6",
            "x-request-priority": "0",
        };
        await fixture.call(0, "/orders/a?b=c", { headers, body: "one part" });
        const arrival = [...desk1.arrivals, ...desk2.arrivals].find(known => known.id === id);
        expect(arrival).toMatchObject({ method: "POST", path: "/orders/a?b=c", body: "one part" });
        expect(arrival!.headers).toMatchObject({ "x-own": "kept", host: "depot.example" });
        expect(Object.keys(arrival!.headers)).not.toEqual(expect.arrayContaining(["x-hold"]));
        expect(Object.keys(arrival!.headers)).not.toEqual(expect.arrayContaining(["kv-from"]));
        expect(Object.keys(arrival!.headers)).not.toEqual(expect.arrayContaining(["x-request-priority"]));
        expect(Number(arrival!.headers["x-deadline-ms"])).toBeLessThanOrEqual(2_000);
    });
});

// Guards against repeated execution, wrong refusals and incomplete responses for each fault of a plain service.
describe("plain services", () => {
    const cases: readonly {
        fault: ServerFault;
        order: { status: number; runs: number; };
        lookup: { status: number; runs: number; };
    }[] = [
        { fault: "full", order: { status: 200, runs: 1 }, lookup: { status: 200, runs: 1 } },
        { fault: "not_held", order: { status: 200, runs: 1 }, lookup: { status: 200, runs: 1 } },
        { fault: "error", order: { status: 500, runs: 1 }, lookup: { status: 200, runs: 2 } },
        { fault: "reset_before_answer", order: { status: 502, runs: 1 }, lookup: { status: 200, runs: 2 } },
        { fault: "cut_body", order: { status: 502, runs: 1 }, lookup: { status: 200, runs: 2 } },
        { fault: "no_length", order: { status: 200, runs: 1 }, lookup: { status: 200, runs: 1 } },
        { fault: "reset_without_length", order: { status: 502, runs: 1 }, lookup: { status: 200, runs: 2 } },
        { fault: "second_answer", order: { status: 200, runs: 1 }, lookup: { status: 200, runs: 1 } },
        { fault: "no_seal", order: { status: 502, runs: 1 }, lookup: { status: 200, runs: 2 } },
        { fault: "other_id", order: { status: 502, runs: 1 }, lookup: { status: 200, runs: 2 } },
        { fault: "silent", order: { status: 504, runs: 1 }, lookup: { status: 200, runs: 2 } },
    ];

    it.each(cases)("runs an order at most once after $fault", async ({ fault, order }) => {
        failOnce([desk1, desk2], fault);
        const id = fixture.newId();
        const answer = await fixture.call(0, "/orders/x", { headers: { "x-attempt-id": id, "x-deadline-ms": "600" } });
        expect({ status: answer.status, runs: countRuns(id) }).toEqual(order);
        if (answer.status === 200) expect(answer.text).toMatch(/^done by d[12]$/);
    });

    it.each(cases)("retries a lookup where a retry can succeed after $fault", async ({ fault, lookup }) => {
        failOnce([desk1, desk2], fault);
        const id = fixture.newId();
        const headers = { "x-attempt-id": id, "x-deadline-ms": "600" };
        const answer = await fixture.call(0, "/lookup/x", { method: "GET", headers });
        expect({ status: answer.status, runs: countRuns(id) }).toEqual(lookup);
        expect(answer.text).toMatch(/^done by d[12]$/);
    });
});

// Guards against forwarding a truncated response as complete: the server closed the connection of a response without a
// length after 61 of 403 bytes, and the gateway added a length (trouble-2 of depot-bl, MIXED).
describe("responses without a length", () => {
    it.each([{ path: "/orders/x", method: "POST" }, { path: "/lookup/x", method: "GET" }] as const)(
        "are forwarded without a length on $path",
        async ({ path, method }) => {
            failOnce([desk1, desk2], "no_length");
            const answer = await fixture.call(0, path, { method });
            expect(answer).toMatchObject({ status: 200, text: expect.stringMatching(/^done by d[12]$/) as string });
            expect(answer.headers["content-length"]).toBeUndefined();
            expect(answer.headers["transfer-encoding"]).toBeUndefined();
            expect(answer.headers["connection"]).toBe("close");
        },
    );
});

// Guards against missing or duplicate events, and against broken streams that end as if they were complete.
describe("streams", () => {
    const cut: readonly ServerFault[] = [
        "cut_stream",
        "cut_event",
        "reset_before_answer",
        "silent",
        "no_seal",
        "other_id",
    ];
    const headers = { "x-model": "m1", "x-token-count": "100,60" };

    it("forwards the events", async () => {
        const answer = await fixture.call(0, "/chat/x", { headers });
        expect(answer).toMatchObject({ status: 200, broken: false, text: eventText(1, 6) });
        expect(answer.headers["x-response-seal"]).toBeDefined();
    });

    it("continues after the caller's last event id", async () => {
        const answer = await fixture.call(0, "/chat/x", { headers: { ...headers, "last-event-id": "4" } });
        expect(answer).toMatchObject({ status: 200, text: eventText(5, 6) });
    });

    it.each(cut)("resumes a resumable stream on another server after %s", async fault => {
        failOnce([engine1, engine2], fault);
        const answer = await fixture.call(0, "/chat/x", { headers });
        expect(answer).toMatchObject({ status: 200, broken: false, text: eventText(1, 6) });
    });

    it.each(
        [
            { fault: "cut_stream", status: 200, broken: true },
            { fault: "cut_event", status: 200, broken: true },
            { fault: "reset_before_answer", status: 502, broken: false },
            { fault: "no_seal", status: 502, broken: false },
        ] as const,
    )("never completes a stream that is not resumable after $fault", async ({ fault, status, broken }) => {
        failOnce([engine1, engine2], fault);
        const id = fixture.newId();
        const answer = await fixture.call(0, "/draft/x", { headers: { ...headers, "x-attempt-id": id } });
        expect({ status: answer.status, broken: answer.broken, runs: countRuns(id) }).toEqual({
            status,
            broken,
            runs: 1,
        });
    });
});

// Guards against failing requests at the only server that has their model: after 0.7 s without an event the attempt was
// abandoned, no other server became available, and the caller got 502 (287 attempts of scale-1 of depot-bl).
describe("the only server that has the model", () => {
    it.each(
        [
            { fault: "late_start", runs: 1 },
            { fault: "reset_before_answer", runs: 2 },
            { fault: "cut_stream", runs: 2 },
        ] as const,
    )("serves a resumable stream after $fault", async ({ fault, runs }) => {
        const headers = { "x-model": "m3" };
        expect(await fixture.call(0, "/chat/x", { headers })).toMatchObject({ status: 200 });
        const holders = [engine1, engine2].filter(engine => engine.loadedModels.has("m3"));
        expect(holders).toHaveLength(1);
        holders[0]!.faults.push(fault);
        const id = fixture.newId();
        const answer = await fixture.call(0, "/chat/x", { headers: { ...headers, "x-attempt-id": id } });
        expect({ status: answer.status, broken: answer.broken, text: answer.text, runs: countRuns(id) })
            .toEqual({ status: 200, broken: false, text: eventText(1, 6), runs });
    });
});

describe("callers that disconnect", () => {
    it("make the gateway close the engine's connection within 500 ms", async () => {
        failOnce([engine1, engine2], "silent");
        const id = fixture.newId();
        const leaving = new AbortController();
        const call = fixture.call(0, "/draft/x", {
            headers: { "x-model": "m1", "x-attempt-id": id },
            signal: leaving.signal,
        });
        const arrival = await eventually(
            "the request runs",
            () => [...engine1.arrivals, ...engine2.arrivals].find(known => known.id === id && known.hasStarted),
        );
        leaving.abort();
        await expect(call).rejects.toThrow();
        await eventually("the engine's connection closes", () => arrival.isAbandoned ? true : undefined, 500);
    });
});

// Guards against sending requests whose callers disconnected while the process was paused: the gateway read them after
// the pause and sent them all (GONE on trouble-1 of ccrma-works, seed 1093099565175, nine requests; 10 of 10 here).
describe("callers that disconnected while the process was paused", () => {
    const PAUSE_MS = 600;

    function disconnectBeforePause(id: string): Promise<void> {
        return new Promise(resolve => {
            const head =
                `GET /lookup/x HTTP/1.1\r\nHost: depot.example\r\nX-Attempt-Id: ${id}\r\nX-Deadline-Ms: 1500\r\n\r\n`;
            const socket = connect(fixture.frontPort(0), "127.0.0.1", () => {
                socket.write(head, () => {
                    socket.destroy();
                    const endAtMs = performance.now() + PAUSE_MS;
                    while (performance.now() < endAtMs);
                    resolve();
                });
            });
        });
    }

    it("cause no execution on a backend server", async () => {
        const ids = [fixture.newId(), fixture.newId(), fixture.newId()];
        for (const id of ids) {
            await disconnectBeforePause(id);
            await new Promise(resolve => setTimeout(resolve, 100));
        }
        expect(ids.filter(id => countRuns(id) > 0)).toEqual([]);
        // The gateway still serves requests.
        expect(await fixture.call(0, "/lookup/x", { method: "GET" })).toMatchObject({ status: 200 });
    });
});

describe("models", () => {
    it("loads the model that a request waits for, then serves the request", async () => {
        const answer = await fixture.call(0, "/chat/x", { headers: { "x-model": "m3" } });
        expect(answer).toMatchObject({ status: 200, text: eventText(1, 6) });
        for (const engine of [engine1, engine2]) expect(engine.loadedModels.size).toBeLessThanOrEqual(2);
    });

    it("loads adapters within the engine's adapter limit", async () => {
        for (const adapter of ["a1", "a2", "a3", "a1"]) {
            const answer = await fixture.call(0, "/chat/x", { headers: { "x-model": `m3/${adapter}` } });
            expect(answer.status).toBe(200);
        }
        for (const engine of [engine1, engine2]) {
            const count = [...engine.loadedModels.values()].reduce((sum, adapters) => sum + adapters.size, 0);
            expect(count).toBeLessThanOrEqual(2);
        }
    });
});

describe("configuration", () => {
    it("applies a newer version and ignores older or invalid ones", async () => {
        const newDocument = createCatalogDocument(5, {
            routes: [{
                name: "n",
                host: "depot.example",
                prefix: "/new/",
                type: "idempotent",
                timeout_ms: 1_000,
                service: "desk",
            }],
        });
        fixture.store.put("op/config", newDocument);
        await eventually(
            "the new route is served",
            async () => (await fixture.call(0, "/new/x")).status === 200 ? true : undefined,
            2_000,
        );
        fixture.store.put("op/config", createCatalogDocument(3));
        await new Promise(resolve => setTimeout(resolve, 1_200));
        expect((await fixture.call(0, "/new/x")).status).toBe(200);
        fixture.store.put("op/config", "not a document");
        fixture.store.put("op/config", createCatalogDocument(7));
        await eventually(
            "the previous route is served again",
            async () => (await fixture.call(0, "/lookup/x")).status === 200 ? true : undefined,
            2_000,
        );
    });
});

describe("draining servers", () => {
    it("get no new requests while draining or with an invalid record", async () => {
        fixture.store.put("servers/d1", desk1.toServerRecord("draining"));
        await fixture.waitUntilServerKnown(0, "d1", false);
        const before = desk1.arrivals.length;
        for (let count = 0; count < 10; count += 1) await fixture.call(0, "/lookup/x", { method: "GET" });
        // A ready record of the same process start does not end the draining state.
        fixture.store.put("servers/d1", desk1.toServerRecord());
        await new Promise(resolve => setTimeout(resolve, 1_200));
        await fixture.waitUntilServerKnown(0, "d1", false);
        for (let count = 0; count < 10; count += 1) await fixture.call(0, "/lookup/x", { method: "GET" });
        expect(desk1.arrivals.length).toBe(before);
        fixture.store.put("servers/d1", { service: "desk", state: "unheard-of" });
        await fixture.waitUntilServerKnown(0, "d1", false);
    });
});
