import { request as httpRequest } from "node:http";
import { connect } from "node:net";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { Harness } from "./support/harness.ts";

const modelRequestBody = JSON.stringify({ model: "bench-diagnosis" });
const CHAT = "/v1/chat/completions";

// Guards against invalid input that is forwarded to a backend server or refused with an unspecific error.
describe("invalid requests", () => {
    let harness: Harness;
    beforeAll(async () => {
        harness = await new Harness().start({ limits: { maxBodyBytes: 2000 } });
    });
    afterAll(() => harness.stop());

    const cases = [
        { name: "a body that is not JSON", body: "{", status: 400, code: "not_json" },
        { name: "a JSON array", body: "[]", status: 400, code: "not_json" },
        { name: "JSON null", body: "null", status: 400, code: "not_json" },
        { name: "a body without a model", body: "{}", status: 400, code: "model_missing" },
        { name: "an unknown model", body: '{"model":"x"}', status: 404, code: "model_not_found" },
        { name: "another model's adapter", body: '{"model":"parts-note:trike"}', status: 404, code: "model_not_found" },
        {
            name: "a timeout of 0 ms",
            body: modelRequestBody,
            headers: { "x-request-timeout-ms": "0" },
            status: 400,
            code: "bad_timeout",
        },
        {
            name: "a timeout of 600001 ms",
            body: modelRequestBody,
            headers: { "x-request-timeout-ms": "600001" },
            status: 400,
            code: "bad_timeout",
        },
        {
            name: "a timeout with a fraction",
            body: modelRequestBody,
            headers: { "x-request-timeout-ms": "1.5" },
            status: 400,
            code: "bad_timeout",
        },
        {
            name: "a request id with spaces",
            body: modelRequestBody,
            headers: { "x-request-id": "a b" },
            status: 400,
            code: "bad_request_id",
        },
        {
            name: "an empty idempotency key",
            body: modelRequestBody,
            headers: { "idempotency-key": "" },
            status: 400,
            code: "bad_idempotency_key",
        },
        { name: "a body above the limit", body: "x".repeat(2001), status: 413, code: "body_too_large" },
        {
            name: "a body above the size that is read and discarded",
            body: "x".repeat(20_000),
            status: 413,
            code: "body_too_large",
        },
        { name: "an unknown service", path: "/services/none/x", body: "", status: 404, code: "service_not_found" },
        {
            name: "a plain request to a model service",
            path: "/services/workshop-assistant/x",
            body: "",
            status: 404,
            code: "service_not_found",
        },
        { name: "an unknown path", path: "/v2/chat", body: "", status: 404, code: "path_not_found" },
        {
            name: "a method that the path does not accept",
            path: CHAT,
            method: "PUT",
            body: "",
            status: 405,
            code: "method_not_allowed",
        },
    ];
    it.each(cases)(
        "refuses $name before any attempt",
        async ({ path = CHAT, method = "POST", body, headers = {}, status, code }) => {
            const response = await harness.send(method, path, body, headers as Record<string, string>);
            expect(response.status).toBe(status);
            expect(response.json.error).toMatchObject({ type: "invalid_request_error", code, execution: "not_run" });
            expect(harness.receivedRequestCount()).toBe(0);
        },
    );

    it.each([
        ["too large headers", `GET / HTTP/1.1\r\nhost: x\r\nx-a: ${"y".repeat(20_000)}\r\n\r\n`, 431],
        ["data that is not HTTP", "HELLO\r\n\r\n", 400],
    ])("refuses %s on a raw connection", async (_name, text, status) => {
        const socket = connect(Number(new URL(harness.url).port), "127.0.0.1");
        socket.on("error", () => undefined);
        let received = "";
        const closed = new Promise(resolve => socket.once("close", resolve));
        socket.on("data", chunk => received += chunk.toString());
        socket.write(text);
        await closed;
        expect(received).toContain(`HTTP/1.1 ${status} `);
        expect(received).toContain('"execution":"not_run"');
    });

    it("drops hop-by-hop and internal headers and forwards the caller's authorization", async () => {
        const { port } = new URL(harness.url);
        await new Promise<void>((resolve, reject) => {
            httpRequest({
                port,
                path: "/services/parts-ledger/stock",
                headers: {
                    "connection": "x-hop, close",
                    "x-hop": "1",
                    "authorization": "Bearer caller",
                    "x-skylarkmill-once": "1",
                    "x-skylarkmill-peer-key": "forged",
                    "x-kept": "1",
                },
            }, response => response.resume().on("end", resolve)).on("error", reject).end();
        });
        const [entry] = Object.values(harness.agents).flatMap(agent => agent.receivedRequests);
        expect(entry?.headers).toMatchObject({
            "authorization": "Bearer caller",
            "x-skylarkmill-peer-key": "key",
            "x-kept": "1",
        });
        expect(entry?.headers).not.toHaveProperty("x-hop");
        expect(entry?.headers).not.toHaveProperty("x-skylarkmill-once");
        for (const agent of Object.values(harness.agents)) agent.receivedRequests.length = 0;
    });

    it("lists models and adapters and counts each received request with one outcome", async () => {
        const { data } = JSON.parse((await harness.send("GET", "/v1/models")).text) as { data: { id: string; }[]; };
        expect(data.map(entry => entry.id)).toEqual(["bench-diagnosis", "parts-note", "trike"]);
        const metrics = (await harness.send("GET", "/metrics")).text;
        const sum = (pattern: RegExp) =>
            [...metrics.matchAll(pattern)].reduce((total, match) => total + Number(match[1]), 0);
        const received = sum(/^skylarkmill_router_requests_received_total (\d+)$/gm);
        expect(received).toBeGreaterThan(0);
        expect(sum(/^skylarkmill_router_requests_total\{.*\} (\d+)$/gm)).toBe(received);
        expect(sum(/^skylarkmill_router_chart_faults_total (\d+)$/gm)).toBe(0);
    });
});

// Guards against a router that refuses requests as "not offered" before it has received a configuration.
describe("a router without a configuration", () => {
    let harness: Harness;
    beforeAll(async () => {
        harness = new Harness();
        harness.hasConfiguration = false;
        await harness.start();
    });
    afterAll(() => harness.stop());

    it.each(
        [
            { method: "GET", path: "/v1/models" },
            { method: "POST", path: CHAT },
            { method: "GET", path: "/services/parts-ledger/stock/hub" },
            { method: "GET", path: "/readyz" },
        ] as const,
    )("responds to $method $path with 503", async ({ method, path }) => {
        const response = await harness.send(method, path, method === "POST" ? modelRequestBody : undefined);
        expect(response.status).toBe(503);
        if (path !== "/readyz") {
            expect(JSON.parse(response.text)).toMatchObject({
                error: { code: "not_ready", execution: "not_run" },
            });
        }
    });
});
