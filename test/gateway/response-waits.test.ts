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
    RequestBody,
    RequestTask,
    type ResponseHead,
    type ResponseListener,
    type ResponseWriter,
    RetryBudget,
    type Route,
    ServerDirectory,
    ServerRates,
    WorkspaceDirectory,
} from "@skylarkmill/gateway";
import { type DataCentre, type RequestId, type ServerId, type ServiceId, toId } from "@skylarkmill/protocol";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createIdleExchange } from "./support/idle-exchange.ts";

const SERVICE = toId<ServiceId>("desk");
const DATA_CENTRE = toId<DataCentre>("dc-1");
const BUDGET_BYTES = 100_000;
/** Time without an event after which a gateway searches for another server. */
const PAUSE_TIMEOUT_MS = 900;

const route: Route = {
    name: "lookup",
    host: "desk.example",
    prefix: "/lookup/",
    kind: "idempotent",
    services: [{ serviceId: SERVICE, weight: 1 }],
    timeoutMs: 30_000,
    targetLatencyMs: 400,
    callerSilenceTimeoutMs: undefined,
    priority: 2,
    maxAttempts: 3,
    isPublic: false,
    isResumable: false,
};

const request: CallerRequest = {
    requestId: toId<RequestId>("r1"),
    keyDigest: undefined,
    workspaceId: undefined,
    method: "POST",
    path: "/lookup/a",
    host: "desk.example",
    modelId: undefined,
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

const HEAD: ResponseHead = {
    status: 200,
    isNotRun: false,
    isGenuine: true,
    weightVersion: undefined,
    load: undefined,
    isFramed: true,
    statedByteCount: 0,
    headers: ["content-type", "text/event-stream"],
};

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

/** Starts a request that two servers can run. */
function start(routeFields: Partial<Route>, body?: RequestBody) {
    const sent: ResponseListener[] = [];
    const byteBudget = new ByteBudget(BUDGET_BYTES);
    const directory = new ServerDirectory(silentLogger);
    const context: GatewayContext = {
        serverRanking: createServerRanking("least_load"),
        workspaces: new WorkspaceDirectory(),
        fairOrder: new FairOrder(() => 1),
        quotas: { decide: () => ({ kind: "admitted" }), leave: () => undefined, giveBack: () => undefined },
        dataCentre: DATA_CENTRE,
        directory,
        engineClient: {
            onNotice: () => undefined,
            sendRequest: (_call, listener) => {
                sent.push(listener);
                return createIdleExchange();
            },
            sendOrder: undefined as never,
            readReport: undefined as never,
        },
        byteBudget,
        crashSuspects: new CrashSuspects({ logger: silentLogger, onChange: () => undefined }),
        serverRates: new ServerRates({
            logger: silentLogger,
            requestReservations: async () => undefined,
            onChange: () => undefined,
            onStatement: () => undefined,
            isListed: () => true,
        }),
        localDemand: new LocalDemandTracker(() => undefined),
        metrics: new GatewayMetrics(),
        logger: silentLogger,
        requestLogLimiter: new LogLimiter(20),
        getRetryBudget: () => new RetryBudget({ ratio: 0.2, slack: 50, windowMs: 10_000 }),
        getGatewayCount: () => 1,
    };
    for (const name of ["d1", "d2"]) {
        directory.upsert({
            serverId: toId<ServerId>(name),
            serviceId: SERVICE,
            address: { host: "10.0.0.1", port: 80 },
            dataCentre: DATA_CENTRE,
            draining: false,
            bornAtMs: 1,
            slotCount: 8,
            sequence: 0,
            models: [],
            onDisk: [],
            inMemory: [],
        });
    }
    let drain = (): void => undefined;
    const writer: ResponseWriter = {
        hasStarted: false,
        onCallerDisconnect: () => undefined,
        sendComplete: () => undefined,
        sendUnverified: () => undefined,
        start: () => undefined,
        // The caller doesn't read.
        write: () => false,
        onDrain: listener => {
            drain = listener;
        },
        end: () => undefined,
        refuse: () => undefined,
        abort: () => undefined,
    };
    const task = new RequestTask(
        context,
        { ...route, ...routeFields },
        SERVICE,
        { ...request, body },
        writer,
        performance.now(),
        () => undefined,
    );
    task.start();
    return { task, sent, byteBudget, drain: () => drain() };
}

// Guards against requests that are lost, although they could be repeated, since their responses waited for a while.
describe("a request whose connection breaks while its response waits for room", () => {
    it.each([
        { name: "takes memory of its own", byteCount: 1_000, sentCount: 2 },
        { name: "takes the memory that responses wait for", byteCount: 20_000, sentCount: 1 },
    ])("is repeated unless its body was given up: its body $name", ({ byteCount, sentCount }) => {
        const { task, sent, byteBudget } = start({}, new RequestBody([], byteCount, () => undefined));
        byteBudget.reserve(BUDGET_BYTES);
        sent[0]!.onHead({ ...HEAD, statedByteCount: 40_000 });
        expect(byteBudget.waiterCount).toBe(1);
        sent[0]!.onFailure(new Error("the connection closed within the response"), true);
        expect(sent.length).toBe(sentCount);
        task.endNow();
    });
});

// Guards against responses that wait for room although the request can be run again at once.
describe("an error that finds no room", () => {
    it("is followed by another attempt", () => {
        const { task, sent, byteBudget } = start({}, new RequestBody([], 20_000, () => undefined));
        byteBudget.reserve(BUDGET_BYTES);
        sent[0]!.onHead({ ...HEAD, status: 503, statedByteCount: 40_000 });
        expect([byteBudget.waiterCount, sent.length]).toEqual([0, 2]);
        task.endNow();
    });
});

// Guards against requests that run again and again since their callers read slowly.
describe("a stream whose caller doesn't read for a while", () => {
    it("isn't taken for a silent one until it is read again and sends nothing", async () => {
        const { task, sent, drain } = start({ kind: "streaming", isResumable: true });
        sent[0]!.onHead(HEAD);
        sent[0]!.onData(Buffer.from("id: 1\ndata: a\n\n"));
        await vi.advanceTimersByTimeAsync(20_000);
        expect(sent.length).toBe(1);
        drain();
        await vi.advanceTimersByTimeAsync(PAUSE_TIMEOUT_MS - 1);
        expect(sent.length).toBe(1);
        await vi.advanceTimersByTimeAsync(2);
        expect(sent.length).toBe(2);
        task.endNow();
    });
});
