import { KEYS } from "@skylarkmill/config";
import {
    createPeerServer,
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
import { OnceMemory } from "../runtime/once-memory.ts";
import { ReplicaSet } from "../runtime/replica-set.ts";
import { StartUp } from "../runtime/start-up.ts";
import { WaitingRoom } from "../runtime/waiting-room.ts";
import type { Agent, AgentPorts, ResolvedAgentOptions } from "../types/options.ts";
import { createCatalog, type FollowedCatalog } from "../utils/catalog.ts";
import { loadHeader, serverStatus, type StatusSources } from "../utils/server-status.ts";
import { EngineOrders } from "./engine-orders.ts";
import { Fencing } from "./fencing.ts";
import { GrantRemover } from "./grant-remover.ts";
import { followHostSignals } from "./host-signals.ts";
import { AgentMetrics } from "./metrics.ts";
import { PeerDirectory } from "./peer-directory.ts";
import { createPeerHandlers } from "./peer-handlers.ts";
import { RequestHandler } from "./request-handler.ts";
import { type RequestServer, startRequestServer } from "./request-server.ts";

const RECORD_PREFIXES = [KEYS.configPrefix, KEYS.grantsPrefix, KEYS.drainsPrefix];

/** Composes the tasks of one agent. */
export class AgentProcess implements Agent {
    private readonly abort = new AbortController();
    private readonly peers: PeerDirectory;
    private readonly records: RecordStore;
    private readonly catalog: FollowedCatalog;
    private readonly fencing: Fencing;
    private readonly grants: GrantRemover;
    private readonly orders: EngineOrders | undefined;
    private readonly replicas: ReplicaSet | undefined;
    private readonly task: BackendTask;
    private readonly drain: Drain;
    private readonly metrics: AgentMetrics;
    private readonly startUp: StartUp;
    private readonly statusSources: StatusSources;
    private peerServer: PeerServer | undefined;
    private requestServer: RequestServer | undefined;
    private lastChangeMs = 0;
    private stopping: Promise<void> | undefined;
    private ends: (() => void)[] = [];
    private loops: Promise<void>[] = [];

    constructor(private readonly options: ResolvedAgentOptions) {
        this.peers = new PeerDirectory(options);
        this.records = options.records ?? this.createRecords();
        const onChange = (): void => void this.task.mailbox.post({ kind: "wake" });
        this.catalog = createCatalog(this.records, options.serverId, options.serviceId, onChange);
        this.fencing = new Fencing(options.store, options.serverId);
        this.grants = new GrantRemover({ ...options.limits, ...options, records: this.records });
        this.orders = this.createOrders();
        this.replicas = this.orders === undefined ? undefined : this.createReplicas(this.orders);
        this.drain = new Drain(draining => this.task.mailbox.post({ kind: "drain", draining }));
        this.metrics = this.createMetrics();
        this.task = this.createTask();
        this.startUp = this.createStartUp();
        this.statusSources = {
            serverId: options.serverId,
            task: this.task,
            replicas: this.replicas,
            isDraining: () => this.drain.refusesWork,
        };
    }

    start(): ResultAsync<AgentPorts, SkylarkmillError> {
        return new ResultAsync(this.bind());
    }

    stop(): Promise<void> {
        this.stopping ??= this.finish();
        return this.stopping;
    }

    private async finish(): Promise<void> {
        this.drain.stop();
        if (this.requestServer !== undefined) {
            // A request that a router has just sent on a kept connection still gets its refusal.
            await sleep(this.options.limits.lingerMs);
            await this.task.whenSettled();
        }
        this.drain.finish();
        this.abort.abort();
        for (const end of this.ends) end();
        this.catalog.close();
        this.orders?.stop();
        this.grants.stop();
        this.task.mailbox.close();
        await this.requestServer?.close();
        await this.records.stop();
        await this.peerServer?.close();
        this.peers.close();
        await Promise.all(this.loops);
    }

    private get isReady(): boolean {
        if (this.drain.refusesWork || this.catalog.service() === undefined) return false;
        return this.replicas === undefined || this.replicas.hasInventory;
    }

    private async bind(): Promise<Result<AgentPorts, SkylarkmillError>> {
        const deadline = AbortSignal.timeout(this.options.limits.bindTimeoutMs);
        await this.startUp.runUntil("readIndex", AbortSignal.any([deadline, this.abort.signal]));
        if (this.peerServer === undefined) return err(this.bindError());
        const requestServer = await this.startRequestServer();
        if (requestServer.isErr()) {
            await this.peerServer.close();
            return err(requestServer.error);
        }
        this.requestServer = requestServer.value;
        this.runTasks();
        return ok({ requestPort: requestServer.value.port, peerPort: this.peerServer.port });
    }

    private bindError(): SkylarkmillError {
        const peer = `${this.options.peerListen.host}:${this.options.peerListen.port}`;
        return new UnavailableError(`The peer port ${peer} stayed taken.`, { step: "peer.listen", peer });
    }

    private startRequestServer(): ResultAsync<RequestServer, SkylarkmillError> {
        const { limits, requestListen, peerKeys, logger } = this.options;
        const handler = new RequestHandler({
            ...this.options,
            task: this.task,
            metrics: this.metrics,
            isModelService: this.replicas !== undefined,
        });
        return startRequestServer({
            listen: requestListen,
            peerKeys,
            maxBodyBytes: limits.maxBodyBytes,
            handle: request => handler.handle(request),
            loadHeader: () => loadHeader(this.statusSources),
            isReady: () => this.isReady,
            metrics: () => this.metrics.collect(),
            onRefused: refusal => this.metrics.refused(refusal),
            logger,
        });
    }

    private runTasks(): void {
        const { records, drain, options } = this;
        records.start();
        const tick = (): void => void this.task.mailbox.post({ kind: "tick" });
        const timer = setInterval(tick, options.limits.indexIntervalMs);
        this.ends = [
            followHostSignals({ ...options, records, drain }),
            records.subscribe(KEYS.configPrefix, record => {
                this.lastChangeMs = Math.max(0, Date.now() - record.writtenAtMs);
            }),
            () => clearInterval(timer),
        ];
        this.loops = [this.task.run(), this.finishStartUp()];
    }

    private async finishStartUp(): Promise<void> {
        await this.startUp.runUntil("acceptingLoads", this.abort.signal);
        if (this.abort.signal.aborted) return;
        this.options.logger.info({ step: "start-up", fencingToken: this.fencing.token }, "agent accepts loads");
        this.task.mailbox.post({ kind: "allow-orders", allowed: true });
    }

    /** Grants may have moved while the process was paused, so its records are compared again before further loads. */
    private onPaused(): void {
        this.options.logger.warn({ step: "pause" }, "the process was paused; loads wait for an exchange of records");
        this.peers.forgetExchange();
        if (this.startUp.notePause()) this.loops.push(this.finishStartUp());
    }

    /** An engine that refuses the token has seen a higher one: from another agent, or before the service was restored. */
    private onOrderRefused(): void {
        void this.fencing.raiseAfterRefusal().mapErr(error => {
            const { step, peer } = error;
            if (error instanceof ConflictError || error instanceof UnavailableError) return;
            this.options.logger.error({ step, peer, err: error }, "the engine refuses this agent's orders");
        });
    }

    private createRecords(): RecordStore {
        const { processId, store, logger } = this.options;
        return createRecordStore({
            processId,
            store,
            prefixes: RECORD_PREFIXES,
            peers: () => this.peers.recordPeers(),
            // Without a router no process passes on the service's changes.
            isReader: () => this.peers.liveRouters().length === 0,
            logger,
        });
    }

    private createPermits(): PermitClient {
        return createPermitClient({
            processId: this.options.processId,
            limits: () => this.permitLimits(),
            broker: kind => this.peers.broker(kind),
            shareCount: () => Math.max(1, this.peers.backendCount()),
        });
    }

    private permitLimits(): readonly PermitLimit[] {
        const { loadsPerSecond, maxConcurrentLoads, maxConcurrentAdapterLoads } = this.catalog.limits();
        return [
            { kind: "model_load", ratePerSecond: loadsPerSecond, maxInFlight: maxConcurrentLoads },
            { kind: "adapter_load", ratePerSecond: undefined, maxInFlight: maxConcurrentAdapterLoads },
        ];
    }

    private createOrders(): EngineOrders | undefined {
        const { engineControl, limits } = this.options;
        if (engineControl === undefined) return undefined;
        return new EngineOrders({
            control: engineControl,
            permits: this.options.permits ?? this.createPermits(),
            fencing: this.fencing,
            isStillWanted: (modelId, kind, urgency) => this.replicas?.isStillWanted(modelId, kind, urgency) ?? false,
            orderTimeoutMs: limits.orderTimeoutMs,
            onSent: orderId => this.task.mailbox.post({ kind: "order-sent", orderId }),
            onOrder: (orderId, result) => this.task.mailbox.post({ kind: "order", orderId, result }),
            onIndex: read => this.task.mailbox.post({ kind: "index", read }),
        });
    }

    private createReplicas(engine: EngineOrders): ReplicaSet {
        const { policies, limits, logger } = this.options;
        return new ReplicaSet({
            ...policies,
            catalog: this.catalog,
            engine,
            limits,
            logger,
            removeGrant: modelId => this.grants.remove(modelId),
            onOrderRefused: () => this.onOrderRefused(),
            wakeAfter: delayMs => void setTimeout(() => this.task.mailbox.post({ kind: "wake" }), delayMs).unref(),
        });
    }

    private createMetrics(): AgentMetrics {
        return new AgentMetrics({
            queued: () => this.task.queuedCount,
            running: () => this.task.runningCount,
            reservedBytes: () => this.replicas?.ledger.reservedBytes ?? 0,
            memorySizeBytes: () => this.replicas?.ledger.sizeBytes ?? 0,
            loadedModels: () => this.replicas?.loadedCount ?? 0,
        });
    }

    private createTask(): BackendTask {
        const { policies, limits } = this.options;
        return new BackendTask({
            ...policies,
            catalog: this.catalog,
            replicas: this.replicas,
            createWaitingRoom: onDeadline => new WaitingRoom(policies.createQueueOrder(), onDeadline),
            once: new OnceMemory({ maxCount: limits.onceMaxCount, maxAgeMs: limits.onceMaxAgeMs }),
            limits,
            onRefused: refusal => this.metrics.refused(refusal),
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
                settleEngine: () => new ResultAsync(this.settleEngine()),
                raiseFence: () => (this.replicas === undefined ? okAsync(undefined) : this.fencing.raise()),
                exchangeRecords: () => this.exchangeRecords(),
            },
        });
    }

    private bindPeerPort(): ResultAsync<void, SkylarkmillError> {
        const { peerListen, peerKeys } = this.options;
        const handlers = createPeerHandlers({
            ...this.options,
            records: this.records,
            drain: this.drain,
            status: () => serverStatus(this.statusSources, true),
            isReady: () => this.isReady,
            problems: () => this.problems(),
            lastChangeMs: () => this.lastChangeMs,
            inProgressCount: () => this.task.queuedCount + this.task.runningCount,
        });
        return createPeerServer({ ...peerListen, keys: peerKeys, handlers }).map(server => {
            this.peerServer = server;
        });
    }

    private readIndex(): ResultAsync<void, SkylarkmillError> {
        if (this.replicas === undefined || this.replicas.hasInventory) return okAsync(undefined);
        return this.task.readIndex();
    }

    /** A load order of a predecessor may still be on its way; the index is right only once it can't take effect. */
    private async settleEngine(): Promise<Result<void, SkylarkmillError>> {
        if (this.replicas === undefined || !this.fencing.hasPredecessor) return ok(undefined);
        if (this.replicas.checksFencing()) {
            const absent = this.replicas.anyAbsentModel();
            const shown = absent === undefined ? undefined : await this.orders?.showToken(absent);
            if (shown?.isErr() === true) return err(shown.error);
        }
        else await sleep(this.options.limits.settleMs, this.abort.signal);
        return this.task.readIndex();
    }

    private exchangeRecords(): ResultAsync<void, SkylarkmillError> {
        const wasRead = this.options.hostList.ageMs() !== Infinity;
        const hasExchanged = this.peers.hasExchangedWithRouter || this.peers.liveRouters().length === 0;
        if (wasRead && hasExchanged) return okAsync(undefined);
        const missing = wasRead ? "No router has exchanged records yet." : "The host list has not been read yet.";
        return errAsync(new UnavailableError(missing, { step: "records.exchange", peer: "routers" }));
    }

    private problems(): string[] {
        const problems = [...this.catalog.problems()];
        if (this.startUp.state !== "acceptingLoads") problems.push(`Start-up is at step ${this.startUp.state}.`);
        return problems;
    }
}
