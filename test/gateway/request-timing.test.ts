import { type CallerRequest, type Route, timeRequest } from "@skylarkmill/gateway";
import { type RequestId, type ServiceId, toId } from "@skylarkmill/protocol";
import { describe, expect, it } from "vitest";

const stream: Route = {
    name: "diagnosis",
    host: "workshop.example",
    prefix: "/diagnosis/",
    kind: "streaming",
    services: [{ serviceId: toId<ServiceId>("assistant"), weight: 1 }],
    timeoutMs: 12_000,
    targetLatencyMs: 400,
    callerPatienceMs: 2_000,
    priority: 2,
    maxAttempts: 2,
    resumable: true,
};

const request: CallerRequest = {
    requestId: toId<RequestId>("r1"),
    method: "POST",
    path: "/diagnosis/a",
    host: "workshop.example",
    modelId: undefined,
    adapterId: undefined,
    promptTokenCount: 0,
    maxOutputTokenCount: 0,
    lastEventId: undefined,
    deadlineMs: undefined,
    headers: [],
    body: undefined,
};

// Guards streams whose callers leave long before the deadline: they were held until then and never offered to an
// engine (54 requests of scale-1 on ccrma-works, 0.035 of worth).
describe("the time in which a first byte is of use", () => {
    const plain: Route = { ...stream, kind: "idempotent", callerPatienceMs: undefined, timeoutMs: 800 };
    it.each([
        { name: "ends with the patience of a stream's callers", route: stream, deadlineMs: undefined, endMs: 2_000 },
        { name: "ends with the caller's deadline", route: stream, deadlineMs: 1_500, endMs: 1_500 },
        { name: "ends with the route's time", route: { ...stream, timeoutMs: 1_000 }, deadlineMs: 9_000, endMs: 1_000 },
        { name: "lasts until the deadline for plain answers", route: plain, deadlineMs: 700, endMs: 700 },
    ])("$name", ({ route, deadlineMs, endMs }) => {
        const timing = timeRequest(route, { ...request, deadlineMs }, 5_000);
        expect(timing.firstByteUntilMs - 5_000).toBe(endMs);
        expect(timing.waitUntilMs).toBeLessThan(timing.firstByteUntilMs);
        expect(timing.deadlineAtMs - 5_000).toBe(Math.min(route.timeoutMs, deadlineMs ?? Infinity));
    });
});
