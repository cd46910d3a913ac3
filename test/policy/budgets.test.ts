import { createHedgePolicy, createRetryBudget } from "@skylarkmill/policy";
import fc from "fast-check";
import { describe, expect, it } from "vitest";

const SEED = 20_260;

// Guards against retries or hedges that amplify an outage because they exceed their share of the requests.
describe("budgets", () => {
    const cases = [
        { name: "hedges", initialTokens: 0, create: (share: number) => createHedgePolicy({ share }) },
        {
            name: "retries",
            initialTokens: 3,
            create: (share: number) => createRetryBudget({ share, initialTokens: 3 }),
        },
    ];
    it.each(cases)("never exceed the share of the requests: $name", ({ create, initialTokens }) => {
        console.log(`seed ${SEED}`);
        const commands = fc.array(fc.boolean(), { maxLength: 2_000 });
        fc.assert(
            fc.property(commands, fc.double({ min: 0, max: 1, noNaN: true }), (requestFlags, share) => {
                const budget = create(share);
                let requestCount = 0;
                let consumedCount = 0;
                for (const isRequest of requestFlags) {
                    if (isRequest) {
                        budget.recordRequest(0);
                        requestCount += 1;
                    }
                    else if (budget.tryConsume(0)) {
                        consumedCount += 1;
                    }
                    expect(consumedCount).toBeLessThanOrEqual(initialTokens + share * requestCount + 1e-6);
                }
            }),
            { seed: SEED },
        );
    });

    // Guards against a budget that stays one token short because of rounding errors.
    it("allows one hedge per twenty requests", () => {
        const hedges = createHedgePolicy();
        let consumedCount = 0;
        for (let request = 0; request < 2_000; request += 1) {
            hedges.recordRequest(0);
            if (hedges.tryConsume(0)) consumedCount += 1;
        }
        expect(consumedCount).toBe(100);
    });
});
