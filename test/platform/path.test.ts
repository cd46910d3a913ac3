import { connect } from "node:net";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { eventually } from "../support/eventually.ts";
import { createConfigurationDocument, PlatformFixture } from "./stand-ins/fixture.ts";
import { failOnce, type PlatformServerStandIn, type ServerFault } from "./stand-ins/platform-server.ts";

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
    for (const id of ["e1", "e2", "d1", "d2"]) await fixture.waitUntilServerAvailable(0, id);
});

afterAll(async () => {
    await fixture.close();
});

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

    it("refuses a request without an attempt id, and a request whose body exceeds the size limit", async () => {
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
        const received = [...desk1.requests, ...desk2.requests].find(request => request.id === id);
        expect(received).toMatchObject({ method: "POST", path: "/orders/a?b=c", body: "one part" });
        expect(received!.headers).toMatchObject({ "x-own": "kept", host: "depot.example" });
        expect(Object.keys(received!.headers)).not.toEqual(expect.arrayContaining(["x-hold"]));
        expect(Object.keys(received!.headers)).not.toEqual(expect.arrayContaining(["kv-from"]));
        expect(Object.keys(received!.headers)).not.toEqual(expect.arrayContaining(["x-request-priority"]));
        expect(Number(received!.headers["x-deadline-ms"])).toBeLessThanOrEqual(2_000);
    });
});

// Guards against repeated execution, wrong refusals and incomplete responses for each fault of a plain service.
describe("plain services", () => {
    const cases: readonly {
        fault: ServerFault;
        nonIdempotent: { status: number; runs: number; };
        idempotent: { status: number; runs: number; };
    }[] = [
        { fault: "refused_as_not_run", nonIdempotent: { status: 200, runs: 1 }, idempotent: { status: 200, runs: 1 } },
        { fault: "misdirected", nonIdempotent: { status: 200, runs: 1 }, idempotent: { status: 200, runs: 1 } },
        { fault: "status_500", nonIdempotent: { status: 500, runs: 1 }, idempotent: { status: 200, runs: 2 } },
        {
            fault: "reset_before_response",
            nonIdempotent: { status: 502, runs: 1 },
            idempotent: { status: 200, runs: 2 },
        },
        { fault: "truncated_body", nonIdempotent: { status: 502, runs: 1 }, idempotent: { status: 200, runs: 2 } },
        { fault: "without_length", nonIdempotent: { status: 200, runs: 1 }, idempotent: { status: 200, runs: 1 } },
        {
            fault: "reset_without_length",
            nonIdempotent: { status: 502, runs: 1 },
            idempotent: { status: 200, runs: 2 },
        },
        { fault: "duplicate_response", nonIdempotent: { status: 200, runs: 1 }, idempotent: { status: 200, runs: 1 } },
        { fault: "missing_seal_header", nonIdempotent: { status: 502, runs: 1 }, idempotent: { status: 200, runs: 2 } },
        { fault: "wrong_attempt_id", nonIdempotent: { status: 502, runs: 1 }, idempotent: { status: 200, runs: 2 } },
        { fault: "silent", nonIdempotent: { status: 504, runs: 1 }, idempotent: { status: 200, runs: 2 } },
    ];

    it.each(cases)("runs a non-idempotent request at most once after $fault", async ({ fault, nonIdempotent }) => {
        failOnce([desk1, desk2], fault);
        const id = fixture.newId();
        const response = await fixture.call(0, "/orders/x", {
            headers: { "x-attempt-id": id, "x-deadline-ms": "600" },
        });
        expect({ status: response.status, runs: countRuns(id) }).toEqual(nonIdempotent);
        if (response.status === 200) expect(response.text).toMatch(/^done by d[12]$/);
    });

    it.each(cases)("retries a lookup where a retry can succeed after $fault", async ({ fault, idempotent }) => {
        failOnce([desk1, desk2], fault);
        const id = fixture.newId();
        const headers = { "x-attempt-id": id, "x-deadline-ms": "600" };
        const response = await fixture.call(0, "/lookup/x", { method: "GET", headers });
        expect({ status: response.status, runs: countRuns(id) }).toEqual(idempotent);
        expect(response.text).toMatch(/^done by d[12]$/);
    });
});

// Guards against forwarding a truncated response as complete: the server closed the connection of a response without a
// length after 61 of 403 bytes, and the gateway added a length.
describe("responses without a length", () => {
    it.each([{ path: "/orders/x", method: "POST" }, { path: "/lookup/x", method: "GET" }] as const)(
        "are forwarded without a length on $path",
        async ({ path, method }) => {
            failOnce([desk1, desk2], "without_length");
            const response = await fixture.call(0, path, { method });
            expect(response).toMatchObject({ status: 200, text: expect.stringMatching(/^done by d[12]$/) as string });
            expect(response.headers["content-length"]).toBeUndefined();
            expect(response.headers["transfer-encoding"]).toBeUndefined();
            expect(response.headers["connection"]).toBe("close");
        },
    );

    // Guards against cut responses that look complete: Node reports a reset that arrives with the last bytes as a regular
    // end of the connection.
    it.each([
        { path: "/orders/x", expected: { status: 502, runs: 1 } },
        { path: "/lookup/x", expected: { status: 200, runs: 2 } },
    ])("are lost if they are reset with their last bytes on $path", async ({ path, expected }) => {
        failOnce([desk1, desk2], "reset_with_last_bytes");
        const id = fixture.newId();
        const response = await fixture.call(0, path, { headers: { "x-attempt-id": id } });
        expect({ status: response.status, runs: countRuns(id) }).toEqual(expected);
    });
});

// Guards against missing or duplicate events, and against interrupted streams that end as if they were complete.
describe("streams", () => {
    const faults: readonly ServerFault[] = [
        "closed_between_events",
        "closed_within_event",
        "reset_before_response",
        "silent",
        "missing_seal_header",
        "wrong_attempt_id",
    ];
    const headers = { "x-model": "m1", "x-token-count": "100,60" };

    it("forwards the events", async () => {
        const response = await fixture.call(0, "/chat/x", { headers });
        expect(response).toMatchObject({ status: 200, isTruncated: false, text: eventText(1, 6) });
        expect(response.headers["x-response-seal"]).toBeDefined();
    });

    it("continues after the caller's last event id", async () => {
        const response = await fixture.call(0, "/chat/x", { headers: { ...headers, "last-event-id": "4" } });
        expect(response).toMatchObject({ status: 200, text: eventText(5, 6) });
    });

    it.each(faults)("resumes a resumable stream on another server after %s", async fault => {
        failOnce([engine1, engine2], fault);
        const response = await fixture.call(0, "/chat/x", { headers });
        expect(response).toMatchObject({ status: 200, isTruncated: false, text: eventText(1, 6) });
    });

    it.each(
        [
            { fault: "closed_between_events", status: 200, isTruncated: true },
            { fault: "closed_within_event", status: 200, isTruncated: true },
            { fault: "reset_before_response", status: 502, isTruncated: false },
            { fault: "missing_seal_header", status: 502, isTruncated: false },
        ] as const,
    )(
        "neither retries a non-resumable stream nor forwards it as complete after $fault",
        async ({ fault, status, isTruncated }) => {
            failOnce([engine1, engine2], fault);
            const id = fixture.newId();
            const response = await fixture.call(0, "/draft/x", { headers: { ...headers, "x-attempt-id": id } });
            expect({ status: response.status, isTruncated: response.isTruncated, runs: countRuns(id) }).toEqual({
                status,
                isTruncated,
                runs: 1,
            });
        },
    );
});

// Guards against failing requests at the only server that has their model: after 0.7 s without an event the attempt was
// abandoned, no other server became available, and the caller got 502 (287 attempts in one run).
describe("the only server that has the model", () => {
    it.each(
        [
            { fault: "delayed_start", runs: 1 },
            { fault: "reset_before_response", runs: 2 },
            { fault: "closed_between_events", runs: 2 },
        ] as const,
    )("serves a resumable stream after $fault", async ({ fault, runs }) => {
        const headers = { "x-model": "m3" };
        expect(await fixture.call(0, "/chat/x", { headers })).toMatchObject({ status: 200 });
        const holders = [engine1, engine2].filter(engine => engine.loadedModels.has("m3"));
        expect(holders).toHaveLength(1);
        holders[0]!.faults.push(fault);
        const id = fixture.newId();
        const response = await fixture.call(0, "/chat/x", { headers: { ...headers, "x-attempt-id": id } });
        expect({ status: response.status, isTruncated: response.isTruncated, text: response.text, runs: countRuns(id) })
            .toEqual({ status: 200, isTruncated: false, text: eventText(1, 6), runs });
    });
});

describe("callers that disconnect", () => {
    it("make the gateway close the engine's connection within 500 ms", async () => {
        failOnce([engine1, engine2], "silent");
        const id = fixture.newId();
        const callerAbort = new AbortController();
        const call = fixture.call(0, "/draft/x", {
            headers: { "x-model": "m1", "x-attempt-id": id },
            signal: callerAbort.signal,
        });
        const received = await eventually(
            "the request runs",
            () => [...engine1.requests, ...engine2.requests].find(request => request.id === id && request.hasStarted),
        );
        callerAbort.abort();
        await expect(call).rejects.toThrow();
        await eventually("the engine's connection closes", () => received.isAbandoned ? true : undefined, 500);
    });
});

// Guards against sending requests to a backend server although their callers disconnected while the gateway's process
// was paused: after the pause the gateway read each request and sent it before it read the end of the caller's
// connection (nine requests in one run, 10 of 10 in a trial).
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
        const response = await fixture.call(0, "/chat/x", { headers: { "x-model": "m3" } });
        expect(response).toMatchObject({ status: 200, text: eventText(1, 6) });
        for (const engine of [engine1, engine2]) expect(engine.loadedModels.size).toBeLessThanOrEqual(2);
    });

    it("loads adapters within the engine's adapter limit", async () => {
        for (const adapter of ["a1", "a2", "a3", "a1"]) {
            const response = await fixture.call(0, "/chat/x", { headers: { "x-model": `m3/${adapter}` } });
            expect(response.status).toBe(200);
        }
        for (const engine of [engine1, engine2]) {
            const count = [...engine.loadedModels.values()].reduce((sum, adapters) => sum + adapters.size, 0);
            expect(count).toBeLessThanOrEqual(2);
        }
    });
});

describe("configuration", () => {
    it("applies a newer version and ignores older or invalid ones", async () => {
        const newDocument = createConfigurationDocument(5, {
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
        fixture.store.put("op/config", createConfigurationDocument(3));
        await new Promise(resolve => setTimeout(resolve, 1_200));
        expect((await fixture.call(0, "/new/x")).status).toBe(200);
        fixture.store.put("op/config", "not a document");
        fixture.store.put("op/config", createConfigurationDocument(7));
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
        await fixture.waitUntilServerAvailable(0, "d1", false);
        const before = desk1.requests.length;
        for (let count = 0; count < 10; count += 1) await fixture.call(0, "/lookup/x", { method: "GET" });
        // A ready record of the same process start does not end the draining state.
        fixture.store.put("servers/d1", desk1.toServerRecord());
        await new Promise(resolve => setTimeout(resolve, 1_200));
        await fixture.waitUntilServerAvailable(0, "d1", false);
        for (let count = 0; count < 10; count += 1) await fixture.call(0, "/lookup/x", { method: "GET" });
        expect(desk1.requests.length).toBe(before);
        fixture.store.put("servers/d1", { service: "desk", state: "unheard-of" });
        await fixture.waitUntilServerAvailable(0, "d1", false);
    });
});
