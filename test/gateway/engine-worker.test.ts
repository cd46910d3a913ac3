import { silentLogger } from "@skylarkmill/coordination";
import {
    type EngineClient,
    type EngineOrder,
    type EngineReport,
    EngineWorker,
    type OrderOutcome,
    type ServerRecord,
} from "@skylarkmill/gateway";
import { type DataCentre, type ModelId, type ServerId, type ServiceId, toId } from "@skylarkmill/protocol";
import { okAsync } from "neverthrow";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";

const MODEL = toId<ModelId>("m1");

const record: ServerRecord = {
    serverId: toId<ServerId>("e1"),
    serviceId: toId<ServiceId>("assistant"),
    address: { host: "127.0.0.1", port: 1 },
    dataCentre: toId<DataCentre>("dc-1"),
    draining: false,
    bornAtMs: 1,
    slotCount: 8,
    sequence: 0,
    models: [],
    onDisk: [MODEL],
    inMemory: [],
};

/** What becomes of an order: answered, lost on its way, or carried out with its answer lost. */
type OrderFate = "answered" | "lost" | "answer_lost";

/** An engine that checks sequences, loses orders or answers, and loads at once. */
class FakeEngine implements EngineClient {
    readonly orders: EngineOrder[] = [];
    loadCount = 0;
    private sequence = 0;
    private readonly held = new Set<ModelId>();

    constructor(private readonly fates: OrderFate[]) {}

    send(): never {
        throw new Error("no requests here");
    }

    async order(_server: ServerRecord, order: EngineOrder): Promise<OrderOutcome> {
        this.orders.push(order);
        const fate = this.fates.shift() ?? "answered";
        if (fate === "lost") return "unknown";
        const outcome = this.carryOut(order);
        return fate === "answered" ? outcome : "unknown";
    }

    report(): ReturnType<EngineClient["report"]> {
        const models = [...this.held].map(modelId => ({ modelId, adapterIds: [] }));
        const report: EngineReport = {
            bornAtMs: 1,
            busy: false,
            sequence: this.sequence,
            models,
            comingAdapterCount: 0,
            onDisk: [MODEL],
            inMemory: [],
        };
        return okAsync(report);
    }

    private carryOut(order: EngineOrder): OrderOutcome {
        if (order.expectedSequence !== this.sequence) return "stale";
        if (this.held.has(order.modelId)) return "already_held";
        this.sequence += 1;
        this.loadCount += 1;
        this.held.add(order.modelId);
        return "accepted";
    }
}

// Guards engines that leave orders unanswered: each lost one cost 1.2 s and a new plan (scale-1 of ccrma-works, 26 of
// 210 model orders failed).
describe("an order without an answer", () => {
    beforeEach(() => void vi.useFakeTimers());
    afterEach(() => void vi.useRealTimers());

    const cases: { name: string; fates: OrderFate[]; orderCount: number; withinMs: number; }[] = [
        { name: "is not repeated when it was answered", fates: ["answered"], orderCount: 2, withinMs: 20 },
        { name: "is sent again when it was lost", fates: ["lost"], orderCount: 3, withinMs: 20 },
        { name: "is sent again when it was lost twice", fates: ["lost", "lost"], orderCount: 4, withinMs: 20 },
        { name: "takes effect once when its answer was lost", fates: ["answer_lost"], orderCount: 2, withinMs: 500 },
    ];
    it.each(cases)("$name", async ({ fates, orderCount, withinMs }) => {
        const engines = new FakeEngine(fates);
        const worker = new EngineWorker(record, {
            engines,
            holder: "edge-1",
            token: () => 7,
            onFenced: () => undefined,
            logger: silentLogger,
            onChange: () => undefined,
            onOrder: () => undefined,
        });
        await worker.learn();
        const done = worker.run({ load: MODEL, unload: undefined, origin: "disk", expectedMs: 0 });
        await vi.advanceTimersByTimeAsync(withinMs);
        expect(worker.isIdle).toBe(true);
        expect([...worker.held.keys()]).toEqual([MODEL]);
        expect(engines.loadCount).toBe(1);
        expect(engines.orders).toHaveLength(orderCount);
        await vi.advanceTimersByTimeAsync(1_000);
        await done;
    });

    it("is not repeated once the right to order is gone", async () => {
        const engines = new FakeEngine(["lost"]);
        let token: number | undefined = 7;
        const worker = new EngineWorker(record, {
            engines: {
                send: () => engines.send(),
                report: () => engines.report(),
                order: (server, order) => {
                    token = undefined;
                    return engines.order(server, order);
                },
            },
            holder: "edge-1",
            token: () => token,
            onFenced: () => undefined,
            logger: silentLogger,
            onChange: () => undefined,
            onOrder: () => undefined,
        });
        await worker.learn();
        const done = worker.run({ load: MODEL, unload: undefined, origin: "disk", expectedMs: 0 });
        await vi.advanceTimersByTimeAsync(2_000);
        await done;
        expect(engines.orders).toHaveLength(1);
    });
});
