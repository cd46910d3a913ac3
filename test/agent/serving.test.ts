import { KEYS } from "@skylarkmill/config";
import { HEADERS, type RefusalBody } from "@skylarkmill/protocol";
import { err } from "neverthrow";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { createResponse, doneEvent, lostConnectionError, streamChunk, unavailableError } from "./fakes/fake-engine.ts";
import { grant, modelSection, putGrants, putRecord, TestAgent, waitUntil } from "./fakes/setup.ts";

const MODEL_HEADERS = { [HEADERS.model]: "m1" };

describe("the agent of a model engine", () => {
    let testAgent: TestAgent;

    beforeEach(async () => {
        testAgent = new TestAgent();
        await putRecord(
            testAgent.store,
            KEYS.config("models"),
            1,
            modelSection({ m1: { adapters: ["a1"] }, m2: {}, m3: {} }),
        );
        for (const model of ["m1", "m2", "m3"]) await putGrants(testAgent.store, model, 1, [grant("server-1")]);
        await testAgent.start("assistant");
        await testAgent.untilAcceptingLoads();
    });

    afterEach(() => testAgent.stop());

    // Guards against one load per waiting request, and against loads before the fencing token is raised.
    it("shares one load between all waiting requests", async () => {
        const responses = await Promise.all([1, 2, 3, 4, 5].map(() => testAgent.request(MODEL_HEADERS)));
        expect(responses.map(response => response.status)).toEqual([200, 200, 200, 200, 200]);
        expect(responses.map(response => response.headers.get(HEADERS.execution))).toEqual(Array(5).fill("run"));
        expect(testAgent.engine.executedOrders("load")).toEqual(["load m1 1 1000000"]);
    });

    // Guards against a router that can't tell a request's response from a late copy of another one.
    it.each<{ name: string; headers: Record<string, string>; status: number; }>([
        { name: "an answer", headers: {}, status: 200 },
        { name: "a refusal", headers: { [HEADERS.service]: "other" }, status: 503 },
        { name: "the refusal of a wrong key", headers: { [HEADERS.peerKey]: "wrong" }, status: 401 },
        { name: "the refusal of an invalid head", headers: { [HEADERS.remainingMs]: "soon" }, status: 400 },
    ])("names the attempt in $name", async ({ headers, status }) => {
        const response = await testAgent.request({ ...MODEL_HEADERS, [HEADERS.attemptId]: "attempt-x", ...headers });
        expect([response.status, response.headers.get(HEADERS.attemptId)]).toEqual([status, "attempt-x"]);
    });

    // Guards against requests to an engine within the time for which it wants none.
    it.each([
        { retryAfter: "0.6", holdMs: 600 },
        { retryAfter: "soon", holdMs: 0 },
    ])(
        "keeps requests from an engine that answers 429 with Retry-After '$retryAfter'",
        async ({ retryAfter, holdMs }) => {
            const { engine } = testAgent;
            await testAgent.request(MODEL_HEADERS);
            const respond = engine.responder;
            engine.responder = () => createResponse(429, { "retry-after": retryAfter }, []);
            const refused = await testAgent.request(MODEL_HEADERS);
            expect(refused.headers.get(HEADERS.execution)).toBe("not_run");
            const heldAtMs = performance.now();
            engine.responder = respond;
            const countAtHold = engine.requests.length;
            const short = await testAgent.request({ ...MODEL_HEADERS, [HEADERS.remainingMs]: "300" });
            const shortTookMs = performance.now() - heldAtMs;
            expect(short.status).toBe(holdMs > 0 ? 503 : 200);
            if (holdMs > 0) {
                const { error } = await short.json() as RefusalBody;
                expect(error).toMatchObject({ code: "engine_overloaded", execution: "not_run" });
                expect(error.retry_after_ms).toBeGreaterThan(holdMs - shortTookMs - 50);
                expect(engine.requests).toHaveLength(countAtHold);
            }
            const long = await testAgent.request(MODEL_HEADERS);
            expect(long.status).toBe(200);
            if (holdMs > 0) expect(performance.now() - heldAtMs).toBeGreaterThan(holdMs - 50);
        },
    );

    // Guards against a request that an engine ran and refused, and that is sent to another server as one that has not run.
    it.each<{ kind: string; headers: Record<string, string>; status: number; execution: string; }>([
        { kind: "once at most", headers: { [HEADERS.nonIdempotent]: "1" }, status: 502, execution: "unknown" },
        { kind: "more than once", headers: {}, status: 503, execution: "not_run" },
    ])(
        "takes status 429 for a promise only if the request may run $kind: $execution",
        async ({ headers, status, execution }) => {
            const { engine } = testAgent;
            await testAgent.request(MODEL_HEADERS);
            const respond = engine.responder;
            engine.responder = () => createResponse(429, { "retry-after": "0.4" }, []);
            const refused = await testAgent.request({ ...MODEL_HEADERS, ...headers });
            expect([refused.status, refused.headers.get(HEADERS.execution)]).toEqual([status, execution]);
            expect(refused.headers.has("retry-after")).toBe(execution === "not_run");
            engine.responder = respond;
            const countAtHold = engine.requests.length;
            const short = await testAgent.request({ ...MODEL_HEADERS, [HEADERS.remainingMs]: "200" });
            expect([short.status, engine.requests.length]).toEqual([503, countAtHold]);
        },
    );

    // Guards against exceeding the engine's memory when a model must be evicted.
    it("evicts an idle model before it loads another one", async () => {
        for (const model of ["m1", "m2", "m3", "m1"]) {
            const response = await testAgent.request({ [HEADERS.model]: model });
            expect(response.status).toBe(200);
        }
        expect(testAgent.engine.executedOrders("load")).toHaveLength(4);
        expect(testAgent.engine.journal.every(entry => entry.usedBytes <= testAgent.engine.memorySizeBytes)).toBe(true);
    });

    // Guards against adapter requests that reach the engine before the adapter is loaded.
    it("loads an adapter once and then sends the requests", async () => {
        const headers = { ...MODEL_HEADERS, [HEADERS.adapter]: "a1" };
        const responses = await Promise.all([testAgent.request(headers), testAgent.request(headers)]);
        expect(responses.map(response => response.status)).toEqual([200, 200]);
        expect(testAgent.engine.executedOrders("adapter")).toEqual(["adapter m1 a1"]);
    });

    // Guards against a revoked grant that is never removed, or that is removed while the model is in memory.
    it("unloads a revoked model and then removes its grant", async () => {
        await testAgent.request(MODEL_HEADERS);
        await putGrants(testAgent.store, "m1", 2, [grant("server-1", true), grant("server-2")]);
        await waitUntil(async () => {
            const stored = (await testAgent.store.get(KEYS.grants("m1")))._unsafeUnwrap()?.value ?? "";
            return !stored.includes("grant-server-1");
        });
        expect(testAgent.engine.executedOrders("unload")).toEqual(["unload m1"]);
        const refused = await testAgent.request(MODEL_HEADERS);
        expect(refused.status).toBe(503);
        expect((await refused.json() as RefusalBody).error).toMatchObject({ code: "no_grant", execution: "not_run" });
    });

    // Guards against responses from mixed versions: the old version must be unloaded before the new one is loaded.
    it("unloads the old version of a model before it loads the new one", async () => {
        await testAgent.request(MODEL_HEADERS);
        await putRecord(testAgent.store, KEYS.config("models"), 2, modelSection({ m1: { version: "2" } }));
        await waitUntil(() => testAgent.engine.executedOrders("unload").length > 0);
        expect((await testAgent.request(MODEL_HEADERS)).status).toBe(200);
        expect(testAgent.engine.journal.map(entry => entry.order)).toEqual([
            "load m1 1 1000000",
            "unload m1",
            "load m1 2 1000000",
        ]);
    });

    const refusals = [
        { name: "unknown model", headers: { [HEADERS.model]: "m9" }, status: 503, code: "model_not_offered" },
        {
            name: "another service",
            headers: { ...MODEL_HEADERS, [HEADERS.service]: "x" },
            status: 503,
            code: "wrong_service",
        },
        {
            name: "invalid deadline",
            headers: { ...MODEL_HEADERS, [HEADERS.remainingMs]: "x" },
            status: 400,
            code: "bad_request_head",
        },
        {
            name: "deadline passed",
            headers: { ...MODEL_HEADERS, [HEADERS.remainingMs]: "0" },
            status: 504,
            code: "deadline_exceeded",
        },
        { name: "wrong key", headers: { ...MODEL_HEADERS, [HEADERS.peerKey]: "x" }, status: 401, code: "bad_peer_key" },
    ];
    // Guards against refused requests that reach the engine or are not reported as not_run.
    it.each(refusals)("refuses a request: $name", async ({ headers, status, code }) => {
        const response = await testAgent.request(headers);
        expect(response.status).toBe(status);
        expect(response.headers.get(HEADERS.execution)).toBe("not_run");
        expect((await response.json() as RefusalBody).error).toMatchObject({ code, execution: "not_run" });
        expect(testAgent.engine.requests).toEqual([]);
    });

    const outcomes = [
        { name: "no byte was sent", result: () => err(unavailableError()), status: 503, execution: "not_run" },
        { name: "the connection broke", result: () => err(lostConnectionError()), status: 502, execution: "unknown" },
        { name: "the engine failed", result: () => createResponse(500, {}, ["x"]), status: 502, execution: "unknown" },
        {
            name: "the response belongs to another request",
            result: () => createResponse(200, {}, [JSON.stringify({ id: "chatcmpl-other" })]),
            status: 502,
            execution: "unknown",
        },
        {
            name: "the response is truncated",
            result: () => createResponse(200, { "content-length": "99" }, ["{}"]),
            status: 502,
            execution: "unknown",
        },
    ];
    // Guards against reporting not_run for a request that may have run, and against relaying the response to another
    // request or a truncated response.
    it.each(outcomes)("reports the execution state when $name", async ({ result, status, execution }) => {
        testAgent.engine.responder = result;
        const response = await testAgent.request(MODEL_HEADERS);
        expect(response.status).toBe(status);
        expect(response.headers.get(HEADERS.execution)).toBe(execution);
    });

    const streams = [
        { name: "complete", first: [0, 1, 2, "done"], texts: ["t0", "t1", "t2"], complete: true },
        {
            name: "chunks of another request and duplicate chunks",
            first: ["x0", 0, "x1", 0, 1, 1, 2, "done"],
            texts: ["t0", "t1", "t2"],
            complete: true,
        },
        {
            name: "gap, resumed",
            first: [0, 2, "done"],
            second: [1, 2, "done"],
            texts: ["t0", "t1", "t2"],
            complete: true,
        },
        { name: "early end, resumed", first: [0, 1], second: [2, "done"], texts: ["t0", "t1", "t2"], complete: true },
        { name: "no [DONE], resumed", first: [0, 1, 2], second: ["done"], texts: ["t0", "t1", "t2"], complete: true },
        {
            name: "[DONE] of another response",
            first: [0, "done", 1, 2, "done"],
            texts: ["t0", "t1", "t2"],
            complete: true,
        },
        { name: "resuming refused", first: [0, 1], texts: ["t0", "t1"], complete: false },
        {
            name: "resumed stream starts from the first chunk",
            first: [0],
            second: [0, 1],
            texts: ["t0", "t1"],
            complete: false,
        },
    ];
    // Guards against mixed responses and against incomplete responses that are not marked as such.
    it.each(streams)(
        "relays only the attempt's own chunks and ends an incomplete stream with an error: $name",
        async ({ first, second, texts, complete }) => {
            const write = (attemptId: string) => (part: number | string): string => {
                if (part === "done") return doneEvent(3);
                if (typeof part === "number") return streamChunk(attemptId, part, part === 2);
                return streamChunk("other", Number(part.slice(1)));
            };
            testAgent.engine.responder = ({ headers }, attemptId) => {
                const resumed = headers["last-event-id"] !== undefined;
                const parts = resumed ? second : first;
                if (parts === undefined || testAgent.engine.requests.length > 2) return createResponse(409, {}, []);
                return createResponse(200, { "content-type": "text/event-stream" }, parts.map(write(attemptId)));
            };
            const text = await (await testAgent.request(MODEL_HEADERS)).text();
            expect([...text.matchAll(/"content":"(t\d)"/g)].map(match => match[1])).toEqual(texts);
            expect(text.includes("[DONE]")).toBe(complete);
            expect(text.includes('"error"')).toBe(!complete);
            expect(text).not.toContain("chatcmpl-other");
        },
    );

    // Guards against an engine that continues a request after the caller has disconnected.
    it("aborts the engine's request when the router closes the connection", async () => {
        testAgent.engine.responder = (request, attemptId) =>
            createResponse(
                200,
                { "content-type": "text/event-stream" },
                (async function*() {
                    yield Buffer.from(streamChunk(attemptId, 0));
                    await new Promise(resolve => request.signal.addEventListener("abort", resolve));
                    throw new Error("aborted");
                })(),
            );
        const abort = new AbortController();
        const response = await testAgent.request(MODEL_HEADERS, { signal: abort.signal });
        await response.body!.getReader().read();
        abort.abort();
        await waitUntil(() => testAgent.engine.requests[0]!.signal.aborted);
        await waitUntil(async () => (await testAgent.peerClient.calls.probe({})).runningCount === 0);
    });

    // Guards against a drain that drops waiting requests or aborts running ones.
    it("refuses waiting requests and finishes running ones while it drains", async () => {
        let finish = (): void => undefined;
        const finished = new Promise<void>(resolve => (finish = resolve));
        const respond = testAgent.engine.responder;
        testAgent.engine.responder = async (request, attemptId) => {
            await finished;
            return respond(request, attemptId);
        };
        const responses = [1, 2, 3].map(() => testAgent.request(MODEL_HEADERS));
        await waitUntil(async () => (await testAgent.peerClient.calls.probe({})).queuedCount === 1);
        const drained = await testAgent.peerClient.calls.drain({ hostId: "host-server-1", draining: true });
        expect(drained.draining).toBe(true);
        const refused = await responses[2]!;
        expect((await refused.json() as RefusalBody).error).toMatchObject({ code: "draining", execution: "not_run" });
        expect((await testAgent.get("/readyz")).status).toBe(503);
        finish();
        expect((await Promise.all(responses.slice(0, 2))).map(response => response.status)).toEqual([200, 200]);
        await testAgent.peerClient.calls.drain({ hostId: "host-server-1", draining: false });
        expect((await testAgent.request(MODEL_HEADERS)).status).toBe(200);
    });
});

describe("the agent of a plain service", () => {
    // Guards against a second run of a non-idempotent request.
    it("dispatches a non-idempotent request only once", async () => {
        const testAgent = new TestAgent();
        await putRecord(testAgent.store, KEYS.config("models"), 1, modelSection({}));
        await testAgent.start("ledger");
        const headers = {
            [HEADERS.service]: "ledger",
            [HEADERS.nonIdempotent]: "1",
            [HEADERS.requestId]: "order-1",
            [HEADERS.idempotencyKey]: "key-1",
        };
        testAgent.engine.responder = () => err(unavailableError());
        expect((await testAgent.request(headers)).headers.get(HEADERS.execution)).toBe("not_run");
        testAgent.engine.responder = () => createResponse(201, { "content-type": "text/plain" }, ["order 1"]);
        expect(await (await testAgent.request(headers, { path: "/orders?x=1" })).text()).toBe("order 1");
        expect(testAgent.engine.requests.at(-1)?.path).toBe("/orders?x=1");
        const repeated = await testAgent.request(headers);
        expect(repeated.status).toBe(409);
        expect(repeated.headers.get(HEADERS.execution)).toBe("unknown");
        const sameKey = await testAgent.request({ ...headers, [HEADERS.requestId]: "order-2" });
        expect(sameKey.status).toBe(409);
        expect(testAgent.engine.requests).toHaveLength(2);
        await testAgent.stop();
    });
});
