import { createMembership, type HostEntry, type HostList, type Membership } from "@skylarkmill/adapters";
import { type DataCentre, type HostId, toId, UnavailableError } from "@skylarkmill/protocol";
import { errAsync, okAsync } from "neverthrow";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";

type ReadResult = readonly HostEntry[] | "failed";

const hostId = toId<HostId>("b");

function host(id: string, state: HostEntry["state"] = "live"): HostEntry {
    return {
        hostId: toId<HostId>(id),
        dataCentre: toId<DataCentre>("edinburgh"),
        role: "backend",
        state,
        address: "127.0.0.1",
        peerPort: 1,
        requestPort: 2,
    };
}

let membership: Membership;
let current: ReadResult;

beforeEach(() => {
    vi.useFakeTimers();
    const hostList: HostList = {
        read: () =>
            current === "failed"
                ? errAsync(new UnavailableError("refused", { step: "hosts.read", peer: "test" }))
                : okAsync(current),
    };
    membership = createMembership({ hostList, pollIntervalMs: 1000 });
});

afterEach(() => {
    membership.stop();
    vi.useRealTimers();
});

async function advance(read: ReadResult, ms: number): Promise<void> {
    current = read;
    await vi.advanceTimersByTimeAsync(ms);
}

// Guards against grants that are freed while their holder may still be alive, and grants that are never freed.
describe("isGone", () => {
    const both = [host("a"), host("b")];
    const one = [host("a")];
    const cases: readonly { name: string; steps: readonly (readonly [ReadResult, number])[]; isGone: boolean; }[] = [
        { name: "a live host", steps: [[both, 30_000]], isGone: false },
        { name: "a leaving host", steps: [[[host("a"), host("b", "leaving")], 30_000]], isGone: false },
        { name: "a host listed as gone", steps: [[[host("a"), host("b", "gone")], 1000]], isGone: true },
        { name: "a host absent for less than 10 s", steps: [[both, 1500], [one, 9000]], isGone: false },
        { name: "a host absent for more than 10 s", steps: [[both, 1500], [one, 12_000]], isGone: true },
        {
            name: "a host absent from 2 reads 60 s apart",
            steps: [[both, 1500], [one, 1000], ["failed", 60_000], [one, 1000]],
            isGone: false,
        },
        {
            name: "a host that was listed again between two absences",
            steps: [[both, 1500], [one, 6000], [both, 1000], [one, 6000]],
            isGone: false,
        },
        { name: "a host during failed reads", steps: [[both, 1500], ["failed", 60_000]], isGone: false },
        { name: "a host while the list is empty", steps: [[both, 1500], [[], 60_000]], isGone: false },
    ];
    it.each(cases)("is $isGone for $name", async ({ steps, isGone }) => {
        current = steps[0]![0];
        membership.start();
        for (const [read, ms] of steps) await advance(read, ms);
        expect(membership.isGone(hostId)).toBe(isGone);
    });

    it("tracks the absence of a host that this process never saw in the list", async () => {
        current = one;
        membership.start();
        await advance(one, 1500);
        expect(membership.isGone(hostId)).toBe(false);
        await advance(one, 12_000);
        expect(membership.isGone(hostId)).toBe(true);
    });
});

// Guards against listeners that miss a change or are called on every read.
it("calls the listener once per change and keeps the last list while reads fail", async () => {
    const listener = vi.fn();
    membership.subscribe(listener);
    current = [host("a")];
    membership.start();
    await advance([host("a")], 5000);
    await advance([host("a", "leaving")], 5000);
    await advance("failed", 5000);
    expect(listener).toHaveBeenCalledTimes(2);
    expect(membership.hosts()).toEqual([host("a", "leaving")]);
    expect(membership.ageMs()).toBeGreaterThan(4000);
});
