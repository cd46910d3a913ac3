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
    type RequestBody,
    RequestTask,
    type ResponseListener,
    type ResponseWriter,
    RetryBudget,
    type Route,
    ServerDirectory,
    ServerRates,
    WorkspaceDirectory,
} from "@skylarkmill/gateway";
import {
    type DataCentre,
    type Refusal,
    type RequestId,
    type ServerId,
    type ServiceId,
    toId,
} from "@skylarkmill/protocol";
import { createIdleExchange } from "./idle-exchange.ts";

const SERVICE = toId<ServiceId>("desk");
const DATA_CENTRE = toId<DataCentre>("dc-1");
const SERVER_IDS = ["d1", "d2"].map(name => toId<ServerId>(name));

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

/** What reached the caller. */
export type CallerOutcome =
    | { readonly kind: "refused"; readonly refusal: Refusal; }
    | { readonly kind: "relayed"; readonly status: number; }
    | { readonly kind: "aborted"; };

export interface StartedRequest {
    readonly task: RequestTask;
    /** Receivers of the responses to the attempts, in the order of the attempts. */
    readonly sent: ResponseListener[];
    readonly outcomes: CallerOutcome[];
    readonly byteBudget: ByteBudget;
    /** Number of times at which the quota got back what the request had used. */
    readonly countGivenBack: () => number;
    /** Adds the servers, or those that were removed. */
    readonly addServers: () => void;
    readonly removeServers: () => void;
    /** Lets the caller read, who reads nothing of a stream by itself. */
    readonly drain: () => void;
}

export interface StartOptions {
    readonly body?: RequestBody | undefined;
    /** Memory for large bodies and responses. */
    readonly budgetBytes?: number;
    /** Retries that are allowed whatever the number of requests, over all gateways. */
    readonly retrySlack?: number;
}

/** Starts a request that two servers can run. */
export function startRequest(
    routeFields: Partial<Route>,
    { body, budgetBytes = 100_000, retrySlack = 50 }: StartOptions = {},
): StartedRequest {
    const sent: ResponseListener[] = [];
    const outcomes: CallerOutcome[] = [];
    const byteBudget = new ByteBudget(budgetBytes);
    const directory = new ServerDirectory(silentLogger);
    const retryBudget = new RetryBudget({ ratio: 0.2, slack: retrySlack, windowMs: 10_000 });
    let givenBackCount = 0;
    const context: GatewayContext = {
        serverRanking: createServerRanking("least_load"),
        workspaces: new WorkspaceDirectory(),
        fairOrder: new FairOrder(() => 1),
        quotas: {
            decide: () => ({ kind: "admitted" }),
            leave: () => undefined,
            giveBack: () => {
                givenBackCount += 1;
            },
        },
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
        getRetryBudget: () => retryBudget,
        getGatewayCount: () => 1,
    };
    const addServers = (): void => {
        for (const serverId of SERVER_IDS) {
            directory.upsert({
                serverId,
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
    };
    addServers();
    let drain = (): void => undefined;
    const relay = (status: number): void => void outcomes.push({ kind: "relayed", status });
    const writer: ResponseWriter = {
        hasStarted: false,
        onCallerDisconnect: () => undefined,
        sendComplete: relay,
        sendUnverified: relay,
        start: relay,
        // The caller doesn't read.
        write: () => false,
        onDrain: listener => {
            drain = listener;
        },
        end: () => undefined,
        refuse: refusal => void outcomes.push({ kind: "refused", refusal }),
        abort: () => void outcomes.push({ kind: "aborted" }),
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
    directory.onChange(() => task.retryDispatch());
    task.start();
    return {
        task,
        sent,
        outcomes,
        byteBudget,
        countGivenBack: () => givenBackCount,
        addServers,
        removeServers: () => {
            for (const serverId of SERVER_IDS) directory.remove(serverId, "test");
        },
        drain: () => drain(),
    };
}
