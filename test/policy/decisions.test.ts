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

const server = (index: number) => toId<ServerId>(`s${index}`);

function admission(fields: Partial<AdmissionRequest>): AdmissionRequest {
    return {
        serviceId: toId<ServiceId>("parts-ledger"),
        nowMs: 0,
        deadlineAtMs: 5_000,
        expectedMs: 500,
        waitMs: 0,
        serviceCount: 0,
        totalCount: 0,
        weight: 1,
        totalWeight: 2,
        ...fields,
    };
}

// Guards against work that ends after its deadline, and against one service that fills the queue of all.
describe("deadline admission", () => {
    const cases: { name: string; fields: Partial<AdmissionRequest>; code: string | undefined; }[] = [
        { name: "fits", fields: { waitMs: 4_000 }, code: undefined },
        { name: "ends too late", fields: { waitMs: 4_400 }, code: "deadline_unreachable" },
        { name: "queue full", fields: { totalCount: 100 }, code: "queue_full" },
        {
            name: "above its share of a filling queue",
            fields: { totalCount: 60, serviceCount: 50 },
            code: "queue_full",
        },
        { name: "below its share of a filling queue", fields: { totalCount: 60, serviceCount: 10 }, code: undefined },
        { name: "above its share of an empty queue", fields: { totalCount: 49, serviceCount: 49 }, code: undefined },
    ];
    it.each(cases)("$name: $code", ({ fields, code }) => {
        const decision = createAdmissionPolicy({ maxCount: 100, seed: 1 }).decide(admission(fields));
        expect(decision.admitted ? undefined : decision.code).toBe(code);
    });

    // Guards against callers that were refused together and return together.
    it("spreads the retry delays", () => {
        const policy = createAdmissionPolicy({ seed: 1 });
        const delaysMs = Array.from({ length: 100 }, () => {
            const decision = policy.decide(admission({ waitMs: 20_000 }));
            return decision.admitted ? 0 : decision.retryAfterMs;
        });
        expect(Math.min(...delaysMs)).toBeGreaterThan(0);
        expect(Math.max(...delaysMs) / Math.min(...delaysMs)).toBeGreaterThan(2);
    });
});

describe("observed detector", () => {
    // Guards against a straggler that shows only after its first late answer.
    it("sees a server whose attempts still wait", () => {
        const detector = createStragglerDetector();
        detector.recordWaiting(server(0), 400, 100, 0);
        expect(detector.isStraggler(server(0), 0)).toBe(true);
        expect(detector.isStraggler(server(1), 0)).toBe(false);
    });

    // Guards against a recovered server that stays avoided, and one late answer that condemns a normal server.
    it("follows answers and returns to normal with time", () => {
        const detector = createStragglerDetector({ halfLifeMs: 1_000 });
        detector.record(server(0), 400, 100, 0);
        expect(detector.isStraggler(server(0), 0)).toBe(false);
        for (let count = 0; count < 5; count += 1) detector.record(server(0), 1_000, 100, 0);
        expect(detector.isStraggler(server(0), 0)).toBe(true);
        expect(detector.isStraggler(server(0), 10_000)).toBe(false);
    });

    // Guards against calling every server a straggler when the expectation is too low.
    it("compares with the other servers", () => {
        const detector = createStragglerDetector();
        for (const index of [0, 1, 2, 3]) {
            for (let count = 0; count < 20; count += 1) detector.record(server(index), 500, 100, 0);
        }
        expect([0, 1, 2, 3].filter(index => detector.isStraggler(server(index), 100))).toEqual([]);
    });
});

// Guards against estimates that ignore what was learned, and against memory that grows with the groups.
describe("quantile estimator", () => {
    it("moves from the fallback to the recorded durations", () => {
        const estimator = createDurationEstimator({ windowSize: 10, minSamples: 2 });
        expect(estimator.expectedMs("g", 700)).toBe(700);
        estimator.record("g", 100);
        expect(estimator.expectedMs("g", 700)).toBe(400);
        for (let count = 0; count < 20; count += 1) estimator.record("g", 200);
        expect(estimator.expectedMs("g", 700)).toBeCloseTo(200);
        expect(estimator.highMs("g", 700)).toBe(200);
    });

    it("drops the group that was recorded least recently", () => {
        const estimator = createDurationEstimator({ maxGroups: 2, minSamples: 1 });
        for (const group of ["a", "b", "a", "c"]) estimator.record(group, 100);
        expect(["a", "b", "c"].map(group => estimator.expectedMs(group, 1))).toEqual([100, 1, 100]);
    });
});

// Guards against loads for a backlog that is worked off sooner, and against more replicas than grants.
describe("backlog scaling", () => {
    const cases = [
        { loadedCount: 0, queuedMs: 0, wanted: 0 },
        { loadedCount: 0, queuedMs: 1, wanted: 1 },
        { loadedCount: 1, queuedMs: 15_000, wanted: 1 },
        { loadedCount: 1, queuedMs: 16_000, wanted: 2 },
        { loadedCount: 1, queuedMs: 800_000, wanted: 3 },
        { loadedCount: 2, queuedMs: 0, wanted: 2 },
    ];
    it.each(cases)("wants $wanted for $queuedMs ms with $loadedCount loaded", ({ loadedCount, queuedMs, wanted }) => {
        const input = { loadedCount, queuedMs, grantCount: 3, loadMs: 1_000, slotCount: 8 };
        expect(createScalingPolicy().wantedReplicas(input)).toBe(wanted);
    });
});

describe("hash affinity", () => {
    const modelId = toId<ModelId>("m");
    const prompt = "a".repeat(100) + "b".repeat(100);

    // Guards against matches across servers, models or prompts, and against entries that outlive the cache.
    it("matches whole blocks of the same server and model", () => {
        const affinity = createPrefixAffinity({ blockLength: 100, maxAgeMs: 1_000 });
        affinity.record(server(0), modelId, undefined, prompt, 0);
        const match = (text: string, nowMs = 0) => affinity.match(server(0), modelId, undefined, text, nowMs);
        expect(match(prompt)).toBe(1);
        expect(match("a".repeat(100) + "c".repeat(100))).toBe(0.5);
        expect(match(`b${prompt}`)).toBe(0);
        expect(match(prompt, 1_001)).toBe(0);
        expect(affinity.match(server(1), modelId, undefined, prompt, 0)).toBe(0);
        expect(affinity.match(server(0), toId<ModelId>("n"), undefined, prompt, 0)).toBe(0);
    });

    // Guards against memory that grows with the prompts.
    it("forgets the oldest prompt beyond its bound", () => {
        const affinity = createPrefixAffinity({ blockLength: 100, maxEntries: 2 });
        affinity.record(server(0), modelId, undefined, prompt, 0);
        affinity.record(server(0), modelId, undefined, "c".repeat(100), 0);
        expect(affinity.match(server(0), modelId, undefined, prompt, 0)).toBe(0);
        expect(affinity.match(server(0), modelId, undefined, "c".repeat(100), 0)).toBe(1);
    });
});

// Guards against settings out of range that only show as strange decisions.
it("refuses options out of range with their name", () => {
    expect(() => createStragglerDetector({ newWeight: 2 })).toThrow(InvalidInputError);
    expect(() => createAdmissionPolicy({ maxCount: 0 })).toThrow(/maxCount is 0/);
});
