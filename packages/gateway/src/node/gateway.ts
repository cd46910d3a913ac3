import { createAdaptorServer } from "@hono/node-server";
import {
    createInternalServerOptions,
    guardInternalServer,
    type KeyValueEntry,
    type ListenAddress,
    listenWhenFree,
    LogLimiter,
    nowMs,
    processLoopShare,
    type ReservationRequest,
    type ReservationResponse,
    sleep,
} from "@skylarkmill/coordination";
import type { Refusal, ServerId, ServiceId, SkylarkmillError } from "@skylarkmill/protocol";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { createServer, type Server } from "node:http";
import { ByteBudget } from "../runtime/byte-budget.ts";
import { CrashSuspects } from "../runtime/crash-suspects.ts";
import { EngineCommandRunner } from "../runtime/engine-command-runner.ts";
import { FairOrder } from "../runtime/fair-order.ts";
import { GatewayMembership } from "../runtime/gateway-membership.ts";
import { GatewayMetrics } from "../runtime/gateway-metrics.ts";
import type { HttpResponseWriter } from "../runtime/http-response-writer.ts";
import { countRunningRequests, LocalDemandTracker } from "../runtime/local-demand-tracker.ts";
import { MemberSelection, selectReaders } from "../runtime/member-selection.ts";
import { MEMORY_SHARES } from "../runtime/memory-shares.ts";
import { MemoryWatch } from "../runtime/memory-watch.ts";
import { OrderRights } from "../runtime/order-rights.ts";
import { PlacementPlanner } from "../runtime/placement-planner.ts";
import { registerProcessMetrics } from "../runtime/process-metrics.ts";
import { BodyBlockPool, type RequestBody } from "../runtime/request-body.ts";
import { RequestTask } from "../runtime/request-task.ts";
import { computeRequestTiming } from "../runtime/request-timing.ts";
import { RetryBudget } from "../runtime/retry-budget.ts";
import { ServerDirectory } from "../runtime/server-directory.ts";
import { MIN_EXPIRY_HEARTBEATS, ServerEntries } from "../runtime/server-entries.ts";
import { ServerNotices } from "../runtime/server-notices.ts";
import { createServerRanking } from "../runtime/server-ranking.ts";
import { ServerRates } from "../runtime/server-rates.ts";
import { StoreView } from "../runtime/store-view.ts";
import { WorkspaceDirectory } from "../runtime/workspace-directory.ts";
import { WorkspaceQuotas } from "../runtime/workspace-quotas.ts";
import type { GatewayConfiguration, Route } from "../types/configuration.ts";
import type { GatewayContext } from "../types/context.ts";
import type { CallerRequest } from "../types/engine.ts";
import type { GatewayOptions, RequestHead } from "../types/options.ts";
import type { DemandMessage, EngineCommand } from "../types/placement.ts";
import { pickService } from "../utils/pick-service.ts";
import { refusals } from "../utils/refusals.ts";
import { RouteTable } from "../utils/route-table.ts";
import { CallerServer } from "./caller-server.ts";
import { countDescriptors } from "./count-descriptors.ts";
import { createPeerApp } from "./peer-app.ts";
import { PeerClient } from "./peer-client.ts";
import { PlacementSynchronizer } from "./placement-synchronizer.ts";
import { ViewFollower } from "./view-follower.ts";

/** Prefix of the keys that gateways write. */
const OWN_PREFIX = "skylarkmill/";
const MEMBER_PREFIX = `${OWN_PREFIX}gateways/`;
const ORDER_RIGHT_PREFIX = `${OWN_PREFIX}orders/`;
/** Pause after a watch response, per reader, so that their total call rate grows slowly with their number. */
const WATCH_PAUSE_PER_READER_MS = 120;
const MIN_WATCH_PAUSE_MS = 500;
/** Longest pause after a watch response, as a share of the time within which a change must be known. */
const MAX_WATCH_PAUSE_SHARE = 0.4;
/** Largest number of log lines about requests per second; further lines are counted and skipped. */
const REQUEST_LINES_PER_SECOND = 20;
/** The load balancer opens no new connections after two failed readiness checks, which it makes once a second. */
const READINESS_DETECTION_MS = 2_500;
/** Time reserved at the end of the stop time, so that the process exits on its own. */
const STOP_MARGIN_MS = 400;
const STOP_CHECK_MS = 20;
/** Waiting requests are refused this long before the end, so that their callers have time to try another gateway. */
const STOP_REFUSE_WAITING_MS = 1_500;
/** Time without requests before the stop continues; requests on connections accepted last arrive within it. */
const STOP_IDLE_MS = 300;
/** Requests are refused on arrival this long before the end; most responses that are not streams take less. */
const STOP_REFUSE_ALL_MS = 500;
/** Timeout of the last calls to the key-value service, which may be unavailable. */
const STOP_COORDINATION_TIMEOUT_MS = 200;
/** Retry delay sent while stopping; it is short because another gateway can serve the request immediately. */
const STOP_RETRY_MS = 50;
/** Steps of the ports that the gateway needs to be ready. */
const CALLER_LISTEN_STEP = "caller.listen";
const READY_LISTEN_STEP = "ready.listen";
/** Time for the last responses to be written to their sockets. */
const STOP_FLUSH_MS = 100;

/** Accepts callers' requests and sends them directly to backend servers. */
export class Gateway {
    readonly metrics = new GatewayMetrics();
    private readonly options: GatewayOptions;
    private readonly directory: ServerDirectory;
    private readonly view: StoreView;
    private readonly membership: GatewayMembership;
    private readonly viewFollower: ViewFollower;
    private readonly orderRights: OrderRights;
    private readonly commandRunner: EngineCommandRunner;
    private readonly planner: PlacementPlanner;
    private readonly localDemand: LocalDemandTracker;
    private readonly crashSuspects: CrashSuspects;
    private readonly serverRates: ServerRates;
    private readonly synchronizer: PlacementSynchronizer;
    private readonly memoryWatch: MemoryWatch;
    private readonly peerClient = new PeerClient();
    private readonly callerServer: CallerServer;
    private readonly readyServer: Server;
    private readonly peerServer: Server;
    private readonly context: GatewayContext;
    private readonly retryBudgets = new Map<ServiceId, RetryBudget>();
    private readonly tasks = new Set<RequestTask>();
    private readonly workspaces = new WorkspaceDirectory();
    private readonly fairOrder = new FairOrder(workspaceId => this.workspaces.weightOf(workspaceId));
    private readonly quotas: WorkspaceQuotas;
    private readonly serverEntries: ServerEntries;
    private configuration: GatewayConfiguration | undefined;
    private routes = new RouteTable([]);
    private readonly listenAbort = new AbortController();
    private isStopping = false;
    /** Time from which requests that could last longer than the process are refused on arrival. */
    private refuseLongFromMs = Infinity;
    /** Time by which a stop has ended. */
    private stopEndsAtMs = Infinity;
    /** Time from which all requests are refused on arrival, since the process ends. */
    private refuseAllFromMs = Infinity;
    private isWakePending = false;

    constructor(options: GatewayOptions) {
        this.options = options;
        const { logger, store, host, limits } = options;
        const address = `${options.peerListen.host}:${options.peerListen.port}`;
        this.directory = new ServerDirectory(logger);
        this.directory.onChange(() => this.wakeWaitingTasks());
        this.serverEntries = new ServerEntries({
            directory: this.directory,
            recordDecoder: options.recordDecoder,
            serverHeartbeatMs: limits.serverHeartbeatMs,
            logger,
        });
        this.view = new StoreView({
            store,
            logger,
            prefixes: [options.recordDecoder.configurationKey, options.recordDecoder.serverPrefix, OWN_PREFIX],
            listener: {
                onPut: (entry, isRestored) => this.onEntryPut(entry, isRestored),
                onDelete: (key, graceMs) => this.onEntryDelete(key, graceMs),
            },
            getWatchPauseMs: () => this.computeWatchPauseMs(),
            minExpiryMs: MIN_EXPIRY_HEARTBEATS * limits.serverHeartbeatMs,
            isFollowingPeer: () => this.viewFollower.isFollowing,
        });
        this.membership = new GatewayMembership({
            store,
            view: this.view,
            logger,
            prefix: MEMBER_PREFIX,
            host,
            address,
            dataCentre: options.dataCentre,
            selection: new MemberSelection({ processorCores: options.processorCores, random: Math.random }),
            enginesCheckFences: options.enginesCheckFences,
        });
        this.viewFollower = new ViewFollower({
            view: this.view,
            membership: this.membership,
            peerClient: this.peerClient,
            host,
            dataCentre: options.dataCentre,
            noticeMs: this.noticeMs,
            logger,
        });
        this.orderRights = new OrderRights({
            store,
            view: this.view,
            membership: this.membership,
            logger,
            prefix: ORDER_RIGHT_PREFIX,
            host,
            address,
            minHandoverMs: limits.minHandoverMs,
            enginesCheckFences: options.enginesCheckFences,
            listEngines: () => this.listModelEngines(),
        });
        this.serverRates = new ServerRates({
            logger,
            requestReservations: request => this.synchronizer.requestReservations(request),
            onChange: () => {
                this.metrics.limitedServers.set(this.serverRates.limitedCount);
                this.wakeWaitingTasks();
            },
            onStatement: () => this.synchronizer.scheduleDemand(),
            isListed: ({ serverId, bornAtMs }) => this.directory.get(serverId)?.record.bornAtMs === bornAtMs,
        });
        this.quotas = new WorkspaceQuotas({
            host,
            logger,
            quotaWindowMs: limits.quotaWindowMs,
            getWorkspace: workspaceId => this.workspaces.get(workspaceId),
            getIntervalMs: () => this.synchronizer.exchangeIntervalMs,
            getGatewayCount: () => this.synchronizer.gatewayCount,
            getDutyTerm: () => this.getQuotaTerm(),
            ask: request => this.synchronizer.requestQuotas(request),
            onChange: () => this.wakeWaitingTasks(),
        });
        this.commandRunner = new EngineCommandRunner({
            orderRights: this.orderRights,
            engineClient: options.engineClient,
            directory: this.directory,
            serverRates: this.serverRates,
            logger,
            metrics: this.metrics,
            host,
            getConfiguration: () => this.configuration,
            onChange: () => this.synchronizer.scheduleDemand(),
        });
        this.localDemand = new LocalDemandTracker(() => this.synchronizer.scheduleDemand());
        this.crashSuspects = new CrashSuspects({ logger, onChange: () => this.synchronizer.scheduleDemand() });
        this.planner = new PlacementPlanner({
            directory: this.directory,
            policy: options.enginePolicy,
            logger,
            getServerRate: server => this.serverRates.getRate(server),
            maxStoreLoadCount: options.maxStoreLoadCount,
            getConfiguration: () => this.configuration,
            getTerm: () => this.getPlanningTerm(),
            createOwnDemand: () => this.createDemandMessage(address),
            sendCommand: (peerAddress, command) => this.sendCommand(peerAddress, address, command),
        });
        this.synchronizer = new PlacementSynchronizer({
            peerClient: this.peerClient,
            membership: this.membership,
            planner: this.planner,
            directory: this.directory,
            view: this.view,
            crashSuspects: this.crashSuspects,
            serverRates: this.serverRates,
            quotas: this.quotas,
            grantReservations: request => this.grantReservations(request),
            isFollowingPeer: () => this.viewFollower.isFollowing,
            seeds: options.seedPeers,
            ownHost: host,
            ownAddress: address,
            createDemandMessage: () => this.createDemandMessage(address),
            logger,
        });
        this.context = {
            dataCentre: options.dataCentre,
            directory: this.directory,
            engineClient: options.engineClient,
            byteBudget: new ByteBudget(MEMORY_SHARES.buffered * options.memoryLimitBytes),
            crashSuspects: this.crashSuspects,
            serverRates: this.serverRates,
            fairOrder: this.fairOrder,
            serverRanking: createServerRanking(options.serverRanking),
            workspaces: this.workspaces,
            quotas: this.quotas,
            localDemand: this.localDemand,
            metrics: this.metrics,
            logger,
            requestLogLimiter: new LogLimiter(REQUEST_LINES_PER_SECOND),
            getRetryBudget: serviceId => this.getRetryBudget(serviceId),
            getGatewayCount: () => this.synchronizer.gatewayCount,
        };
        const serverNotices = new ServerNotices({
            directory: this.directory,
            serverRates: this.serverRates,
            metrics: this.metrics,
            logger,
            onLeaving: () => this.synchronizer.scheduleDemand(),
        });
        options.engineClient.onNotice((server, notice) => serverNotices.apply(server, notice));
        this.callerServer = new CallerServer({
            maxConnections: options.maxConnections,
            maxRequestMemoryBytes: MEMORY_SHARES.requests * options.memoryLimitBytes,
            maxSmallBodyMemoryBytes: MEMORY_SHARES.smallBodies * options.memoryLimitBytes,
            byteBudget: this.context.byteBudget,
            isClosing: () => this.isStopping,
            computeDeadlineAtMs: (head, startedAtMs) => this.computeDeadlineAtMs(head, startedAtMs),
            // Another gateway can still serve a request that this one's stop cuts short.
            createBodyTimeoutRefusal: () =>
                this.isStopping ? refusals.unavailable("stopping", STOP_RETRY_MS) : refusals.bodyTimeout(),
            handleRequest: (head, body, writer, startedAtMs) => this.handleRequest(head, body, writer, startedAtMs),
            onHeadFault: fault => this.metrics.refusedHeads.inc({ reason: fault }),
            onBodyFault: fault => this.metrics.refusedBodies.inc({ reason: fault }),
            onUnreadResponse: () => this.metrics.unreadResponses.inc(),
            onError: error => logger.error({ step: "request", err: error }, "request handling failed unexpectedly"),
        });
        this.readyServer = createServer(createInternalServerOptions(), (_request, response) => {
            const reasons = this.listNotReadyReasons();
            const text = reasons.length === 0 ? "ready\n" : `not ready: ${reasons.join(", ")}\n`;
            const headers = { "content-type": "text/plain", "content-length": Buffer.byteLength(text) };
            response.writeHead(reasons.length === 0 ? 200 : 503, headers).end(text);
        });
        guardInternalServer(this.readyServer);
        this.memoryWatch = new MemoryWatch({
            limitBytes: options.memoryLimitBytes,
            logger,
            readResidentBytes: () => process.memoryUsage.rss(),
            readUsage: () => process.memoryUsage(),
        });
        registerProcessMetrics({
            registry: this.metrics.registry,
            limitBytes: options.memoryLimitBytes,
            readUsage: () => process.memoryUsage(),
            countDescriptors,
        });
        const app = createPeerApp({
            planner: this.planner,
            commandRunner: this.commandRunner,
            directory: this.directory,
            view: this.view,
            crashSuspects: this.crashSuspects,
            serverRates: this.serverRates,
            quotas: this.quotas,
            grantReservations: request => this.grantReservations(request),
            metrics: this.metrics,
            listNotReadyReasons: () => this.listNotReadyReasons(),
            getStatus: () => this.status(),
            bodyMemory: {
                largeBudget: new ByteBudget(MEMORY_SHARES.peerBodies * options.memoryLimitBytes),
                smallBudget: new ByteBudget(MEMORY_SHARES.peerBodies * options.memoryLimitBytes),
                pool: new BodyBlockPool(),
            },
        });
        this.peerServer = createAdaptorServer({
            fetch: app.fetch,
            overrideGlobalObjects: false,
            serverOptions: createInternalServerOptions(),
        }) as Server;
        guardInternalServer(this.peerServer);
    }

    /** Whether the gateway accepts requests. */
    get isReady(): boolean {
        return this.listNotReadyReasons().length === 0;
    }

    /** Lists what the gateway lacks to accept requests. The peer port isn't needed for them. */
    listNotReadyReasons(): string[] {
        const conditions: readonly (readonly [string, boolean])[] = [
            [CALLER_LISTEN_STEP, this.callerServer.server.listening],
            [READY_LISTEN_STEP, this.readyServer.listening],
            ["keys", this.view.isLoaded],
            ["configuration", this.configuration !== undefined],
            ["stopping", !this.isStopping],
        ];
        return conditions.filter(([, isMet]) => !isMet).map(([reason]) => reason);
    }

    /**
     * Starts the background tasks and binds the ports, each as soon as it can be. Resolves when all are bound or when the
     * gateway stops. `UnavailableError`: a port can never be bound.
     */
    start(): ResultAsync<void, SkylarkmillError> {
        const { callerListen, readyListen, peerListen, logger, host } = this.options;
        this.view.start();
        this.viewFollower.start();
        this.orderRights.start();
        this.commandRunner.start();
        this.planner.start();
        this.synchronizer.start();
        this.quotas.start();
        this.memoryWatch.start();
        return ResultAsync.combine([
            this.listen(this.callerServer.server, callerListen, CALLER_LISTEN_STEP),
            this.listen(this.readyServer, readyListen, READY_LISTEN_STEP),
            this.listen(this.peerServer, peerListen, "peer.listen").map(() => {
                // Peers must be able to reach a member, and a host must not have two processes that act as one.
                if (!this.listenAbort.signal.aborted) this.membership.start();
            }),
        ]).map(() => {
            if (!this.isStopping) logger.info({ step: "start", host }, "gateway started");
        });
    }

    private listen(server: Server, address: ListenAddress, step: string): ResultAsync<void, SkylarkmillError> {
        const { signal } = this.listenAbort;
        return listenWhenFree(server, address, { step, logger: this.options.logger, signal })
            .map(() => undefined)
            .mapErr(error => {
                this.listenAbort.abort();
                return error;
            });
    }

    /** Completes the requests in progress, refuses new ones near the end, and closes within the stop time. */
    async stop(): Promise<void> {
        const { logger, limits } = this.options;
        const startedAtMs = nowMs();
        this.isStopping = true;
        this.listenAbort.abort();
        logger.info({ step: "stop", open: this.tasks.size }, "gateway is stopping");
        const endAtMs = startedAtMs + limits.stopTimeoutMs - STOP_MARGIN_MS;
        this.refuseAllFromMs = endAtMs - STOP_REFUSE_ALL_MS;
        this.refuseLongFromMs = startedAtMs + READINESS_DETECTION_MS;
        this.stopEndsAtMs = endAtMs;
        await this.completeTasks(startedAtMs, endAtMs);
        this.refuseAllFromMs = 0;
        this.endOpenRequests();
        await sleep(STOP_FLUSH_MS);
        const aborted = this.callerServer.abortOpenResponses();
        for (const head of aborted) this.logEndedByStop(this.readRequestId(head), "writing", "aborted");
        logger.info(
            { step: "stopped", open: aborted.length, tookMs: Math.round(nowMs() - startedAtMs) },
            "gateway stopped",
        );
        this.memoryWatch.stop();
        this.serverRates.stop();
        this.quotas.stop();
        this.synchronizer.stop();
        this.planner.stop();
        this.commandRunner.stop();
        await Promise.race([this.stopCoordination(), sleep(STOP_COORDINATION_TIMEOUT_MS)]);
        for (const server of [this.callerServer.server, this.readyServer, this.peerServer]) server.close();
    }

    /** Refuses the requests that have no response yet, and aborts the responses of those that servers work on. */
    private endOpenRequests(): void {
        this.context.requestLogLimiter.lift();
        for (const task of [...this.tasks]) {
            const outcome = task.endNow();
            if (outcome !== undefined) this.logEndedByStop(task.requestId, "serving", outcome);
        }
        const uploads = this.callerServer.refuseUploads(refusals.unavailable("stopping", STOP_RETRY_MS));
        for (const head of uploads) this.logEndedByStop(this.readRequestId(head), "reading", "refused");
    }

    private logEndedByStop(
        requestId: string | undefined,
        during: "reading" | "serving" | "writing",
        outcome: "refused" | "aborted",
    ): void {
        this.options.logger.info({ step: "request.stopped", requestId, during, outcome }, "request ended by the stop");
    }

    private readRequestId(head: RequestHead): string | undefined {
        return this.options.decodeRequest(head, undefined, false).map(({ requestId }) => requestId).unwrapOr(undefined);
    }

    private async stopCoordination(): Promise<void> {
        await this.orderRights.stop();
        // The lease is left to expire, so that this host keeps its order rights if it restarts before that.
        await this.membership.stopAndKeepLease();
        await Promise.all([this.view.stop(), this.viewFollower.stop(), this.peerClient.close()]);
    }

    /** Waits until all responses are written to their callers, or until the stop time is nearly over. */
    private async completeTasks(startedAtMs: number, endAtMs: number): Promise<void> {
        let idleSinceMs: number | undefined;
        while (nowMs() < endAtMs) {
            const isDetectedAsNotReady = nowMs() - startedAtMs >= READINESS_DETECTION_MS;
            const isEnding = endAtMs - nowMs() < STOP_REFUSE_WAITING_MS;
            // Callers that can't connect try another gateway; a request that was read must get a response.
            const isIdle = this.tasks.size === 0 && this.callerServer.openResponseCount === 0;
            if (isDetectedAsNotReady && (isIdle || isEnding)) this.callerServer.stopListening();
            if (isDetectedAsNotReady) this.callerServer.closeIdleConnections();
            if (isEnding) { for (const task of [...this.tasks]) task.refuseIfWaiting(); }
            if (!isDetectedAsNotReady || !isIdle) idleSinceMs = undefined;
            else idleSinceMs ??= nowMs();
            if (idleSinceMs !== undefined && nowMs() - idleSinceMs >= STOP_IDLE_MS) return;
            await sleep(STOP_CHECK_MS);
        }
    }

    status(): object {
        return {
            host: this.options.host,
            ready: this.isReady,
            notReadyReasons: this.listNotReadyReasons(),
            configurationVersion: this.configuration?.version,
            storeRevision: this.view.storeRevision,
            storeStaleMs: Math.round(Math.min(this.view.sinceLastResponseMs, Number.MAX_SAFE_INTEGER)),
            planner: this.membership.listMembers()[0]?.host,
            orders: this.orderRights.listHeldEngines(),
            requestsInProgress: this.tasks.size,
            heldConnections: processLoopShare.waitingCount,
            smallBodyBytes: this.callerServer.smallBodyByteCount,
            bufferedBytes: this.context.byteBudget.byteCount,
            workspaces: this.quotas.listStatus(),
            lines: this.fairOrder.listStatus(nowMs()),
            suspectParts: this.crashSuspects.listEvidence().filter(({ ends }) => ends.length > 0).length,
            servers: [...this.directory.values()].map(server => ({
                serverId: server.record.serverId,
                serviceId: server.record.serviceId,
                draining: server.record.draining,
                inFlight: server.inFlightCount,
                ratePerSecond: this.serverRates.getRate(server.record),
                waitingForRate: this.serverRates.countWaiters(server.record),
            })),
        };
    }

    private handleRequest(
        head: RequestHead,
        body: RequestBody | undefined,
        writer: HttpResponseWriter,
        startedAtMs: number,
    ): void {
        if (this.configuration === undefined) return writer.refuse(refusals.noConfiguration());
        if (nowMs() >= this.refuseAllFromMs) return writer.refuse(refusals.unavailable("stopping", STOP_RETRY_MS));
        const route = this.routes.findRoute(head.host, head.path);
        if (route === undefined) {
            // A copy that was not confirmed recently may lack the route.
            return writer.refuse(this.view.isFresh ? refusals.noRoute() : refusals.routeUnconfirmed());
        }
        const decoded = this.options.decodeRequest(head, body, this.workspaces.hasWorkspaces);
        if (decoded.isErr()) return writer.refuse(decoded.error);
        const request = this.identify(route, decoded.value);
        if (request.isErr()) return writer.refuse(request.error);
        if (nowMs() >= this.refuseLongFromMs && this.canOutlastStop(route, request.value, startedAtMs)) {
            return writer.refuse(refusals.unavailable("stopping", STOP_RETRY_MS));
        }
        this.startTask(route, request.value, writer, startedAtMs);
    }

    private identify(route: Route, request: CallerRequest): Result<CallerRequest, Refusal> {
        const identity = this.workspaces.identify(route, request.keyDigest);
        if (identity.kind === "workspace") return ok({ ...request, workspaceId: identity.workspace.workspaceId });
        if (identity.kind !== "unknown") return ok(request);
        this.metrics.unknownKeys.inc();
        // A copy that was not confirmed recently may lack the key.
        return err(this.view.isFresh ? refusals.unknownKey() : refusals.keyUnconfirmed());
    }

    /** Computes the deadline of a request before its body is complete. */
    private computeDeadlineAtMs(head: RequestHead, startedAtMs: number): number | undefined {
        const route = this.routes.findRoute(head.host, head.path);
        const request = this.options.decodeRequest(head, undefined, false);
        if (route === undefined || request.isErr()) return undefined;
        return computeRequestTiming(route, request.value, startedAtMs).deadlineAtMs;
    }

    /** Whether a request could last longer than the stop; streams mostly do. */
    private canOutlastStop(route: Route, request: CallerRequest, startedAtMs: number): boolean {
        if (route.kind === "streaming") return true;
        return computeRequestTiming(route, request, startedAtMs).deadlineAtMs > this.stopEndsAtMs;
    }

    private startTask(
        route: Route,
        request: CallerRequest,
        writer: HttpResponseWriter,
        startedAtMs: number,
    ): void {
        const serviceId = pickService(route, request.requestId);
        const onEnded = (task: RequestTask): void => {
            this.tasks.delete(task);
            this.metrics.inProgress.set(this.tasks.size);
        };
        const task = new RequestTask(this.context, route, serviceId, request, writer, startedAtMs, onEnded);
        this.tasks.add(task);
        this.metrics.inProgress.set(this.tasks.size);
        task.start();
    }

    /** Lets waiting requests search for a server again, once for all changes of one event loop turn. */
    private wakeWaitingTasks(): void {
        if (this.isWakePending) return;
        this.isWakePending = true;
        setImmediate(() => {
            this.isWakePending = false;
            for (const task of [...this.tasks]) task.retryDispatch();
        });
    }

    private computeWatchPauseMs(): number {
        const readerCount = selectReaders(this.membership.listMembers()).length;
        const pauseMs = Math.max(MIN_WATCH_PAUSE_MS, WATCH_PAUSE_PER_READER_MS * readerCount);
        return Math.min(pauseMs, MAX_WATCH_PAUSE_SHARE * this.noticeMs);
    }

    /** Time within which a change in the key-value service must be known. */
    private get noticeMs(): number {
        const { drainNoticeMs, configurationNoticeMs } = this.options.limits;
        return Math.min(drainNoticeMs, configurationNoticeMs);
    }

    /** Returns the revision at which this gateway joined if it is the oldest member, which plans the placement. */
    private getPlanningTerm(): number | undefined {
        const { membership } = this;
        if (!membership.canActAsMember) return undefined;
        const [oldest] = membership.listMembers();
        return oldest?.host === this.options.host ? membership.revision : undefined;
    }

    /**
     * Returns the revision at which this gateway joined if it is the oldest member, which shares out quotas. It goes on
     * when it can't renew its membership, since the others then still ask it or have another holder.
     */
    private getQuotaTerm(): number | undefined {
        const [oldest] = this.membership.listMembers();
        return oldest?.host === this.options.host ? oldest.revision : undefined;
    }

    private listModelEngines(): ServerId[] {
        const engines: ServerId[] = [];
        for (const { record } of this.directory.values()) {
            const isModelEngine = this.configuration?.services.get(record.serviceId)?.engine !== undefined;
            if (isModelEngine && !record.draining) engines.push(record.serverId);
        }
        return engines;
    }

    private sendCommand(peerAddress: string, ownAddress: string, command: EngineCommand): void {
        if (peerAddress === ownAddress) return this.commandRunner.runCommand(command);
        void this.peerClient.sendCommand(peerAddress, command).then(sent => {
            if (sent.isErr()) {
                this.options.logger.warn(
                    { step: "peer.command", err: sent.error },
                    "peer did not accept an engine command",
                );
            }
        });
    }

    /** Grants reservations for servers' rates if this gateway is the planner. */
    private grantReservations(request: ReservationRequest): ReservationResponse | undefined {
        const term = this.getPlanningTerm();
        if (term === undefined) return undefined;
        const duty = { term, heldMs: this.planner.activeMs, isConfirmed: this.membership.isConfirmed };
        return this.serverRates.grant(request, duty);
    }

    private onEntryPut(entry: KeyValueEntry, isRestored: boolean): void {
        const { recordDecoder } = this.options;
        if (entry.key === recordDecoder.configurationKey) this.applyConfiguration(entry);
        else if (entry.key.startsWith(recordDecoder.serverPrefix)) this.serverEntries.put(entry, isRestored);
    }

    private onEntryDelete(key: string, graceMs: number): void {
        if (key.startsWith(this.options.recordDecoder.serverPrefix)) this.serverEntries.delete(key, graceMs);
    }

    private applyConfiguration({ value, modRevision }: KeyValueEntry): void {
        const { recordDecoder, logger } = this.options;
        const configuration = recordDecoder.decodeConfiguration(value);
        if (configuration === undefined) {
            return logger.error({ step: "configuration.decode" }, "configuration is invalid");
        }
        if (this.configuration !== undefined && configuration.version < this.configuration.version) return;
        logger.info({
            step: "configuration.apply",
            version: configuration.version,
            before: this.configuration?.version,
            routes: configuration.routes.length,
            revision: modRevision,
            characters: value.length,
        }, "configuration applied");
        this.configuration = configuration;
        this.routes = new RouteTable(configuration.routes);
        this.workspaces.apply(configuration.workspaces);
        // Requests that wait may have lost their keys.
        this.wakeWaitingTasks();
        this.metrics.configurationVersion.set(configuration.version);
        this.callerServer.setLimits(configuration.limits);
    }

    private getRetryBudget(serviceId: ServiceId): RetryBudget {
        const { limits } = this.options;
        const budget = this.retryBudgets.get(serviceId) ?? new RetryBudget({
            ratio: limits.retryBudgetRatio,
            slack: limits.retryBudgetSlack,
            windowMs: limits.retryBudgetWindowMs,
        });
        this.retryBudgets.set(serviceId, budget);
        return budget;
    }

    private createDemandMessage(address: string): DemandMessage {
        return {
            gateway: this.options.host,
            address,
            waiting: this.localDemand.listWaiting(),
            running: countRunningRequests(this.directory),
            arrivals: this.localDemand.flushArrivals(),
            engines: this.commandRunner.listEngineStates(),
            crashEvidence: this.crashSuspects.listEvidence(),
            leaving: this.directory.listLeaving(),
            rates: this.serverRates.listStatements(),
        };
    }
}
