import { type ClaimInput, type ClaimWriter, createClaimWriter } from "@skylarkmill/coordination";
import { type AttemptId, type ProcessId, type RequestId, toId } from "@skylarkmill/protocol";
import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { MemoryKeyValueStore } from "../support/memory-key-value-store.ts";
import { seeded } from "../support/seed.ts";

function createWriter(store: MemoryKeyValueStore, name: string): ClaimWriter {
    return createClaimWriter({
        store,
        processId: toId<ProcessId>(name),
        keyOf: (service, hash) => `/t/claims/${service}/${hash}`,
    });
}

let attempts = 0;

function createInput(idempotencyKey: string): ClaimInput {
    attempts += 1;
    return {
        serviceId: "parts-ledger",
        idempotencyKey,
        record: {
            requestId: toId<RequestId>(`r${attempts}`),
            attemptId: toId<AttemptId>(`a${attempts}`),
            fingerprint: "f",
        },
    };
}

const FINISHED = { kind: "finished", status: 200, contentType: "application/json", bodyBase64: "e30=" } as const;
const NOT_RUN = { kind: "not_run", status: 503, contentType: "", bodyBase64: undefined } as const;

describe("claims", () => {
    beforeEach(() => void vi.useFakeTimers());
    afterEach(() => void vi.useRealTimers());

    async function settle<T>(promise: PromiseLike<T>): Promise<T> {
        const pending = Promise.resolve(promise);
        await vi.advanceTimersByTimeAsync(3000);
        return pending;
    }

    // Guards against a second run of a request whose first claim has an open, finished or unknown outcome.
    const cases = [
        { outcome: undefined, again: "existing" },
        { outcome: FINISHED, again: "existing" },
        { outcome: { ...FINISHED, kind: "unknown" } as const, again: "existing" },
        { outcome: NOT_RUN, again: "claimed" },
    ];
    it.each(cases)("gives $again for a key whose outcome is $outcome.kind", async ({ outcome, again }) => {
        const service = new MemoryKeyValueStore();
        const first = createInput("k");
        const writer = createWriter(service, "p1");
        expect((await settle(writer.claim(first)))._unsafeUnwrap().kind).toBe("claimed");
        if (outcome !== undefined) writer.complete(first, outcome);
        await vi.advanceTimersByTimeAsync(100);
        const second = await settle(createWriter(service, "p2").claim(createInput("k")));
        expect(second._unsafeUnwrap().kind).toBe(again);
    });

    it("writes many claims in few transactions", async () => {
        const service = new MemoryKeyValueStore();
        const writer = createWriter(service, "p1");
        const claims = Array.from({ length: 120 }, (_, index) => writer.claim(createInput(`k${index}`)));
        const results = await settle(Promise.all(claims));
        expect(results.every(result => result.isOk() && result.value.kind === "claimed")).toBe(true);
        expect(service.calls.commit).toBeLessThanOrEqual(4);
    });

    it("refuses within its time limit while the service is down, and frees the key afterwards", async () => {
        const service = new MemoryKeyValueStore();
        const writer = createWriter(service, "p1");
        service.down = true;
        const pending = Promise.resolve(writer.claim(createInput("k")));
        await vi.advanceTimersByTimeAsync(1000);
        expect((await pending).isErr()).toBe(true);
        service.down = false;
        expect((await settle(writer.claim(createInput("k"))))._unsafeUnwrap().kind).toBe("claimed");
    });

    const action = fc.record({
        writer: fc.integer({ min: 0, max: 2 }),
        key: fc.constantFrom("k1", "k2"),
        fault: fc.constantFrom(undefined, "lost_answer", "lost_request", "late_effect", "down", "up", "apply-late"),
        outcomeFault: fc.constantFrom(undefined, undefined, "lost_answer", "late_effect"),
        // Whether a claimed request runs, certainly does not run, or its process dies before it knows.
        end: fc.constantFrom(FINISHED, NOT_RUN, undefined),
        waitMs: fc.integer({ min: 0, max: 1500 }),
    });

    // Guards against two dispatches under one key, with lost answers, delayed writes, outages and repeats.
    it("allows at most one dispatch per key", async () => {
        await fc.assert(
            fc.asyncProperty(fc.array(action, { maxLength: 25 }), async actions => {
                const service = new MemoryKeyValueStore();
                const writers = ["p1", "p2", "p3"].map(name => createWriter(service, name));
                const runs = new Map<string, number>();
                for (const { writer, key, fault, outcomeFault, end, waitMs } of actions) {
                    if (fault === "down" || fault === "up") service.down = fault === "down";
                    else if (fault === "apply-late") service.applyLateWrites();
                    else if (fault !== undefined) service.faults.push(fault);
                    const input = createInput(key);
                    void writers[writer]!.claim(input).map(result => {
                        if (result.kind !== "claimed") return;
                        if (end !== NOT_RUN) runs.set(key, (runs.get(key) ?? 0) + 1);
                        if (outcomeFault !== undefined) service.faults.unshift(outcomeFault);
                        if (end !== undefined) writers[writer]!.complete(input, end);
                    });
                    await vi.advanceTimersByTimeAsync(waitMs);
                }
                service.down = false;
                service.applyLateWrites();
                await vi.advanceTimersByTimeAsync(5000);
                for (const count of runs.values()) expect(count).toBeLessThanOrEqual(1);
            }),
            seeded(400),
        );
    });
});
