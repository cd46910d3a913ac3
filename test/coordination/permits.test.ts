import { createPermitBroker, createPermitClient, type PermitBrokerPeer, URGENCY } from "@skylarkmill/coordination";
import { type ProcessId, toId } from "@skylarkmill/protocol";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";

const LIMIT = { kind: "model_load", ratePerSecond: 4, maxInFlight: 4 } as const;
const neverSettle = () => new Promise<never>(() => undefined);

function createLocalPeer(): PermitBrokerPeer {
    const broker = createPermitBroker({ limits: () => [LIMIT] });
    return {
        processId: toId<ProcessId>("router-1"),
        acquire: request => broker.acquire(request),
        release: async permitId => broker.release(permitId),
    };
}

function createClient(name: string, peer: PermitBrokerPeer | undefined) {
    return createPermitClient({
        processId: toId<ProcessId>(name),
        limits: () => [LIMIT],
        broker: () => peer,
        sharingProcessCount: () => 4,
    });
}

describe("permits", () => {
    beforeEach(() => void vi.useFakeTimers());
    afterEach(() => void vi.useRealTimers());

    // Guards against a weight store that slows down because more loads run than its limit allows,
    // and against loads that never start when the broker is dead or suspended.
    // In 10 s, 4 permits a second give 40, plus the initial token of the broker's bucket (41) or the initial permit of
    // each of the 4 static shares (44). The lower bounds leave room for retry delays, polling and calls that time out.
    const cases = [
        { name: "the broker responds", peer: createLocalPeer, minGranted: 36, maxGranted: 41 },
        { name: "no broker is known", peer: () => undefined, minGranted: 36, maxGranted: 44 },
        {
            name: "the broker is suspended",
            peer: () => ({ ...createLocalPeer(), acquire: neverSettle }),
            minGranted: 30,
            maxGranted: 44,
        },
        {
            name: "the broker is dead",
            peer: () => ({ ...createLocalPeer(), acquire: () => Promise.reject(new Error("refused")) }),
            minGranted: 30,
            maxGranted: 44,
        },
    ];
    it.each(cases)(
        "allow at most 4 loads a second and 4 in flight when $name",
        async ({ peer, minGranted, maxGranted }) => {
            const sharedPeer = peer();
            const abortController = new AbortController();
            let grantedCount = 0;
            let inFlightCount = 0;
            let maxInFlight = 0;
            const runLoads = async (index: number) => {
                const client = createClient(`agent-${index}`, sharedPeer);
                for (;;) {
                    const permit = await client.acquire("model_load", { urgency: 0, signal: abortController.signal });
                    if (permit === undefined) return;
                    grantedCount += 1;
                    inFlightCount += 1;
                    maxInFlight = Math.max(maxInFlight, inFlightCount);
                    await new Promise(resolve => setTimeout(resolve, 700));
                    inFlightCount -= 1;
                    permit.release();
                }
            };
            void Promise.all([0, 1, 2, 3].map(runLoads));
            await vi.advanceTimersByTimeAsync(10_000);
            abortController.abort();
            expect(maxInFlight).toBeLessThanOrEqual(4);
            expect(grantedCount).toBeGreaterThanOrEqual(minGranted);
            expect(grantedCount).toBeLessThanOrEqual(maxGranted);
        },
    );

    it("are granted to a waiting request before a prefetch", async () => {
        const peer = createLocalPeer();
        await createClient("first", peer).acquire("model_load", { urgency: 0 });
        const order: string[] = [];
        const acquirePermit = (name: string, urgency: number) =>
            createClient(name, peer).acquire("model_load", { urgency }).then(() => order.push(name));
        void acquirePermit("prefetch", URGENCY.prefetch);
        await vi.advanceTimersByTimeAsync(10);
        void acquirePermit("request", URGENCY.waitingRequest);
        await vi.advanceTimersByTimeAsync(2000);
        expect(order).toEqual(["request", "prefetch"]);
    });
});
