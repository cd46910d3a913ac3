import { createPermitBroker, createPermitClient, type PermitBrokerPeer, URGENCY } from "@skylarkmill/coordination";
import { type ProcessId, toId } from "@skylarkmill/protocol";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";

const LIMIT = { kind: "model_load", ratePerSecond: 4, maxInFlight: 4 } as const;
const never = () => new Promise<never>(() => undefined);

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
        shareCount: () => 4,
    });
}

describe("permits", () => {
    beforeEach(() => void vi.useFakeTimers());
    afterEach(() => void vi.useRealTimers());

    // Guards against a weight store that slows down because more loads run than its limit allows,
    // and against loads that wait forever when the broker is dead or suspended.
    const cases = [
        { name: "the broker answers", peer: createLocalPeer, minGranted: 36, maxGranted: 41 },
        { name: "no broker is known", peer: () => undefined, minGranted: 36, maxGranted: 44 },
        {
            name: "the broker is suspended",
            peer: () => ({ ...createLocalPeer(), acquire: never }),
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
    it.each(cases)("keep to 4 loads a second and 4 at once when $name", async ({ peer, minGranted, maxGranted }) => {
        const shared = peer();
        const stop = new AbortController();
        let granted = 0;
        let inFlight = 0;
        let maxInFlight = 0;
        const work = async (index: number) => {
            const client = createClient(`agent-${index}`, shared);
            for (;;) {
                const permit = await client.acquire("model_load", { urgency: 0, signal: stop.signal });
                if (permit === undefined) return;
                granted += 1;
                inFlight += 1;
                maxInFlight = Math.max(maxInFlight, inFlight);
                await new Promise(resolve => setTimeout(resolve, 700));
                inFlight -= 1;
                permit.release();
            }
        };
        void Promise.all([0, 1, 2, 3].map(work));
        await vi.advanceTimersByTimeAsync(10_000);
        stop.abort();
        expect(maxInFlight).toBeLessThanOrEqual(4);
        expect(granted).toBeGreaterThanOrEqual(minGranted);
        expect(granted).toBeLessThanOrEqual(maxGranted);
    });

    it("serve a waiting request before a prefetch", async () => {
        const peer = createLocalPeer();
        await createClient("first", peer).acquire("model_load", { urgency: 0 });
        const order: string[] = [];
        const take = (name: string, urgency: number) =>
            createClient(name, peer).acquire("model_load", { urgency }).then(() => order.push(name));
        void take("prefetch", URGENCY.prefetch);
        await vi.advanceTimersByTimeAsync(10);
        void take("request", URGENCY.waitingRequest);
        await vi.advanceTimersByTimeAsync(2000);
        expect(order).toEqual(["request", "prefetch"]);
    });
});
