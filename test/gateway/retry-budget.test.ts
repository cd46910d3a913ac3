import { RetryBudget } from "@skylarkmill/gateway";
import fc from "fast-check";
import { expect, it } from "vitest";
import { seeded } from "../support/seed.ts";

const WINDOW_MS = 10_000;
const RATIO = 0.2;
const SLACK = 58;

interface Event {
    readonly gateway: number;
    readonly gapMs: number;
    readonly isRetry: boolean;
}

const event: fc.Arbitrary<Event> = fc.record({
    gateway: fc.nat(7),
    gapMs: fc.integer({ min: 0, max: 400 }),
    // Many more retries are attempted than the budget allows, as happens while servers fail.
    isRetry: fc.boolean(),
});

// Guards against exceeding the shared retry budget: the retries of all gateways in any window may exceed the ratio of
// its requests by at most the slack.
it("keeps the retries of all gateways together within the budget", () => {
    fc.assert(
        fc.property(
            fc.integer({ min: 1, max: 8 }),
            fc.array(event, { minLength: 50, maxLength: 600 }),
            (count, events) => {
                const budgets = Array.from(
                    { length: count },
                    () => new RetryBudget({ ratio: RATIO, slack: SLACK, windowMs: WINDOW_MS }),
                );
                const requests: number[] = [];
                const retries: number[] = [];
                let now = 0;
                for (const { gateway, gapMs, isRetry } of events) {
                    now += gapMs;
                    const budget = budgets[gateway % count]!;
                    if (!isRetry) {
                        budget.recordRequest(now);
                        requests.push(now);
                    }
                    else if (budget.tryConsumeRetry(now, count)) retries.push(now);
                    const inWindow = (atMs: number): boolean => atMs > now - WINDOW_MS;
                    const allowed = RATIO * requests.filter(inWindow).length + SLACK;
                    expect(retries.filter(inWindow).length).toBeLessThanOrEqual(allowed);
                }
            },
        ),
        seeded<never>(100) as never,
    );
});

// Each gateway uses 0.7 of its part of the budget.
it.each([
    {
        name: "only the slack without requests",
        requests: 0,
        gateways: 5,
        granted: Math.floor(0.7 * SLACK / 5),
    },
    {
        name: "the ratio of the requests in addition to the slack",
        requests: 100,
        gateways: 5,
        granted: Math.floor(0.7 * (RATIO * 100 + SLACK / 5)),
    },
    {
        name: "a smaller part of the slack with more gateways",
        requests: 0,
        gateways: 29,
        granted: Math.floor(0.7 * SLACK / 29),
    },
])("allows $name", ({ requests, gateways, granted }) => {
    const budget = new RetryBudget({ ratio: RATIO, slack: SLACK, windowMs: WINDOW_MS });
    for (let count = 0; count < requests; count += 1) budget.recordRequest(count);
    let taken = 0;
    while (taken < 1_000 && budget.tryConsumeRetry(1_000, gateways)) taken += 1;
    expect(taken).toBe(granted);
});
