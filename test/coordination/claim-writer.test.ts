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
        buildClaimKey: (service, hash) => `/t/claims/${service}/${hash}`,
    });
}

let attemptCount = 0;

function createInput(idempotencyKey: string): ClaimInput {
    attemptCount += 1;
    return {
        serviceId: "parts-ledger",
        idempotencyKey,
        record: {
            requestId: toId<RequestId>(`r${attemptCount}`),
            attemptId: toId<AttemptId>(`a${attemptCount}`),
            fingerprint: "f",
        },
    };
}

const FINISHED = { kind: "finished", status: 200, contentType: "application/json", bodyBase64: "e30=" } as const;
const NOT_RUN = { kind: "not_run", status: 503, contentType: "", bodyBase64: undefined } as const;

describe("claim writer", () => {
    beforeEach(() => void vi.useFakeTimers());
    afterEach(() => void vi.useRealTimers());

    async function advanceAndAwait<T>(promise: PromiseLike<T>): Promise<T> {
        const pending = Promise.resolve(promise);
        await vi.advanceTimersByTimeAsync(3000);
        return pending;
    }

    // Guards against a request that runs twice because a repeat could claim a key
    // whose first claim has no outcome yet, or a finished or unknown one.
    const cases = [
        { outcome: undefined, expectedKind: "existing" },
        { outcome: FINISHED, expectedKind: "existing" },
        { outcome: { ...FINISHED, kind: "unknown" } as const, expectedKind: "existing" },
        { outcome: NOT_RUN, expectedKind: "claimed" },
    ];
    it.each(cases)(
        "returns $expectedKind for a repeat when the outcome of the first claim is $outcome.kind",
        async ({ outcome, expectedKind }) => {
            const store = new MemoryKeyValueStore();
            const first = createInput("k");
            const writer = createWriter(store, "p1");
            expect((await advanceAndAwait(writer.claim(first)))._unsafeUnwrap().kind).toBe("claimed");
            if (outcome !== undefined) writer.complete(first, outcome);
            await vi.advanceTimersByTimeAsync(100);
            const second = await advanceAndAwait(createWriter(store, "p2").claim(createInput("k")));
            expect(second._unsafeUnwrap().kind).toBe(expectedKind);
        },
    );

    it("writes concurrent claims in a few transactions", async () => {
        const store = new MemoryKeyValueStore();
        const writer = createWriter(store, "p1");
        const claims = Array.from({ length: 120 }, (_, index) => writer.claim(createInput(`k${index}`)));
        const results = await advanceAndAwait(Promise.all(claims));
        expect(results.every(result => result.isOk() && result.value.kind === "claimed")).toBe(true);
        expect(store.calls.commit).toBeLessThanOrEqual(4);
    });

    it("fails within its time limit during an outage and lets the key be claimed afterwards", async () => {
        const store = new MemoryKeyValueStore();
        const writer = createWriter(store, "p1");
        store.isDown = true;
        const pending = Promise.resolve(writer.claim(createInput("k")));
        await vi.advanceTimersByTimeAsync(1000);
        expect((await pending).isErr()).toBe(true);
        store.isDown = false;
        expect((await advanceAndAwait(writer.claim(createInput("k"))))._unsafeUnwrap().kind).toBe("claimed");
    });

    const actionArbitrary = fc.record({
        writer: fc.integer({ min: 0, max: 2 }),
        key: fc.constantFrom("k1", "k2"),
        event: fc.constantFrom(
            undefined,
            "lost_response",
            "lost_request",
            "late_effect",
            "down",
            "up",
            "apply_late_writes",
        ),
        outcomeFault: fc.constantFrom(undefined, undefined, "lost_response", "late_effect"),
        // Outcome stored for a claimed request; undefined if its process ends before storing one.
        outcome: fc.constantFrom(FINISHED, NOT_RUN, undefined),
        waitMs: fc.integer({ min: 0, max: 1500 }),
    });

    // Guards against two dispatches under one idempotency key, which lost responses, delayed writes, outages and
    // repeats from other processes can cause.
    it("allows at most one dispatch per idempotency key", async () => {
        await fc.assert(
            fc.asyncProperty(fc.array(actionArbitrary, { maxLength: 25 }), async actions => {
                const store = new MemoryKeyValueStore();
                const writers = ["p1", "p2", "p3"].map(name => createWriter(store, name));
                const dispatchCounts = new Map<string, number>();
                for (const { writer, key, event, outcomeFault, outcome, waitMs } of actions) {
                    if (event === "down" || event === "up") store.isDown = event === "down";
                    else if (event === "apply_late_writes") store.applyLateWrites();
                    else if (event !== undefined) store.writeFaults.push(event);
                    const input = createInput(key);
                    void writers[writer]!.claim(input).map(result => {
                        if (result.kind !== "claimed") return;
                        if (outcome !== NOT_RUN) dispatchCounts.set(key, (dispatchCounts.get(key) ?? 0) + 1);
                        if (outcomeFault !== undefined) store.writeFaults.unshift(outcomeFault);
                        if (outcome !== undefined) writers[writer]!.complete(input, outcome);
                    });
                    await vi.advanceTimersByTimeAsync(waitMs);
                }
                store.isDown = false;
                store.applyLateWrites();
                await vi.advanceTimersByTimeAsync(5000);
                for (const count of dispatchCounts.values()) expect(count).toBeLessThanOrEqual(1);
            }),
            seeded(400),
        );
    });
});
