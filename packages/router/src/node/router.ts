import { create } from "@bufbuild/protobuf";
import { type ConfigView, createConfigView, KEYS } from "@skylarkmill/config";
import type { PlacementDuty } from "@skylarkmill/control";
import {
    BodyMemory,
    type ClaimWriter,
    closeServer,
    createClaimWriter,
    createPeerServerWhenFree,
    createPermitBroker,
    createRecordStore,
    drainServer,
    type ListenAddress,
    listenWhenFree,
    LogLimiter,
    type PeerServer,
    type PermitLimit,
    type RecordStore,
} from "@skylarkmill/coordination";
import {
    type AttemptId,
    type ProcessStatus,
    ProcessStatusSchema,
    type SkylarkmillError,
    toId,
    UnavailableError,
} from "@skylarkmill/protocol";
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { randomBytes } from "node:crypto";
import type { Server } from "node:http";
import { AgentPools } from "../runtime/agent-pools.ts";
import { DemandTracker } from "../runtime/demand-tracker.ts";
import { DurationTracker } from "../runtime/duration-tracker.ts";
import { KeyedRequests } from "../runtime/keyed-requests.ts";
import { Peers } from "../runtime/peers.ts";
import { Prober } from "../runtime/prober.ts";
import { RequestHandler } from "../runtime/request-handler.ts";
import { RequestTracker } from "../runtime/request-tracker.ts";
import { RouterMetrics } from "../runtime/router-metrics.ts";
import { createRouterPolicies } from "../runtime/router-policies.ts";
import { RouterProcessTracker } from "../runtime/router-process-tracker.ts";
import { ServerDirectory } from "../runtime/server-directory.ts";
import { ServerViews } from "../runtime/server-views.ts";
import type { RouterContext } from "../types/context.ts";
import {
    type ResolvedRouterOptions,
    resolveRouterOptions,
    type Router,
    type RouterOptions,
    type RouterPorts,
} from "../types/options.ts";
import { createCallerServer } from "./caller-server.ts";
import { type ControlOptions, createOperatorServer, createRouterPlacement } from "./control.ts";

import { createPeerHandlers } from "./peer-handlers.ts";

/** Maximum number of log lines per second for failed attempts. */
const MAX_FAILURE_LOG_LINES_PER_SECOND = 20;

/**
 * Creates a router. The host list must already be started.
 *
 * @example
 * const router = createRouter({ processId, hostId, dataCentre, listen: { host: "127.0.0.1", port: 8080 }, ... });
 * const ports = (await router.start())._unsafeUnwrap();
 * await router.stop();
 */
export function createRouter(options: RouterOptions): Router {
    return new RouterProcess(resolveRouterOptions(options));
}

/** Creates the components of one router and starts and stops them in order. */
class RouterProcess implements Router {
    private readonly options: ResolvedRouterOptions;
    private readonly records: RecordStore;
    private readonly config: ConfigView;
    private readonly peers: Peers;
    private readonly directory: ServerDirectory;
    private readonly agentPools: AgentPools;
    private readonly claims: ClaimWriter;
    private readonly context: RouterContext;
    private readonly requestHandler: RequestHandler;
    private readonly callerServer: Server;
    private readonly operatorServer: Server;
    private readonly placement: PlacementDuty;
    private readonly prober: Prober;
    private readonly unsubscribes: (() => void)[] = [];
    private readonly listenAbort = new AbortController();
    private peerServer: PeerServer | undefined;
    private stopPromise: Promise<void> | undefined;
    /** Delay between the write of the last configuration change and its arrival at this router. */
    private lastConfigChangeDelayMs = 0;

    constructor(options: ResolvedRouterOptions) {
        const { processId, hostId, store, membership, limits } = options;
        this.options = options;
        this.peers = new Peers(options);
        this.records = createRecordStore({
            processId,
            store,
            prefixes: [KEYS.configPrefix, KEYS.grantsPrefix, KEYS.drainsPrefix],
            peers: () => this.peers.allClients(),
            shouldWatchKeyValueService: () => this.peers.shouldWatchKeyValueService(),
            logger: options.logger,
        });
        this.config = createConfigView(this.records);
        this.directory = new ServerDirectory(membership, this.records);
        this.agentPools = new AgentPools(limits.connectTimeoutMs);
        this.claims = createClaimWriter({
            store,
            processId,
            buildClaimKey: (serviceId, keyHash) => KEYS.claim(serviceId, keyHash),
            timeoutMs: limits.claimTimeoutMs,
            logger: options.logger,
        });
        const requestTracker = new RequestTracker();
        const policies = createRouterPolicies(limits.maxRequests, options.policies);
        this.context = {
            options,
            logger: options.logger,
            policies,
            config: this.config,
            directory: this.directory,
            serverViews: new ServerViews({
                records: this.records,
                directory: this.directory,
                policies,
                maxServersPerService: limits.maxServersPerService,
                subsetKey: hostId,
            }),
            agentPools: this.agentPools,
            metrics: new RouterMetrics(() => requestTracker.totalCount),
            requestTracker,
            bodyMemory: new BodyMemory(limits.maxBufferedBodyBytes),
            demand: new DemandTracker(),
            durationTracker: new DurationTracker(policies.estimator),
            failureLogLimiter: new LogLimiter(MAX_FAILURE_LOG_LINES_PER_SECOND),
            createAttemptId: createAttemptIdGenerator(),
        };
        const keyedRequests = new KeyedRequests(this.context, this.claims, new RouterProcessTracker(this.peers));
        this.requestHandler = new RequestHandler(this.context, keyedRequests);
        this.callerServer = createCallerServer({
            context: this.context,
            handler: this.requestHandler,
            isReady: () => this.isReady(),
        });
        const controlOptions: ControlOptions = {
            ...this.context,
            records: this.records,
            registry: this.context.metrics.registry,
        };
        this.operatorServer = createOperatorServer(controlOptions);
        this.placement = createRouterPlacement(controlOptions);
        this.prober = new Prober({
            context: this.context,
            peers: this.peers,
            shouldProbeAll: () => this.placement.isHeld,
        });
    }

    start(): ResultAsync<RouterPorts, SkylarkmillError> {
        return this.startComponents().orElse(error =>
            ResultAsync.fromSafePromise(this.stop()).andThen(() => errAsync<RouterPorts, SkylarkmillError>(error))
        );
    }

    private startComponents(): ResultAsync<RouterPorts, SkylarkmillError> {
        this.unsubscribes.push(
            this.records.subscribe(KEYS.configPrefix, record => {
                this.lastConfigChangeDelayMs = Math.max(0, Date.now() - record.writtenAtMs);
            }),
            this.options.membership.subscribe(() => this.agentPools.retainHosts(this.options.membership.hosts())),
        );
        this.peers.start();
        this.directory.start();
        return this.startPeerServer().andThen(peerPort => {
            this.records.start();
            this.placement.start();
            this.prober.start();
            const { listen: callerListen, operatorListen } = this.options;
            return ResultAsync.combine([
                this.listen(this.operatorServer, operatorListen, "operator.listen"),
                this.listen(this.callerServer, callerListen, "caller.listen"),
            ]).andThen(([operatorPort, port]) =>
                port === undefined || operatorPort === undefined
                    ? errAsync(this.createStoppedError())
                    : okAsync({ port, operatorPort, peerPort })
            );
        });
    }

    private listen(
        server: Server,
        address: ListenAddress,
        step: string,
    ): ResultAsync<number | undefined, SkylarkmillError> {
        const { signal } = this.listenAbort;
        return listenWhenFree(server, address, { step, logger: this.options.logger, signal }).mapErr(error => {
            this.listenAbort.abort();
            return error;
        });
    }

    private createStoppedError(): SkylarkmillError {
        return new UnavailableError("the router stopped before its ports were bound", {
            step: "start",
            peer: this.options.hostId,
        });
    }

    stop(): Promise<void> {
        this.stopPromise ??= this.shutDown();
        return this.stopPromise;
    }

    private async shutDown(): Promise<void> {
        this.listenAbort.abort();
        this.requestHandler.stop();
        const { requestTracker } = this.context;
        const drained = drainServer(this.callerServer, () => requestTracker.totalCount === 0);
        // The duty is released in parallel, so that another router can take it over while the last responses are sent.
        await Promise.all([this.placement.stop(), drained]);
        await requestTracker.waitUntilIdle();
        await closeServer(this.operatorServer);
        this.prober.stop();
        await this.claims.stop();
        for (const unsubscribe of this.unsubscribes) unsubscribe();
        this.directory.stop();
        this.config.close();
        await this.records.stop();
        await this.peerServer?.close();
        this.peers.stop();
        await this.agentPools.stop();
    }

    private startPeerServer(): ResultAsync<number, SkylarkmillError> {
        const { peerListen, peerKeys } = this.options;
        const broker = createPermitBroker({ limits: () => permitLimits(this.config) });
        return createPeerServerWhenFree({
            logger: this.options.logger,
            signal: this.listenAbort.signal,
            host: peerListen.host,
            port: peerListen.port,
            keys: peerKeys,
            handlers: createPeerHandlers({
                records: this.records,
                broker,
                peers: this.peers,
                status: () => this.status(),
            }),
        }).andThen(server => {
            if (server === undefined) return errAsync(this.createStoppedError());
            this.peerServer = server;
            return okAsync(server.port);
        });
    }

    private isReady(): boolean {
        return this.callerServer.listening && !this.requestHandler.isStopping && this.config.services().size > 0;
    }

    private status(): ProcessStatus {
        const { processId, dataCentre } = this.options;
        return create(ProcessStatusSchema, {
            processId,
            role: "router",
            dataCentre,
            ready: this.isReady(),
            draining: this.requestHandler.isStopping,
            versions: [...this.records.versions()],
            lastChangeMs: Math.min(this.lastConfigChangeDelayMs, 0xffff_ffff),
            duties: this.placement.isHeld ? ["placement"] : [],
            problems: [...this.config.problems()],
        });
    }
}

function permitLimits(config: ConfigView): readonly PermitLimit[] {
    const { loadsPerSecond, maxConcurrentLoads, maxConcurrentAdapterLoads } = config.limits();
    return [
        { kind: "model_load", ratePerSecond: loadsPerSecond, maxInFlight: maxConcurrentLoads },
        { kind: "adapter_load", ratePerSecond: undefined, maxInFlight: maxConcurrentAdapterLoads },
    ];
}

/**
 * Creates a generator of attempt ids that are unique across routers and restarts. A random prefix with a counter
 * is cheaper than a random id per attempt.
 */
function createAttemptIdGenerator(): () => AttemptId {
    const prefix = randomBytes(9).toString("base64url").replaceAll(/[-_]/g, "0");
    let count = 0;
    return () => toId<AttemptId>(`${prefix}${(count++).toString(36)}`);
}
