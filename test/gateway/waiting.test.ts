import { LogLimiter, silentLogger } from "@skylarkmill/coordination";
import {
    ByteBudget,
    type CallerRequest,
    CrashSuspects,
    createServerRanking,
    FairOrder,
    type GatewayContext,
    GatewayMetrics,
    LocalDemandTracker,
    RequestTask,
    type ResponseWriter,
    RetryBudget,
    type Route,
    ServerDirectory,
    ServerRates,
    WorkspaceDirectory,
} from "@skylarkmill/gateway";
import {
    type DataCentre,
    type ModelId,
    type Refusal,
    type RequestId,
    type ServiceId,
    toId,
} from "@skylarkmill/protocol";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";

const SERVICE = toId<ServiceId>("assistant");
const MODEL = toId<ModelId>("rare");
/** Callers give a stream up after this time without an event. */
const PATIENCE_MS = 2_000;
/** An engine needs this long to the first event. */
const FIRST_EVENT_MS = 150;
const TIMEOUT_MS = 12_000;

const route: Route = {
    name: "diagnosis",
    host: "workshop.example",
    prefix: "/diagnosis/",
    kind: "streaming",
    services: [{ serviceId: SERVICE, weight: 1 }],
    timeoutMs: TIMEOUT_MS,
    targetLatencyMs: 400,
    callerSilenceTimeoutMs: PATIENCE_MS,
    priority: 2,
    maxAttempts: 2,
    isPublic: false,
    isResumable: true,
};

const request: CallerRequest = {
    requestId: toId<RequestId>("r1"),
    keyDigest: undefined,
    workspaceId: undefined,
    method: "POST",
    path: "/diagnosis/a",
    host: "workshop.example",
    modelId: MODEL,
    adapterId: undefined,
    hasTokenCount: false,
    promptTokenCount: 0,
    maxOutputTokenCount: 0,
    sharedPromptParts: [],
    lastEventId: undefined,
    deadlineMs: undefined,
    headers: [],
    body: undefined,
};

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function setup() {
    const directory = new ServerDirectory(silentLogger);
    const localDemand = new LocalDemandTracker(() => undefined);
    const context: GatewayContext = {
        serverRanking: createServerRanking("least_load"),
        workspaces: new WorkspaceDirectory(),
        fairOrder: new FairOrder(() => 1),
        quotas: { decide: () => ({ kind: "admitted" }), leave: () => undefined, giveBack: () => undefined },
        dataCentre: toId<DataCentre>("dc-1"),
        directory,
        engineClient: undefined as never,
        byteBudget: new ByteBudget(1_000),
        crashSuspects: new CrashSuspects({ logger: silentLogger, onChange: () => undefined }),
        serverRates: new ServerRates({
            logger: silentLogger,
            requestReservations: async () => undefined,
            onChange: () => undefined,
            onStatement: () => undefined,
            isListed: () => true,
        }),
        localDemand,
        metrics: new GatewayMetrics(),
        logger: silentLogger,
        requestLogLimiter: new LogLimiter(20),
        getRetryBudget: () => new RetryBudget({ ratio: 0.2, slack: 50, windowMs: 10_000 }),
        getGatewayCount: () => 5,
    };
    let refused: { refusal: Refusal; atMs: number; } | undefined;
    const startedAtMs = performance.now();
    const writer: ResponseWriter = {
        hasStarted: false,
        onCallerDisconnect: () => undefined,
        sendComplete: () => undefined,
        sendUnverified: () => undefined,
        start: () => undefined,
        write: () => true,
        onDrain: () => undefined,
        end: () => undefined,
        refuse: refusal => {
            refused = { refusal, atMs: performance.now() - startedAtMs };
        },
        abort: () => undefined,
    };
    const task = new RequestTask(context, route, SERVICE, request, writer, startedAtMs, () => undefined);
    directory.onChange(() => task.retryDispatch());
    task.start();
    return { directory, localDemand, getRefused: () => refused };
}

describe("a request that waits for its model", () => {
    // Guards against requests that were held until their callers gave up: the estimate arrived 1.3 s late, or an estimate
    // that proved wrong was believed until the last moment.
    it.each([
        { name: "can't be ready in time", readyInMs: 8_000, minMs: 0, maxMs: 20 },
        { name: "would be ready too late for its first event", readyInMs: PATIENCE_MS - 100, minMs: 0, maxMs: 20 },
        { name: "is not ready at the estimated time", readyInMs: 1_000, minMs: 1_000, maxMs: 1_500 },
        {
            name: "is not ready at an estimated time shortly before the caller gives up",
            readyInMs: 1_700,
            minMs: 1_700,
            maxMs: PATIENCE_MS - FIRST_EVENT_MS,
        },
    ])("is refused as not run when the model $name", async ({ readyInMs, minMs, maxMs }) => {
        const { directory, getRefused } = setup();
        await vi.advanceTimersByTimeAsync(10);
        expect(getRefused()).toBeUndefined();
        directory.updateEtas([{ modelId: MODEL, readyInMs }]);
        await vi.advanceTimersByTimeAsync(PATIENCE_MS);
        expect(getRefused()?.refusal).toMatchObject({ status: 503, execution: "not_run" });
        expect(getRefused()!.atMs).toBeGreaterThanOrEqual(minMs);
        expect(getRefused()!.atMs).toBeLessThanOrEqual(maxMs);
    });

    // Guards against a second refusal: a refused request no longer counted, so its model was on no engine when the caller
    // came back.
    it("counts as demand until its caller has returned", async () => {
        const { directory, localDemand, getRefused } = setup();
        directory.updateEtas([{ modelId: MODEL, readyInMs: 8_000 }]);
        await vi.advanceTimersByTimeAsync(20);
        const { retryAfterMs } = getRefused()!.refusal;
        expect(localDemand.listWaiting()).toMatchObject([{ modelId: MODEL, count: 1 }]);
        await vi.advanceTimersByTimeAsync(retryAfterMs!);
        expect(localDemand.listWaiting()).toMatchObject([{ modelId: MODEL, count: 1 }]);
        await vi.advanceTimersByTimeAsync(1_000);
        expect(localDemand.listWaiting()).toEqual([]);
    });
});
