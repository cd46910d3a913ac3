import { KEYS } from "@skylarkmill/config";
import {
    BodyMemory,
    createPeerServerWhenFree,
    createPermitClient,
    createRecordStore,
    type PeerServer,
    type PermitClient,
    type PermitLimit,
    type RecordStore,
    sleep,
} from "@skylarkmill/coordination";
import { ConflictError, type SkylarkmillError, UnavailableError } from "@skylarkmill/protocol";
import { err, errAsync, ok, okAsync, type Result, ResultAsync } from "neverthrow";
import { BackendTask } from "../runtime/backend-task.ts";
import { Drain } from "../runtime/drain.ts";
import { ReplicaSet } from "../runtime/replica-set.ts";
import { RequestDeduplicator } from "../runtime/request-deduplicator.ts";
import { RequestQueue } from "../runtime/request-queue.ts";
import { StartUp } from "../runtime/start-up.ts";
import type { Agent, AgentPorts, ResolvedAgentOptions } from "../types/options.ts";
import { createCatalog, type SubscribedCatalog } from "../utils/catalog.ts";
import { createServerLoadHeader, createServerStatus, type ServerStatusSources } from "../utils/server-status.ts";
import { subscribeDrainCauses } from "./drain-causes.ts";
import { EngineOrderSender } from "./engine-order-sender.ts";
import { FencingTokenSource } from "./fencing-token-source.ts";
import { GrantRemover } from "./grant-remover.ts";
import { AgentMetrics } from "./metrics.ts";
import { PeerDirectory } from "./peer-directory.ts";
import { createPeerHandlers } from "./peer-handlers.ts";
import { RequestHandler } from "./request-handler.ts";
import { type RequestServer, startRequestServer } from "./request-server.ts";

const RECORD_PREFIXES = [KEYS.configPrefix, KEYS.grantsPrefix, KEYS.drainsPrefix];

/** Creates and connects the components of one agent and manages their life cycle. */
export class AgentProcess implements Agent {
    private readonly stopController = new AbortController();
    /** Ends the wait for the ports. */
    private readonly listenAbort = new AbortController();
    private listenError: SkylarkmillError | undefined;
    private readonly peers: PeerDirectory;
    private readonly records: RecordStore;
    private readonly catalog: SubscribedCatalog;
    private readonly fencing: FencingTokenSource;
    private readonly grantRemover: GrantRemover;
    private readonly orderSender: EngineOrderSender | undefined;
    private readonly replicas: ReplicaSet | undefined;
    private readonly backendTask: BackendTask;
    private readonly drain: Drain;
    private readonly metrics: AgentMetrics;
    private readonly startUp: StartUp;
    private readonly statusSources: ServerStatusSources;
    private peerServer: PeerServer | undefined;
    private requestServer: RequestServer | undefined;
    /** Time from the write of the last received configuration change until this process received it. */
    private lastConfigChangeDelayMs = 0;
    private stopPromise: Promise<void> | undefined;
    private cleanups: (() => void)[] = [];
    private backgroundTasks: Promise<void>[] = [];

    constructor(private readonly options: ResolvedAgentOptions) {
        this.peers = new PeerDirectory(options);
        this.records = options.records ?? this.createRecords();
        const onChange = (): void => void this.backendTask.mailbox.post({ kind: "wake" });
        this.catalog = createCatalog(this.records, options.serverId, options.serviceId, onChange);
        this.fencing = new FencingTokenSource(options.store, options.serverId);
        this.grantRemover = new GrantRemover({ ...options.limits, ...options, records: this.records });
        this.orderSender = this.createOrderSender();
        this.replicas = this.orderSender === undefined ? undefined : this.createReplicas(this.orderSender);
        this.drain = new Drain(draining => this.backendTask.mailbox.post({ kind: "drain", draining }));
        this.metrics = this.createMetrics();
        this.backendTask = this.createTask();
        this.startUp = this.createStartUp();
        this.statusSources = {
            serverId: options.serverId,
            task: this.backendTask,
            replicas: this.replicas,
            // Routers give no work to a server that drains.
            isDraining: () => this.drain.isRefusingRequests || this.requestServer === undefined,
        };
    }

    start(): ResultAsync<AgentPorts, SkylarkmillError> {
        return new ResultAsync(this.bindPorts());
    }

    stop(): Promise<void> {
        this.stopPromise ??= this.shutDown();
        return this.stopPromise;
    }

    private async shutDown(): Promise<void> {
        this.listenAbort.abort();
        this.drain.stop();
        if (this.requestServer !== undefined) {
            // Requests that routers have just sent on kept-alive connections must still get their refusal.
            await sleep(this.options.limits.stopGraceMs);
            await this.backendTask.whenIdle();
        }
        this.drain.finish();
        this.stopController.abort();
        for (const cleanUp of this.cleanups) cleanUp();
        this.catalog.close();
        this.orderSender?.stop();
        this.grantRemover.stop();
        this.backendTask.mailbox.close();
        await this.requestServer?.close();
        await this.records.stop();
        await this.peerServer?.close();
        this.peers.close();
        await Promise.all(this.backgroundTasks);
    }

    private get isReady(): boolean {
        if (this.requestServer === undefined || this.drain.isRefusingRequests) return false;
        if (this.catalog.service() === undefined) return false;
        return this.replicas === undefined || this.replicas.hasReadIndex;
    }

    /**
     * Binds the ports as soon as they can be bound. Nothing else of the agent begins before: the peer port can be bound
     * only once, so it keeps a second agent from ordering the same engine, even while the first one is suspended.
     */
    private async bindPorts(): Promise<Result<AgentPorts, SkylarkmillError>> {
        await this.startUp.runUntil("readIndex", this.listenAbort.signal);
        if (this.peerServer === undefined) return err(this.listenError ?? this.createStoppedError());
        const requestServer = await this.startRequestServer();
        if (requestServer.isErr() || requestServer.value === undefined || this.listenAbort.signal.aborted) {
            await this.peerServer.close();
            if (requestServer.isErr()) return err(requestServer.error);
            await requestServer.value?.close();
            return err(this.createStoppedError());
        }
        this.requestServer = requestServer.value;
        this.startTasks();
        return ok({ requestPort: requestServer.value.port, peerPort: this.peerServer.port });
    }

    private createStoppedError(): SkylarkmillError {
        return new UnavailableError("the agent stopped before its ports were bound", {
            step: "start",
            peer: this.options.hostId,
        });
    }

    private startRequestServer(): ResultAsync<RequestServer | undefined, SkylarkmillError> {
        const { limits, requestListen, peerKeys, logger } = this.options;
        const handler = new RequestHandler({
            ...this.options,
            task: this.backendTask,
            metrics: this.metrics,
            isModelService: this.replicas !== undefined,
        });
        return startRequestServer({
            listen: requestListen,
            peerKeys,
            maxBodyBytes: limits.maxBodyBytes,
            bodyMemory: new BodyMemory(limits.maxBufferedBodyBytes),
            handle: request => handler.handle(request),
            serverLoadHeader: () => createServerLoadHeader(this.statusSources),
            isReady: () => this.isReady,
            metrics: () => this.metrics.collect(),
            onRefused: refusal => this.metrics.recordRefusal(refusal),
            logger,
            signal: this.listenAbort.signal,
        });
    }

    private startTasks(): void {
        const { records, drain, options } = this;
        records.start();
        const tick = (): void => void this.backendTask.mailbox.post({ kind: "tick" });
        const timer = setInterval(tick, options.limits.indexIntervalMs);
        this.cleanups = [
            subscribeDrainCauses({ ...options, records, drain }),
            records.subscribe(KEYS.configPrefix, record => {
                this.lastConfigChangeDelayMs = Math.max(0, Date.now() - record.writtenAtMs);
            }),
            () => clearInterval(timer),
        ];
        this.backgroundTasks = [this.backendTask.run(), this.finishStartUp()];
    }

    private async finishStartUp(): Promise<void> {
        await this.startUp.runUntil("acceptingLoads", this.stopController.signal);
        if (this.stopController.signal.aborted) return;
        this.options.logger.info({ step: "start-up", fencingToken: this.fencing.token }, "agent accepts loads");
        this.backendTask.mailbox.post({ kind: "allow-orders", allowed: true });
    }

    /** Suspends loads until records have been exchanged again, since grants may have moved during the pause. */
    private onPaused(): void {
        this.options.logger.warn(
            { step: "pause" },
            "process was paused; loads are suspended until records have been exchanged",
        );
        this.peers.requireNewExchange();
        if (this.startUp.restartAfterPause()) this.backgroundTasks.push(this.finishStartUp());
    }

    /**
     * Raises the fencing token. An engine refuses a token after it has received a higher one, from another agent
     * or from this one before the key-value service was restored from older data.
     */
    private onOrderRefused(): void {
        void this.fencing.claimStartNumberAfterRefusal().mapErr(error => {
            const { step, peer } = error;
            if (error instanceof ConflictError || error instanceof UnavailableError) return;
            this.options.logger.error(
                { step, peer, err: error },
                "fencing token could not be raised after the engine refused an order",
            );
        });
    }

    private createRecords(): RecordStore {
        const { processId, store, logger } = this.options;
        return createRecordStore({
            processId,
            store,
            prefixes: RECORD_PREFIXES,
            peers: () => this.peers.recordPeers(),
            // Routers distribute changes of the key-value service; without a live router the agent reads them itself.
            shouldWatchKeyValueService: () => this.peers.liveRouters().length === 0,
            logger,
        });
    }

    private createPermits(): PermitClient {
        return createPermitClient({
            processId: this.options.processId,
            limits: () => this.permitLimits(),
            broker: kind => this.peers.permitBroker(kind),
            sharingProcessCount: () => Math.max(1, this.peers.liveBackendCount()),
        });
    }

    private permitLimits(): readonly PermitLimit[] {
        const { loadsPerSecond, maxConcurrentLoads, maxConcurrentAdapterLoads } = this.catalog.limits();
        return [
            { kind: "model_load", ratePerSecond: loadsPerSecond, maxInFlight: maxConcurrentLoads },
            { kind: "adapter_load", ratePerSecond: undefined, maxInFlight: maxConcurrentAdapterLoads },
        ];
    }

    private createOrderSender(): EngineOrderSender | undefined {
        const { engineControl, limits } = this.options;
        if (engineControl === undefined) return undefined;
        return new EngineOrderSender({
            control: engineControl,
            permits: this.options.permits ?? this.createPermits(),
            fencing: this.fencing,
            isStillNeeded: (modelId, kind, urgency) =>
                this.replicas?.isOrderStillNeeded(modelId, kind, urgency) ?? false,
            orderTimeoutMs: limits.orderTimeoutMs,
            onSent: orderId => this.backendTask.mailbox.post({ kind: "order-sent", orderId }),
            onResult: (orderId, result) => this.backendTask.mailbox.post({ kind: "order-result", orderId, result }),
            onIndex: read => this.backendTask.mailbox.post({ kind: "index-result", read }),
        });
    }

    private createReplicas(engine: EngineOrderSender): ReplicaSet {
        const { policies, limits, logger } = this.options;
        return new ReplicaSet({
            ...policies,
            catalog: this.catalog,
            engine,
            limits,
            logger,
            removeGrant: modelId => this.grantRemover.remove(modelId),
            onOrderRefused: () => this.onOrderRefused(),
            wakeAfter: delayMs =>
                void setTimeout(() => this.backendTask.mailbox.post({ kind: "wake" }), delayMs).unref(),
        });
    }

    private createMetrics(): AgentMetrics {
        return new AgentMetrics({
            queuedCount: () => this.backendTask.queuedCount,
            runningCount: () => this.backendTask.runningCount,
            reservedBytes: () => this.replicas?.ledger.reservedBytes ?? 0,
            memorySizeBytes: () => this.replicas?.ledger.sizeBytes ?? 0,
            loadedModelCount: () => this.replicas?.loadedCount ?? 0,
        });
    }

    private createTask(): BackendTask {
        const { policies, limits } = this.options;
        return new BackendTask({
            ...policies,
            catalog: this.catalog,
            replicas: this.replicas,
            createRequestQueue: onDeadline => new RequestQueue(policies.createQueueOrder(), onDeadline),
            deduplicator: new RequestDeduplicator({
                maxCount: limits.maxOnceKeyCount,
                maxAgeMs: limits.maxOnceKeyAgeMs,
            }),
            limits,
            onRefused: refusal => this.metrics.recordRefusal(refusal),
            onPaused: () => this.onPaused(),
        });
    }

    private createStartUp(): StartUp {
        return new StartUp({
            ...this.options.limits,
            logger: this.options.logger,
            steps: {
                bindPeerPort: () => this.bindPeerPort(),
                readIndex: () => this.readIndex(),
                readGrants: () => this.records.refresh(),
                settleEngine: () => new ResultAsync(this.ruleOutLateOrders()),
                raiseFence: () => (this.replicas === undefined ? okAsync(undefined) : this.fencing.claimStartNumber()),
                exchangeRecords: () => this.checkRecordsExchanged(),
            },
        });
    }

    private bindPeerPort(): ResultAsync<void, SkylarkmillError> {
        const { peerListen, peerKeys, logger } = this.options;
        const handlers = createPeerHandlers({
            ...this.options,
            records: this.records,
            drain: this.drain,
            status: () => createServerStatus(this.statusSources, true),
            isReady: () => this.isReady,
            problems: () => this.problems(),
            lastConfigChangeDelayMs: () => this.lastConfigChangeDelayMs,
            inProgressCount: () => this.backendTask.queuedCount + this.backendTask.runningCount,
        });
        const { signal } = this.listenAbort;
        return createPeerServerWhenFree({ ...peerListen, keys: peerKeys, handlers, logger, signal })
            .andThen(server => {
                if (server === undefined) return err(this.createStoppedError());
                this.peerServer = server;
                return ok(undefined);
            })
            .mapErr(error => {
                // Other steps are tried again, but a port that can't be bound after the wait never can.
                this.listenError = error;
                this.listenAbort.abort();
                return error;
            });
    }

    private readIndex(): ResultAsync<void, SkylarkmillError> {
        if (this.replicas === undefined || this.replicas.hasReadIndex) return okAsync(undefined);
        return this.backendTask.readIndex();
    }

    /**
     * Waits until load orders of the previous agent process can't take effect any more, then reads the index again.
     * Such an order may still be in transit.
     */
    private async ruleOutLateOrders(): Promise<Result<void, SkylarkmillError>> {
        if (this.replicas === undefined || !this.fencing.hasPredecessor) return ok(undefined);
        if (this.replicas.checksFencing()) {
            const absentModelId = this.replicas.findAbsentModel();
            const sent = absentModelId === undefined
                ? undefined
                : await this.orderSender?.sendFencingTokenAndWait(absentModelId);
            if (sent?.isErr() === true) return err(sent.error);
        }
        else await sleep(this.options.limits.settleMs, this.stopController.signal);
        return this.backendTask.readIndex();
    }

    private checkRecordsExchanged(): ResultAsync<void, SkylarkmillError> {
        const isHostListRead = this.options.membership.ageMs() !== Infinity;
        const isExchangeComplete = this.peers.hasExchangedWithRouter || this.peers.liveRouters().length === 0;
        if (isHostListRead && isExchangeComplete) return okAsync(undefined);
        const message = isHostListRead
            ? "No router has exchanged records yet."
            : "The host list has not been read yet.";
        return errAsync(new UnavailableError(message, { step: "records.exchange", peer: "routers" }));
    }

    private problems(): string[] {
        const problems = [...this.catalog.problems()];
        if (this.requestServer === undefined) problems.push("The request port is not bound yet.");
        if (this.startUp.state !== "acceptingLoads") problems.push(`Start-up is at step ${this.startUp.state}.`);
        return problems;
    }
}
