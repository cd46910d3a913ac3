import { silentLogger } from "@skylarkmill/coordination";
import {
    Attempt,
    type AttemptListener,
    ByteBudget,
    type CallerRequest,
    CrashSuspects,
    type ResponseListener,
    type ServerRecord,
    ServerState,
} from "@skylarkmill/gateway";
import {
    type DataCentre,
    type PromptPartId,
    type RequestId,
    type ServerId,
    type ServiceId,
    toId,
} from "@skylarkmill/protocol";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createIdleExchange } from "./support/idle-exchange.ts";

const DEADLY = toId<PromptPartId>("deadly");
const COMMON = toId<PromptPartId>("common");
const ENGINES = Array.from({ length: 9 }, (_, index) => toId<ServerId>(`e${index}`));
/** Interval of demand messages, in which gateways exchange evidence. */
const EXCHANGE_MS = 250;
const FIRST_REFUSAL_MS = 30_000;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function create(): CrashSuspects {
    return new CrashSuspects({ logger: silentLogger, onChange: () => undefined });
}

/** Sends a request to an engine, which ends, and returns whether it was sent. */
function endEngine(suspects: CrashSuspects, engine: ServerId, bornAtMs = 1, parts = [COMMON, DEADLY]): boolean {
    if (suspects.decide(parts).kind !== "send") return false;
    suspects.beginAttempt(parts);
    suspects.recordEngineEnd(engine, bornAtMs, parts);
    suspects.endAttempt(parts);
    return true;
}

function answer(suspects: CrashSuspects, parts: readonly PromptPartId[]): void {
    suspects.beginAttempt(parts);
    suspects.endAttempt(parts);
    suspects.recordAnswer(parts);
}

// Guards against requests of one kind that crash engines one after the other.
describe("a part with which engines end", () => {
    it.each([
        { name: "at one gateway", gatewayCount: 1, maxEnds: 3 },
        { name: "at any of five gateways", gatewayCount: 5, maxEnds: 5 },
    ])("is refused after a few ends $name", async ({ gatewayCount, maxEnds }) => {
        const gateways = Array.from({ length: gatewayCount }, create);
        let ends = 0;
        for (let request = 0; request < 30; request += 1) {
            for (const gateway of gateways) answer(gateway, [COMMON]);
            if (endEngine(gateways[request % gatewayCount]!, ENGINES[request % ENGINES.length]!, request)) ends += 1;
            await vi.advanceTimersByTimeAsync(450);
            for (const gateway of gateways) gateways[0]!.mergeEvidence(gateway.listEvidence());
            for (const gateway of gateways) gateway.mergeEvidence(gateways[0]!.listEvidence());
        }
        expect(ends).toBeLessThanOrEqual(maxEnds);
        for (const gateway of gateways) {
            expect(gateway.decide([COMMON, DEADLY]).kind).toBe("refuse");
            expect(gateway.decide([COMMON]).kind).toBe("send");
        }
    });

    it("is known to a gateway that restarts", async () => {
        const [first, second] = [create(), create()];
        for (const engine of ENGINES.slice(0, 3)) {
            endEngine(first, engine);
            await vi.advanceTimersByTimeAsync(500);
        }
        second.mergeEvidence(first.listEvidence());
        expect(second.decide([DEADLY]).kind).toBe("refuse");
    });

    it("is tried again after the refusal, and then refused for longer", async () => {
        const suspects = create();
        for (const engine of ENGINES.slice(0, 3)) {
            endEngine(suspects, engine);
            await vi.advanceTimersByTimeAsync(500);
        }
        await vi.advanceTimersByTimeAsync(FIRST_REFUSAL_MS);
        expect(endEngine(suspects, ENGINES[3]!)).toBe(true);
        await vi.advanceTimersByTimeAsync(1.5 * FIRST_REFUSAL_MS);
        expect(suspects.decide([DEADLY]).kind).toBe("refuse");
        await vi.advanceTimersByTimeAsync(FIRST_REFUSAL_MS);
        answer(suspects, [DEADLY]);
        expect(suspects.decide([DEADLY]).kind).toBe("send");
    });

    it("is at one engine at a time while it is suspected", () => {
        const suspects = create();
        endEngine(suspects, ENGINES[0]!);
        expect(suspects.decide([DEADLY]).kind).toBe("send");
        suspects.beginAttempt([DEADLY]);
        expect(suspects.decide([DEADLY]).kind).toBe("wait");
        suspects.endAttempt([DEADLY]);
        expect(suspects.decide([DEADLY]).kind).toBe("send");
    });
});

describe("a sound part", () => {
    it.each([
        {
            name: "with which answers begin in between",
            run: async (suspects: CrashSuspects): Promise<void> => {
                for (const engine of ENGINES) {
                    endEngine(suspects, engine);
                    answer(suspects, [COMMON, DEADLY]);
                    await vi.advanceTimersByTimeAsync(500);
                }
            },
        },
        {
            name: "when one engine breaks many connections",
            run: async (suspects: CrashSuspects): Promise<void> => {
                for (let count = 0; count < 9; count += 1) {
                    endEngine(suspects, ENGINES[0]!);
                    await vi.advanceTimersByTimeAsync(500);
                }
            },
        },
        {
            name: "when many engines end at the same moment",
            run: async (suspects: CrashSuspects): Promise<void> => {
                for (const engine of ENGINES) endEngine(suspects, engine);
                await vi.advanceTimersByTimeAsync(500);
            },
        },
        {
            name: "when evidence of other gateways meets answers here",
            run: async (suspects: CrashSuspects): Promise<void> => {
                for (const engine of ENGINES) {
                    answer(suspects, [COMMON, DEADLY]);
                    const other = create();
                    endEngine(other, engine);
                    suspects.mergeEvidence(other.listEvidence());
                    await vi.advanceTimersByTimeAsync(EXCHANGE_MS);
                }
            },
        },
    ])("is not refused $name", async ({ run }) => {
        const suspects = create();
        await run(suspects);
        expect(suspects.decide([COMMON, DEADLY]).kind).toBe("send");
    });

    it("is cleared everywhere by an answer at one gateway", async () => {
        const [first, second] = [create(), create()];
        for (const engine of ENGINES.slice(0, 3)) {
            endEngine(first, engine);
            await vi.advanceTimersByTimeAsync(500);
        }
        second.mergeEvidence(first.listEvidence());
        answer(second, [COMMON, DEADLY]);
        first.mergeEvidence(second.listEvidence());
        expect(first.decide([COMMON, DEADLY]).kind).toBe("send");
        // The older evidence does not return.
        await vi.advanceTimersByTimeAsync(5_000);
        const third = create();
        third.mergeEvidence(first.listEvidence());
        third.mergeEvidence(second.listEvidence());
        expect(third.decide([COMMON, DEADLY]).kind).toBe("send");
    });
});

const server: ServerRecord = {
    serverId: ENGINES[0]!,
    serviceId: toId<ServiceId>("assistant"),
    address: { host: "127.0.0.1", port: 1 },
    dataCentre: toId<DataCentre>("dc"),
    draining: false,
    bornAtMs: 1,
    slotCount: 8,
    sequence: 0,
    models: [],
    onDisk: [],
    inMemory: [],
};
const request: CallerRequest = {
    keyDigest: undefined,
    workspaceId: undefined,
    requestId: toId<RequestId>("r1"),
    method: "POST",
    path: "/chat/x",
    host: "workshop.example",
    modelId: undefined,
    adapterId: undefined,
    hasTokenCount: false,
    promptTokenCount: 0,
    maxOutputTokenCount: 0,
    sharedPromptParts: [DEADLY],
    lastEventId: undefined,
    deadlineMs: undefined,
    headers: [],
    body: undefined,
};

describe("a connection that breaks", () => {
    it.each([
        { name: "before the answer", lastEventId: undefined, wasSent: true, suspectCount: 1 },
        // Guards against sound parts under suspicion: a stream that goes on elsewhere has been answered already.
        { name: "before the rest of a resumed answer", lastEventId: 7, wasSent: true, suspectCount: 0 },
        { name: "before the request was sent", lastEventId: undefined, wasSent: false, suspectCount: 0 },
    ])("is evidence for $suspectCount parts $name", ({ lastEventId, wasSent, suspectCount }) => {
        const suspects = create();
        const call = { request, server, deadlineMs: 1_000, priority: 5, lastEventId, weightVersion: undefined };
        const listener: Pick<AttemptListener, "onFailed"> = { onFailed: () => undefined };
        const buffers = new ByteBudget(1_000);
        const attempt = new Attempt(
            new ServerState(server),
            call,
            { isStream: true, isRetryable: true },
            buffers,
            suspects,
            listener as AttemptListener,
        );
        let response: ResponseListener | undefined;
        attempt.start({
            onNotice: undefined as never,
            sendRequest: (_call, receiver) => {
                response = receiver;
                return createIdleExchange();
            },
            sendOrder: undefined as never,
            readReport: undefined as never,
        });
        response!.onFailure(new Error("reset"), wasSent);
        expect(suspects.listEvidence()).toHaveLength(suspectCount);
        expect(suspects.decide([DEADLY]).kind).toBe("send");
    });
});

it("keeps a bounded number of parts", () => {
    const suspects = create();
    for (let index = 0; index < 10_000; index += 1) {
        const part = toId<PromptPartId>(`p${index}`);
        answer(suspects, [part]);
        endEngine(suspects, ENGINES[0]!, index, [toId<PromptPartId>(`q${index}`)]);
    }
    expect(suspects.listEvidence().length).toBeLessThanOrEqual(256);
});
