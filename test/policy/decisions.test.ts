import {
    type AdmissionRequest,
    createAdmissionPolicy,
    createDurationEstimator,
    createPrefixAffinity,
    createScalingPolicy,
    createStragglerDetector,
} from "@skylarkmill/policy";
import { InvalidInputError, type ModelId, type ServerId, type ServiceId, toId } from "@skylarkmill/protocol";
import { describe, expect, it } from "vitest";

const createServerId = (index: number) => toId<ServerId>(`s${index}`);

function createRequest(fields: Partial<AdmissionRequest>): AdmissionRequest {
    return {
        serviceId: toId<ServiceId>("parts-ledger"),
        nowMs: 0,
        deadlineAtMs: 5_000,
        expectedMs: 500,
        waitMs: 0,
        serviceRequestCount: 0,
        totalRequestCount: 0,
        weight: 1,
        totalWeight: 2,
        ...fields,
    };
}

// Guards against requests that finish after their deadline, and against one service that fills the shared queue.
describe("deadline admission", () => {
    const cases: { name: string; fields: Partial<AdmissionRequest>; code: string | undefined; }[] = [
        { name: "admits a request that finishes in time", fields: { waitMs: 4_000 }, code: undefined },
        { name: "refuses a request that finishes too late", fields: { waitMs: 4_400 }, code: "deadline_unreachable" },
        { name: "refuses a request while the queue is full", fields: { totalRequestCount: 100 }, code: "queue_full" },
        {
            name: "refuses a service above its share of a queue filled to more than half",
            fields: { totalRequestCount: 60, serviceRequestCount: 50 },
            code: "queue_full",
        },
        {
            name: "admits a service below its share of a queue filled to more than half",
            fields: { totalRequestCount: 60, serviceRequestCount: 10 },
            code: undefined,
        },
        {
            name: "admits a service above its share of a queue filled to less than half",
            fields: { totalRequestCount: 49, serviceRequestCount: 49 },
            code: undefined,
        },
    ];
    it.each(cases)("$name", ({ fields, code }) => {
        const decision = createAdmissionPolicy({ maxCount: 100, seed: 1 }).decide(createRequest(fields));
        expect(decision.admitted ? undefined : decision.code).toBe(code);
    });

    // Guards against callers that are refused at the same time and retry at the same time.
    it("spreads the retry delays", () => {
        const policy = createAdmissionPolicy({ seed: 1 });
        const delaysMs = Array.from({ length: 100 }, () => {
            const decision = policy.decide(createRequest({ waitMs: 20_000 }));
            return decision.admitted ? 0 : decision.retryAfterMs;
        });
        expect(Math.min(...delaysMs)).toBeGreaterThan(0);
        expect(Math.max(...delaysMs) / Math.min(...delaysMs)).toBeGreaterThan(2);
    });
});

describe("observed detector", () => {
    // Guards against a straggler that is detected only after its first late response.
    it("detects a straggler from attempts without a response", () => {
        const detector = createStragglerDetector();
        detector.recordWaiting(createServerId(0), 400, 100, 0);
        expect(detector.isStraggler(createServerId(0), 0)).toBe(true);
        expect(detector.isStraggler(createServerId(1), 0)).toBe(false);
    });

    // Guards against a server that counts as a straggler after its recovery, or after a single late response.
    it("detects a straggler after several late responses and forgets it without new ones", () => {
        const detector = createStragglerDetector({ halfLifeMs: 1_000 });
        detector.record(createServerId(0), 400, 100, 0);
        expect(detector.isStraggler(createServerId(0), 0)).toBe(false);
        for (let count = 0; count < 5; count += 1) detector.record(createServerId(0), 1_000, 100, 0);
        expect(detector.isStraggler(createServerId(0), 0)).toBe(true);
        expect(detector.isStraggler(createServerId(0), 10_000)).toBe(false);
    });

    // Guards against treating every server as a straggler when the expected response times are too short.
    it("compares each server with the median of all servers", () => {
        const detector = createStragglerDetector();
        for (const index of [0, 1, 2, 3]) {
            for (let count = 0; count < 20; count += 1) detector.record(createServerId(index), 500, 100, 0);
        }
        expect([0, 1, 2, 3].filter(index => detector.isStraggler(createServerId(index), 100))).toEqual([]);
    });
});

// Guards against estimates that ignore recorded durations, and against memory that grows with the number of groups.
describe("quantile estimator", () => {
    it("replaces the fallback by recorded durations gradually", () => {
        const estimator = createDurationEstimator({ windowSize: 10, minSamples: 2 });
        expect(estimator.expectedMs("g", 700)).toBe(700);
        estimator.record("g", 100);
        expect(estimator.expectedMs("g", 700)).toBe(400);
        for (let count = 0; count < 20; count += 1) estimator.record("g", 200);
        expect(estimator.expectedMs("g", 700)).toBeCloseTo(200);
        expect(estimator.highPercentileMs("g", 700)).toBe(200);
    });

    it("evicts the least recently recorded group", () => {
        const estimator = createDurationEstimator({ maxGroups: 2, minSamples: 1 });
        for (const group of ["a", "b", "a", "c"]) estimator.record(group, 100);
        expect(["a", "b", "c"].map(group => estimator.expectedMs(group, 1))).toEqual([100, 1, 100]);
    });
});

// Guards against loading a replica for a backlog that is processed before the load ends, and against more replicas than
// grants.
describe("backlog scaling", () => {
    const cases = [
        { loadedCount: 0, backlogMs: 0, wanted: 0 },
        { loadedCount: 0, backlogMs: 1, wanted: 1 },
        { loadedCount: 1, backlogMs: 15_000, wanted: 1 },
        { loadedCount: 1, backlogMs: 16_000, wanted: 2 },
        { loadedCount: 1, backlogMs: 800_000, wanted: 3 },
        { loadedCount: 2, backlogMs: 0, wanted: 2 },
    ];
    it.each(cases)(
        "wants $wanted replicas for $backlogMs ms with $loadedCount loaded",
        ({ loadedCount, backlogMs, wanted }) => {
            const input = { loadedCount, backlogMs, grantCount: 3, loadMs: 1_000, slotCount: 8 };
            expect(createScalingPolicy().wantedReplicas(input)).toBe(wanted);
        },
    );
});

describe("hash affinity", () => {
    const modelId = toId<ModelId>("m");
    const prompt = "a".repeat(100) + "b".repeat(100);

    // Guards against matches across servers, models or prompts, and against entries older than the server's cache.
    it("matches whole blocks of the same server and model", () => {
        const affinity = createPrefixAffinity({ blockLength: 100, maxAgeMs: 1_000 });
        affinity.record(createServerId(0), modelId, undefined, prompt, 0);
        const match = (text: string, nowMs = 0) => affinity.match(createServerId(0), modelId, undefined, text, nowMs);
        expect(match(prompt)).toBe(1);
        expect(match("a".repeat(100) + "c".repeat(100))).toBe(0.5);
        expect(match(`b${prompt}`)).toBe(0);
        expect(match(prompt, 1_001)).toBe(0);
        expect(affinity.match(createServerId(1), modelId, undefined, prompt, 0)).toBe(0);
        expect(affinity.match(createServerId(0), toId<ModelId>("n"), undefined, prompt, 0)).toBe(0);
    });

    // Guards against memory that grows with the number of prompts.
    it("evicts the oldest blocks beyond `maxEntries`", () => {
        const affinity = createPrefixAffinity({ blockLength: 100, maxEntries: 2 });
        affinity.record(createServerId(0), modelId, undefined, prompt, 0);
        affinity.record(createServerId(0), modelId, undefined, "c".repeat(100), 0);
        expect(affinity.match(createServerId(0), modelId, undefined, prompt, 0)).toBe(0);
        expect(affinity.match(createServerId(0), modelId, undefined, "c".repeat(100), 0)).toBe(1);
    });
});

// Guards against options out of range that are accepted and lead to wrong decisions.
it("rejects an option out of range with an error that names it", () => {
    expect(() => createStragglerDetector({ newWeight: 2 })).toThrow(InvalidInputError);
    expect(() => createAdmissionPolicy({ maxCount: 0 })).toThrow(/maxCount is 0/);
});
