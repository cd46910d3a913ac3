import { toRefusalBody, toRefusalHeaders } from "@skylarkmill/protocol";
import { describe, expect, it } from "vitest";

const refusal = {
    status: 503,
    type: "overloaded_error",
    code: "queue_full",
    message: "Too many requests wait.",
    execution: "not_run",
} as const;

// Guards against a Retry-After of 0, which callers treat as "retry immediately".
describe("refusal headers", () => {
    const cases = [
        { retryAfterMs: undefined, header: undefined },
        { retryAfterMs: 1, header: "1" },
        { retryAfterMs: 1000, header: "1" },
        { retryAfterMs: 1001, header: "2" },
    ];
    it.each(cases)("set Retry-After to $header for a delay of $retryAfterMs ms", ({ retryAfterMs, header }) => {
        const withRetry = { ...refusal, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) };
        expect(toRefusalHeaders(withRetry)["retry-after"]).toBe(header);
        expect(toRefusalBody(withRetry).error.retry_after_ms).toBe(retryAfterMs);
    });
});
