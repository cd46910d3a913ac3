import { type DrainRecord, KEYS } from "@skylarkmill/config";
import {
    createPeerServer,
    createPermitClient,
    createRecordStore,
    type PeerServer,
    type PermitClient,
    type RecordStore,
} from "@skylarkmill/coordination";
import { type SkylarkmillError, UnavailableError } from "@skylarkmill/protocol";
import { err, errAsync, ok, okAsync, type Result, ResultAsync } from "neverthrow";
import { Attempt, refusalAnswer } from "../runtime/attempt.ts";
import { BackendTask } from "../runtime/backend-task.ts";
import { Drain } from "../runtime/drain.ts";
import { OnceMemory } from "../runtime/once-memory.ts";
import { ReplicaSet } from "../runtime/replica-set.ts";
import { StartUp } from "../runtime/start-up.ts";
import { WaitingRoom } from "../runtime/waiting-room.ts";
import type { AgentAnswer } from "../types/answer.ts";
import type { Agent, AgentPorts, ResolvedAgentOptions } from "../types/options.ts";
import type { Decision } from "../types/request.ts";
import { createCatalog, type FollowedCatalog } from "../utils/catalog.ts";
import { toBackendHeaders } from "../utils/forwarded-headers.ts";
import { REFUSALS } from "../utils/refusals.ts";
import { loadHeader, serverStatus, type StatusSources } from "../utils/server-status.ts";
import { EngineOrders } from "./engine-orders.ts";
import { raiseFence } from "./fence.ts";
import { GrantRemover } from "./grant-remover.ts";
import { AgentMetrics } from "./metrics.ts";
import { PeerDirectory } from "./peer-directory.ts";
import { createPeerHandlers } from "./peer-handlers.ts";
import { type RequestServer, type RoutedRequest, startRequestServer } from "./request-server.ts";

const RECORD_PREFIXES = [KEYS.configPrefix, KEYS.grantsPrefix, KEYS.drainsPrefix];

/** Composes the tasks of one agent. */
export class AgentProcess implements Agent {
    private readonly abort = new AbortController();
    private readonly peers: PeerDirectory;
    private readonly records: RecordStore;
    private readonly catalog: FollowedCatalog;
    private readonly permits: PermitClient;
    private readonly orders: EngineOrders | undefined;
    private readonly grants: GrantRemover;
    private readonly replicas: ReplicaSet | undefined;
    private readonly task: BackendTask;
    private readonly drain: Drain;
    private readonly metrics: AgentMetrics;
    private readonly startUp: StartUp;
    private readonly statusSources: StatusSources;
    private peerServer: PeerServer | undefined;
    private requestServer: RequestServer | undefined;
    private fencingToken = 0;
    private unsubscribe: (() => void)[] = [];
    private loops: Promise<void>[] = [];
    private indexTimer: NodeJS.Timeout | undefined;

    constructor(private readonly options: ResolvedAgentOptions) {
        this.peers = new PeerDirectory(options);
        this.records = options.records ?? this.createRecords();
        this.catalog = createCatalog(
            this.records,
            options.serverId,
            options.serviceId,
            () => this.task.mailbox.post({ kind: "records" }),
        );
        this.permits = options.permits ?? this.createPermits();
        this.grants = new GrantRemover({ ...options.limits, records: this.records, ...options });
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

    async stop(): Promise<void> {
        this.drain.stop();
        await this.task.whenSettled();
        this.drain.finish();
        this.abort.abort();
        clearInterval(this.indexTimer);
        for (const end of this.unsubscribe) end();
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
        const { limits, requestListen, peerKeys } = this.options;
        const deadline = AbortSignal.timeout(limits.bindTimeoutMs);
        await this.startUp.runUntil("readIndex", AbortSignal.any([deadline, this.abort.signal]));
        if (this.peerServer === undefined) return err(this.bindError());
        const requestServer = await startRequestServer({
            listen: requestListen,
            peerKeys,
            maxBodyBytes: limits.maxBodyBytes,
            handle: request => this.handle(request),
            loadHeader: () => loadHeader(this.statusSources),
            isReady: () => this.isReady,
            metrics: () => this.metrics.collect(),
            onRefused: refusal => this.metrics.refused(refusal),
        });
        if (requestServer.isErr()) {
            await this.peerServer.close();
            return err(requestServer.error);
        }
        this.requestServer = requestServer.value;
        this.runTasks();
        return ok({ requestPort: requestServer.value.port, peerPort: this.peerServer.port });
    }

    private bindError(): SkylarkmillError {
        const { host, port } = this.options.peerListen;
        return new UnavailableError(`The peer port ${host}:${port} stayed taken.`, {
            step: "peer.listen",
            peer: `${host}:${port}`,
        });
    }

    private runTasks(): void {
        const { limits, hostList } = this.options;
        this.records.start();
        this.unsubscribe = [
            hostList.subscribe(() => this.readHostState()),
            this.records.subscribe(KEYS.drain(this.options.hostId), () => this.readDrainRecord()),
        ];
        this.readHostState();
        this.readDrainRecord();
        this.indexTimer = setInterval(() => this.task.mailbox.post({ kind: "tick" }), limits.indexIntervalMs);
        this.loops = [this.task.run(), this.finishStartUp()];
    }

    private async finishStartUp(): Promise<void> {
        await this.startUp.runUntil("acceptingLoads", this.abort.signal);
        if (this.abort.signal.aborted) return;
        this.options.logger.info({ step: "start-up", fencingToken: this.fencingToken }, "agent accepts loads");
        this.task.mailbox.post({ kind: "accept-loads" });
    }

    private readHostState(): void {
        const { hostList, hostId } = this.options;
        const own = hostList.hosts().find(host => host.hostId === hostId);
        this.drain.set("host-list", own !== undefined && own.state !== "live");
    }

    private readDrainRecord(): void {
        const record = this.records.get<DrainRecord>(KEYS.drain(this.options.hostId));
        if (record === undefined) return;
        // The operator's end of the drain also ends one that a router announced by call.
        if (record.value === undefined) this.drain.set("peer", false);
        this.drain.set("record", record.value !== undefined);
    }

    private async handle(request: RoutedRequest): Promise<AgentAnswer> {
        const { head, signal } = request;
        if (head.serviceId !== this.options.serviceId) return refusalAnswer(REFUSALS.wrongService());
        const decision = await this.submit(request);
        if (decision.kind === "refuse") return refusalAnswer(decision.refusal);
        const { backend, limits } = this.options;
        const attempt = new Attempt({
            backend,
            head,
            method: request.method,
            path: request.path,
            headers: toBackendHeaders(request.headers.entries()),
            body: request.body,
            isModelService: this.replicas !== undefined,
            maxAnswerBytes: limits.maxAnswerBytes,
            maxResumeCount: limits.maxResumeCount,
            counters: this.metrics.answers,
            signal,
            onFinished: outcome => {
                this.metrics.finished(outcome);
                this.task.mailbox.post({ kind: "finished", attemptId: head.attemptId, outcome });
            },
        });
        return attempt.run();
    }

    private submit({ head, signal }: RoutedRequest): Promise<Decision> {
        return new Promise(resolve => {
            const cancel = (): void => {
                this.task.mailbox.post({ kind: "cancel", attemptId: head.attemptId });
            };
            const decide = (decision: Decision): void => {
                signal.removeEventListener("abort", cancel);
                resolve(decision);
            };
            const posted = this.task.mailbox.post({ kind: "arrive", head, decide });
            if (!posted) decide({ kind: "refuse", refusal: REFUSALS.draining() });
            else signal.addEventListener("abort", cancel, { once: true });
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
            limits: () => {
                const limits = this.catalog.limits();
                return [
                    {
                        kind: "model_load",
                        ratePerSecond: limits.loadsPerSecond,
                        maxInFlight: limits.maxConcurrentLoads,
                    },
                    {
                        kind: "adapter_load",
                        ratePerSecond: undefined,
                        maxInFlight: limits.maxConcurrentAdapterLoads,
                    },
                ];
            },
            broker: kind => this.peers.broker(kind),
            shareCount: () => Math.max(1, this.peers.backendCount()),
        });
    }

    private createOrders(): EngineOrders | undefined {
        const { engineControl, limits } = this.options;
        if (engineControl === undefined) return undefined;
        return new EngineOrders({
            control: engineControl,
            permits: this.permits,
            fencingToken: () => this.fencingToken,
            mayLoad: modelId => this.replicas?.blockedLoad(modelId) === undefined,
            orderTimeoutMs: limits.orderTimeoutMs,
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
        const { policies, limits, logger } = this.options;
        return new BackendTask({
            ...policies,
            catalog: this.catalog,
            replicas: this.replicas,
            createWaitingRoom: onDeadline => new WaitingRoom(policies.createQueueOrder(), onDeadline),
            once: new OnceMemory({ maxCount: limits.onceMaxCount, maxAgeMs: limits.onceMaxAgeMs }),
            limits,
            logger,
            onRefused: refusal => this.metrics.refused(refusal),
        });
    }

    private createStartUp(): StartUp {
        const { limits, logger, store, serverId } = this.options;
        return new StartUp({
            ...limits,
            logger,
            steps: {
                bindPeerPort: () => this.bindPeerPort(),
                readIndex: () => this.readIndex(),
                readGrants: () => this.records.refresh(),
                raiseFence: () =>
                    this.replicas === undefined
                        ? okAsync(undefined)
                        : raiseFence(store, serverId, this.fencingToken + 1).map(token => {
                            this.fencingToken = token;
                        }),
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
            lastChangeMs: () => 0,
            inProgressCount: () => this.task.queuedCount + this.task.runningCount,
        });
        return createPeerServer({ host: peerListen.host, port: peerListen.port, keys: peerKeys, handlers }).map(
            server => {
                this.peerServer = server;
            },
        );
    }

    private readIndex(): ResultAsync<void, SkylarkmillError> {
        if (this.replicas === undefined || this.replicas.hasInventory) return okAsync(undefined);
        this.task.mailbox.post({ kind: "tick" });
        return errAsync(
            new UnavailableError("The engine's index has not been read yet.", { step: "engine.index", peer: "engine" }),
        );
    }

    private exchangeRecords(): ResultAsync<void, SkylarkmillError> {
        const listRead = this.options.hostList.ageMs() !== Infinity;
        if (listRead && (this.peers.hasExchangedWithRouter || this.peers.liveRouters().length === 0)) {
            return okAsync(undefined);
        }
        const missing = listRead ? "No router has exchanged records yet." : "The host list has not been read yet.";
        return errAsync(new UnavailableError(missing, { step: "records.exchange", peer: "routers" }));
    }

    private problems(): string[] {
        const problems = [...this.catalog.problems()];
        if (this.startUp.state !== "acceptingLoads") problems.push(`Start-up is at step ${this.startUp.state}.`);
        return problems;
    }
}
