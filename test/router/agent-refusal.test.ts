import { describe, expect, it } from "vitest";
import { readAgentRefusal } from "../../packages/router/src/utils/agent-refusal.ts";

// Guards against a router that fails, or tells a caller to come back never or before now, because of an odd refusal.
describe("the refusal of an agent", () => {
    it.each([
        { body: '{"error":{"code":"queue_full","retry_after_ms":250}}', code: "queue_full", retryAfterMs: 250 },
        { body: '{"error":{"code":"queue_full","retry_after_ms":-1}}', code: "queue_full", retryAfterMs: undefined },
        { body: '{"error":{"code":"queue_full","retry_after_ms":1e999}}', code: "queue_full", retryAfterMs: undefined },
        { body: '{"error":{"code":"queue_full","retry_after_ms":"5"}}', code: "queue_full", retryAfterMs: undefined },
        { body: '{"error":null}', code: "backend_refused", retryAfterMs: undefined },
        { body: "null", code: "backend_refused", retryAfterMs: undefined },
        { body: "{", code: "backend_refused", retryAfterMs: undefined },
    ])("is read from $body", ({ body, code, retryAfterMs }) => {
        const refusal = readAgentRefusal({ status: 503, headers: {} }, "not_run", Buffer.from(body));
        expect(refusal).toMatchObject({ status: 503, code, execution: "not_run" });
        expect(refusal.retryAfterMs).toBe(retryAfterMs);
    });
});
