import { KEYS } from "@skylarkmill/config";
import { createPlacementDuty } from "@skylarkmill/control";
import { createPlacementPolicy } from "@skylarkmill/policy";
import { type ProcessId, toId } from "@skylarkmill/protocol";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createRecords, FakeMembership } from "./fixture.ts";
import { createPlainSection, OperatorHarness } from "./operator-fixture.ts";

// Guards against an accepted change whose audit entry is lost when the key-value service is restored from older data.
describe("audit trail after a restore of older data", () => {
    beforeEach(() => vi.useFakeTimers());
    afterEach(() => vi.useRealTimers());

    const cases = [
        { name: "all entries lost", editsBefore: 0, editsAfter: 0 },
        { name: "the last entries lost", editsBefore: 2, editsAfter: 0 },
        { name: "entries lost and a newer one written", editsBefore: 1, editsAfter: 1 },
        { name: "nothing lost", editsBefore: 4, editsAfter: 0 },
    ];
    it.each(cases)("is complete again: $name", async ({ editsBefore, editsAfter }) => {
        const harness = new OperatorHarness();
        const operator = await harness.addRouter();
        let version = 0;
        const edit = async () => {
            const response = await operator.put(
                "parts",
                version,
                `e-${version}`,
                createPlainSection("parts", { s: { timeoutMs: version + 1 } }),
            );
            expect(response.body["outcome"]).toBe("accepted");
            version += 1;
        };
        while (version < editsBefore) await edit();
        const old = harness.store.snapshot();
        while (version < 4) await edit();
        harness.store.restore(old);
        for (let count = 0; count < editsAfter; count += 1) await edit();
        const { records, config } = createRecords(harness.store, "router-1");
        const duty = createPlacementDuty({
            processId: toId<ProcessId>("router-1"),
            records,
            config,
            store: harness.store,
            membership: new FakeMembership(),
            policy: createPlacementPolicy(),
            serverStatuses: () => new Map(),
            lease: { isHeld: false, start: () => undefined, stop: async () => undefined },
        });
        duty.start();
        await vi.advanceTimersByTimeAsync(20_000);
        const stopped = duty.stop();
        await vi.advanceTimersByTimeAsync(1_000);
        await stopped;
        const expected = Array.from({ length: version }, (_, index) => KEYS.audit("parts", index + 1));
        expect(harness.store.keys(`${KEYS.auditPrefix}parts/`)).toEqual(expected);
    });
});
