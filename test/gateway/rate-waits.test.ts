import { LogLimiter, silentLogger } from "@skylarkmill/coordination";
import {
    ByteBudget,
    type CallerRequest,
    CrashSuspects,
    createServerRanking,
    type EngineCall,
    FairOrder,
    type GatewayContext,
    GatewayMetrics,
    LocalDemandTracker,
    RequestTask,
    type ResponseListener,
    type ResponseWriter,
    RetryBudget,
    type Route,
    ServerDirectory,
    ServerRates,
    type ServerRecord,
    WorkspaceDirectory,
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

const SERVICE = toId<ServiceId>("desk");
const DATA_CENTRE = toId<DataCentre>("dc-1");
const PART = toId<PromptPartId>("p1");
/** Callers give a stream up after this time without an event. */
const PATIENCE_MS = 2_000;

const idempotentRoute: Route = {
    name: "lookup",
    host: "desk.example",
    prefix: "/lookup/",
    kind: "idempotent",
    services: [{ serviceId: SERVICE, weight: 1 }],
    timeoutMs: 10_000,
    targetLatencyMs: 400,
    callerSilenceTimeoutMs: undefined,
    priority: 2,
    maxAttempts: 3,
    isPublic: false,
    isResumable: false,
};
const streamingRoute: Route = {
    ...idempotentRoute,
    kind: "streaming",
    isPublic: false,
    isResumable: true,
    callerSilenceTimeoutMs: PATIENCE_MS,
};

const request: CallerRequest = {
    requestId: toId<RequestId>("r1"),
    keyDigest: undefined,
    workspaceId: undefined,
    method: "GET",
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

const streamHead = {
    status: 200,
    isMarkedNotRun: false,
    namesRequest: true,
    isSigned: true,
    weightVersion: undefined,
    load: undefined,
    isFramed: true,
    statedByteCount: 0,
    headers: ["content-type", "text/event-stream"],
};

function createRecord(name: string, bornAtMs = 1): ServerRecord {
    return {
        serverId: toId<ServerId>(name),
        serviceId: SERVICE,
        address: { host: "10.0.0.1", port: 80 },
        dataCentre: DATA_CENTRE,
        draining: false,
        bornAtMs,
        slotCount: 8,
        sequence: 0,
        models: [],
        onDisk: [],
        inMemory: [],
    };
}

interface Sent {
    readonly call: EngineCall;
    readonly listener: ResponseListener;
    readonly atMs: number;
}

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

/** One gateway, which is the holder too, with servers that state a rate. */
function setup(names: readonly string[], ratePerSecond: number) {
    const directory = new ServerDirectory(silentLogger);
    const tasks = new Set<RequestTask>();
    const sent: Sent[] = [];
    const ends: { end: "refused" | "aborted"; atMs: number; }[] = [];
    const serverRates: ServerRates = new ServerRates({
        logger: silentLogger,
        requestReservations: async asked => serverRates.grant(asked, { term: 1, heldMs: 60_000, isConfirmed: true }),
        onChange: () => wake(),
        onStatement: () => undefined,
        isListed: () => true,
    });
    let isWakePending = false;
    const wake = (): void => {
        if (isWakePending) return;
        isWakePending = true;
        setImmediate(() => {
            isWakePending = false;
            for (const task of [...tasks]) task.retryDispatch();
        });
    };
    directory.onChange(wake);
    const context: GatewayContext = {
        serverRanking: createServerRanking("least_load"),
        workspaces: new WorkspaceDirectory(),
        fairOrder: new FairOrder(() => 1),
        quotas: { decide: () => ({ kind: "admitted" }), leave: () => undefined, giveBack: () => undefined },
        dataCentre: DATA_CENTRE,
        directory,
        engineClient: {
            onNotice: () => undefined,
            sendRequest: (call, listener) => {
                sent.push({ call, listener, atMs: performance.now() });
                return createIdleExchange();
            },
            sendOrder: undefined as never,
            readReport: undefined as never,
        },
        byteBudget: new ByteBudget(1_000_000),
        crashSuspects: new CrashSuspects({ logger: silentLogger, onChange: () => undefined }),
        serverRates,
        localDemand: new LocalDemandTracker(() => undefined),
        metrics: new GatewayMetrics(),
        logger: silentLogger,
        requestLogLimiter: new LogLimiter(20),
        getRetryBudget: () => new RetryBudget({ ratio: 0.2, slack: 50, windowMs: 10_000 }),
        getGatewayCount: () => 1,
    };
    for (const name of names) {
        const record = createRecord(name);
        directory.upsert(record);
        serverRates.recordStatement(record, ratePerSecond, performance.now() + 60_000);
    }
    const start = (route: Route, fields: Partial<CallerRequest> = {}): RequestTask => {
        const writer: ResponseWriter = {
            hasStarted: false,
            onCallerDisconnect: () => undefined,
            sendComplete: () => undefined,
            sendUnverified: () => undefined,
            start: () => undefined,
            write: () => true,
            onDrain: () => undefined,
            end: () => undefined,
            refuse: () => void ends.push({ end: "refused", atMs: performance.now() }),
            abort: () => void ends.push({ end: "aborted", atMs: performance.now() }),
        };
        const task = new RequestTask(
            context,
            route,
            SERVICE,
            { ...request, ...fields },
            writer,
            performance.now(),
            ended => void tasks.delete(ended),
        );
        tasks.add(task);
        task.start();
        return task;
    };
    return { directory, serverRates, crashSuspects: context.crashSuspects, sent, ends, start };
}

describe("a request at servers that state a rate", () => {
    // Guards against a retry that waited for a reservation that nobody had asked for.
    it("is repeated at the only server when that has a place", async () => {
        const { sent, start } = setup(["s1"], 2);
        start(idempotentRoute);
        await vi.advanceTimersByTimeAsync(20);
        expect(sent).toHaveLength(1);
        sent[0]!.listener.onFailure(new Error("reset"), true);
        await vi.advanceTimersByTimeAsync(600);
        expect(sent).toHaveLength(2);
    });

    // Guards against streams that waited for a place until their callers had left.
    it.each([
        { name: "is resumed", ratePerSecond: 1, sentCount: 2, abortedWithinMs: undefined },
        { name: "is given up at once", ratePerSecond: 0.3, sentCount: 1, abortedWithinMs: 50 },
    ])("$name at $ratePerSecond a second", async ({ ratePerSecond, sentCount, abortedWithinMs }) => {
        const { sent, ends, start } = setup(["s1"], ratePerSecond);
        start(streamingRoute);
        await vi.advanceTimersByTimeAsync(20);
        sent[0]!.listener.onHead(streamHead);
        sent[0]!.listener.onData(Buffer.from("id: 1\ndata: a\n\n"));
        const brokenAtMs = performance.now();
        sent[0]!.listener.onFailure(new Error("reset"), true);
        await vi.advanceTimersByTimeAsync(PATIENCE_MS);
        expect(sent).toHaveLength(sentCount);
        const [first] = ends;
        if (abortedWithinMs === undefined) expect(first).toBeUndefined();
        else expect(first!.atMs - brokenAtMs).toBeLessThanOrEqual(abortedWithinMs);
    });

    // Guards against one that must not be sent yet and keeps all later ones from their reservations.
    it("is sent although one waits before it that may end its server", async () => {
        const { crashSuspects, directory, sent, start } = setup(["s1"], 1);
        crashSuspects.recordEngineEnd(toId<ServerId>("s0"), 1, [PART]);
        directory.get(toId<ServerId>("s1"))!.recordUnreachable(performance.now());
        start(idempotentRoute, { sharedPromptParts: [PART] });
        crashSuspects.beginAttempt([PART]);
        start(idempotentRoute, { requestId: toId<RequestId>("r2") });
        start(idempotentRoute, { requestId: toId<RequestId>("r3") });
        directory.get(toId<ServerId>("s1"))!.recordReachable();
        await vi.advanceTimersByTimeAsync(1_500);
        expect(sent.map(({ call }) => call.request.requestId)).toEqual(["r2", "r3"]);
    });

    // Guards against a place in the line of a server's earlier start that was never left.
    it("leaves no one waiting at a server that starts again", async () => {
        const { directory, serverRates, sent, start } = setup(["s1"], 1);
        start(idempotentRoute);
        start(idempotentRoute);
        await vi.advanceTimersByTimeAsync(20);
        expect(serverRates.countWaiters(createRecord("s1"))).toBe(1);
        directory.upsert(createRecord("s1", 2));
        await vi.advanceTimersByTimeAsync(20);
        expect(sent).toHaveLength(2);
        expect(serverRates.countWaiters(createRecord("s1"))).toBe(0);
    });

    // Guards against a search every millisecond by each request whose place has come while its server has no capacity.
    it("searches seldom while its server has no capacity", async () => {
        const { directory, sent, start } = setup(["s1"], 4);
        start(idempotentRoute);
        await vi.advanceTimersByTimeAsync(20);
        start(idempotentRoute);
        await vi.advanceTimersByTimeAsync(100);
        directory.get(toId<ServerId>("s1"))!.recordAtCapacity(performance.now() + 200);
        const search = vi.spyOn(directory, "listNotDraining");
        await vi.advanceTimersByTimeAsync(250);
        expect(search.mock.calls.length).toBeLessThanOrEqual(150);
        await vi.advanceTimersByTimeAsync(1_000);
        expect(sent).toHaveLength(2);
    });

    // Guards against requests that waited though others before them took all places within their deadline.
    it("are refused at once if there is no place for all of them", async () => {
        const { sent, ends, start } = setup(["s1"], 1);
        for (let index = 0; index < 30; index += 1) start(idempotentRoute);
        await vi.advanceTimersByTimeAsync(100);
        expect(ends).toHaveLength(20);
        await vi.advanceTimersByTimeAsync(5_000);
        expect(ends).toHaveLength(20);
        expect(sent).toHaveLength(6);
    });

    it("goes to another server that has room, but for those that show whether the rate has ended", async () => {
        const { directory, serverRates, sent, start } = setup([], 4);
        const [limited, free] = [createRecord("s1"), createRecord("s2")];
        directory.upsert(limited);
        directory.upsert(free);
        serverRates.recordStatement(limited, 4, performance.now());
        for (let index = 0; index < 45; index += 1) {
            start(idempotentRoute);
            await vi.advanceTimersByTimeAsync(100);
        }
        const limitedSent = sent.filter(({ call }) => call.server.serverId === limited.serverId);
        expect(limitedSent.length).toBeGreaterThanOrEqual(1);
        expect(limitedSent.length).toBeLessThanOrEqual(14);
        expect(limitedSent[0]!.atMs - sent[0]!.atMs).toBeLessThanOrEqual(1_500);
    });
});
