import {
    type AdmissionPolicyOptions,
    createAdmissionPolicy,
    createDurationEstimator,
    createHedgePolicy,
    createPlacementPolicy,
    createQueueOrder,
    createRandom,
    createResidencyPolicy,
    createRetryBudget,
    createScalingPolicy,
    createServerChooser,
    createStragglerDetector,
    type DurationEstimatorOptions,
    type HedgePolicyOptions,
    type PlacementPolicyOptions,
    type QueueOrderOptions,
    type RandomSource,
    type ResidencyPolicyOptions,
    type RetryBudgetOptions,
    type ScalingPolicy,
    type ScalingPolicyOptions,
    type ServerChooserOptions,
    type StragglerDetectorOptions,
} from "@skylarkmill/policy";
import { type HostId, type ModelId, type ServerId, type ServiceId, toId } from "@skylarkmill/protocol";
import type { Deployment } from "../deployments.ts";
import { type Attempt, BackendServer } from "./backend-server.ts";
import { BenchRouter, type Outcome } from "./bench-router.ts";
import { EventQueue } from "./event-queue.ts";
import { WeightStore } from "./weight-store.ts";
import { type BenchRequest, dataCentreOf, generateModels, type ModelSpec } from "./workload.ts";

/** Names and options of the policies of one run; the production defaults apply to those that are absent. */
export interface PolicySet {
    readonly chooser?: ServerChooserOptions;
    readonly queue?: QueueOrderOptions;
    readonly admission?: AdmissionPolicyOptions;
    readonly estimator?: DurationEstimatorOptions;
    readonly detector?: StragglerDetectorOptions;
    readonly hedge?: HedgePolicyOptions;
    readonly retries?: RetryBudgetOptions;
    readonly placement?: PlacementPolicyOptions;
    readonly residency?: ResidencyPolicyOptions;
    readonly scaling?: ScalingPolicyOptions;
}

export interface FleetOptions {
    readonly seed: number;
    readonly policies: PolicySet;
    /** @default 250 */
    readonly reportIntervalMs?: number;
    /** Returns the maximum number of replicas of the model with this index, instead of the generated one. */
    readonly maxReplicas?: (index: number, generated: number) => number;
    /** Recent requests per second of each model, as input of the placement policy. @default 0 */
    readonly demandPerSecond?: (index: number) => number;
}

type Locality = "memory" | "disk" | "remote";

/** Duration of a load from each place, as a share of the duration of a load from the weight store. */
const LOAD_TIME_SHARE: Readonly<Record<Locality, number>> = { memory: 0.15, disk: 0.5, remote: 1 };

/** Simulates the routers, servers and weight store of one deployment on one event queue. */
export class Fleet {
    readonly events = new EventQueue();
    readonly outcomes: Outcome[] = [];
    readonly models: readonly ModelSpec[];
    readonly servers: readonly BackendServer[];
    readonly grants = new Map<ModelId, ServerId[]>();
    loadCount = 0;
    private readonly weightStore: WeightStore;
    private readonly routers: readonly BenchRouter[];
    private readonly specs: ReadonlyMap<ModelId, ModelSpec>;
    private readonly fastestLocalities = new Map<ModelId, Locality>();
    private readonly localities = new Map<ServerId, Map<ModelId, Locality>>();
    private readonly reportDelayMs = new Map<ServerId, number>();
    private readonly scaling: ScalingPolicy;

    constructor(readonly deployment: Deployment, private readonly options: FleetOptions) {
        const random = createRandom(options.seed);
        const { policies } = options;
        this.models = generateModels(deployment, random).map((model, index) => ({
            ...model,
            maxReplicas: options.maxReplicas?.(index, model.maxReplicas) ?? model.maxReplicas,
        }));
        this.specs = new Map(this.models.map(model => [model.modelId, model]));
        this.weightStore = new WeightStore(this.events, deployment.loadsInFlight);
        this.scaling = createScalingPolicy(policies.scaling);
        this.servers = Array.from({ length: deployment.engineCount }, (_, index) => this.createServer(index));
        this.placeCheckpoints(random);
        this.placeGrants();
        this.routers = Array.from({ length: deployment.routerCount }, (_, index) => this.createRouter(index));
        for (const server of this.servers) this.publishReport(server);
        const intervalMs = options.reportIntervalMs ?? 250;
        this.events.every(intervalMs, () => this.servers.forEach(server => this.publishReport(server)));
        this.events.every(5_000, () => this.servers.forEach(server => server.unloadIdle()));
        this.events.every(500, () => this.loadFurtherReplicas());
    }

    submit(requests: readonly BenchRequest[]): void {
        for (const request of requests) {
            const router = this.routers[request.routerIndex] as BenchRouter;
            this.events.schedule(request.arrivedAtMs - this.events.nowMs, () => router.submit(request));
        }
    }

    /** Makes every router check its waiting attempts at this interval, to detect stragglers and send hedges. */
    checkWaitingAttempts(intervalMs: number): void {
        this.events.every(intervalMs, () => this.routers.forEach(router => router.checkWaitingAttempts()));
    }

    /** Sets the slowness of a server and the delay of its reports. */
    setSlowness(index: number, slowness: number, reportDelayMs: number): void {
        const server = this.servers[index] as BackendServer;
        server.setSlowness(slowness);
        this.reportDelayMs.set(server.serverId, reportDelayMs);
    }

    /** Loads a model at the first `replicas` servers with a grant for it before the run. */
    preload(modelId: ModelId, replicas: number): void {
        for (const serverId of this.grants.get(modelId)?.slice(0, replicas) ?? []) {
            this.findServer(serverId).preload(modelId);
            this.publishReport(this.findServer(serverId));
        }
    }

    /** Runs until the given time and returns the outcomes of the requests. */
    run(endMs: number): readonly Outcome[] {
        this.events.runUntil(endMs);
        this.servers.forEach(server => server.addIdleTimeOfAllModels());
        this.events.close();
        return this.outcomes;
    }

    /** Duration of a load of the model at a server once it starts, in milliseconds. */
    loadMs(serverId: ServerId, modelId: ModelId): number {
        const locality = this.localities.get(serverId)?.get(modelId) ?? "remote";
        return (this.specs.get(modelId) as ModelSpec).remoteLoadMs * LOAD_TIME_SHARE[locality];
    }

    /** Whether a load of the model at a server reads from the weight store. */
    mustLoadRemotely(serverId: ServerId, modelId: ModelId): boolean {
        return (this.localities.get(serverId)?.get(modelId) ?? "remote") === "remote";
    }

    /** The fastest load of the model on any server, given the placement of checkpoints before the run. */
    fastestLoad(modelId: ModelId): { readonly loadMs: number; readonly isRemote: boolean; } {
        const locality = this.fastestLocalities.get(modelId) ?? "remote";
        return {
            loadMs: (this.specs.get(modelId) as ModelSpec).remoteLoadMs * LOAD_TIME_SHARE[locality],
            isRemote: locality === "remote",
        };
    }

    private createServer(index: number): BackendServer {
        const { deployment, options: { policies, seed } } = this;
        return new BackendServer(this.events, {
            serverId: toId<ServerId>(`server-${String(index).padStart(2, "0")}`),
            dataCentre: dataCentreOf(deployment, index),
            slotCount: deployment.slotCount,
            memoryBytes: deployment.engineMemoryBytes,
            specs: this.specs,
            queue: createQueueOrder<Attempt>(policies.queue),
            admission: createAdmissionPolicy({ ...policies.admission, seed: seed + index }),
            residency: createResidencyPolicy(policies.residency),
            startLoad: (serverId, modelId, done) => this.startLoad(serverId, modelId, done),
            loadMs: (serverId, modelId) => this.loadMs(serverId, modelId),
            onModelsChanged: server => this.events.schedule(1, () => this.publishReport(server)),
        });
    }

    private createRouter(index: number): BenchRouter {
        const { deployment, options: { policies, seed } } = this;
        return new BenchRouter(this.events, {
            dataCentre: dataCentreOf(deployment, index),
            crossDataCentreDelayMs: deployment.crossDataCentreDelayMs,
            chooser: createServerChooser({ ...policies.chooser, seed: seed * 31 + index }),
            estimator: createDurationEstimator(policies.estimator),
            detector: createStragglerDetector(policies.detector),
            hedge: createHedgePolicy(policies.hedge),
            retries: createRetryBudget(policies.retries),
            admission: createAdmissionPolicy({ ...policies.admission, seed: seed * 37 + index }),
            servers: this.servers,
            grants: this.grants,
            loadMs: (serverId, modelId) => this.loadMs(serverId, modelId),
            onOutcome: outcome => this.outcomes.push(outcome),
        });
    }

    /** Places up to three copies of a third of the models, one copy of another third, on disk or in a host's memory. */
    private placeCheckpoints(random: RandomSource): void {
        for (const server of this.servers) this.localities.set(server.serverId, new Map());
        this.models.forEach((model, index) => {
            const copies = index % 3 === 0 ? 3 : index % 3 === 1 ? 1 : 0;
            for (let copy = 0; copy < copies; copy += 1) {
                const server = this.servers[random.index(this.servers.length)] as BackendServer;
                const locality = random.fraction() < 0.1 ? "memory" : "disk";
                this.localities.get(server.serverId)?.set(model.modelId, locality);
                if (this.fastestLocalities.get(model.modelId) !== "memory") {
                    this.fastestLocalities.set(model.modelId, locality);
                }
            }
        });
    }

    private placeGrants(): void {
        const { policies, seed } = this.options;
        const changes = createPlacementPolicy({ ...policies.placement, seed }).plan(
            this.models.map((model, index) => ({
                ...model,
                serviceId: toId<ServiceId>("assistant"),
                demandPerSecond: this.options.demandPerSecond?.(index) ?? 0,
                grants: [],
            })),
            this.servers.map(server => ({
                serverId: server.serverId,
                hostId: toId<HostId>(server.serverId),
                dataCentre: server.dataCentre,
                memorySizeBytes: this.deployment.engineMemoryBytes,
                draining: false,
                locality: this.localities.get(server.serverId) ?? new Map<ModelId, Locality>(),
            })),
        );
        for (const change of changes) {
            this.grants.set(change.modelId, [...this.grants.get(change.modelId) ?? [], change.serverId]);
        }
    }

    private startLoad(serverId: ServerId, modelId: ModelId, done: () => void): void {
        this.loadCount += 1;
        const loadMs = this.loadMs(serverId, modelId);
        const finish = () => {
            if (this.mustLoadRemotely(serverId, modelId)) this.localities.get(serverId)?.set(modelId, "disk");
            done();
        };
        if (this.mustLoadRemotely(serverId, modelId)) this.weightStore.load(loadMs, finish);
        else this.events.schedule(loadMs, finish);
    }

    private publishReport(server: BackendServer): void {
        const report = server.report();
        this.events.schedule(this.reportDelayMs.get(server.serverId) ?? 1, () => {
            for (const router of this.routers) router.receiveReport(server.serverId, report);
        });
    }

    /** Loads further replicas where the backlog justifies them, in the order of the grants. */
    private loadFurtherReplicas(): void {
        const queuedMs = new Map<ModelId, number>();
        for (const server of this.servers) {
            for (const [modelId, ms] of server.queuedMs()) queuedMs.set(modelId, (queuedMs.get(modelId) ?? 0) + ms);
        }
        for (const [modelId, ms] of queuedMs) {
            const grantedServers = this.servers.filter(server => this.grants.get(modelId)?.includes(server.serverId));
            const nextServerId = this.grants.get(modelId)?.find(id => !this.findServer(id).hasModel(modelId));
            if (nextServerId === undefined) continue;
            const loadedOrLoadingCount = grantedServers.filter(server => server.hasModel(modelId)).length;
            const wanted = this.scaling.wantedReplicas({
                loadedCount: loadedOrLoadingCount,
                grantCount: grantedServers.length,
                backlogMs: ms,
                loadMs: this.loadMs(nextServerId, modelId),
                slotCount: this.deployment.slotCount,
            });
            if (wanted > loadedOrLoadingCount) this.findServer(nextServerId).ensureLoaded(modelId);
        }
    }

    private findServer(serverId: ServerId): BackendServer {
        return this.servers.find(server => server.serverId === serverId) as BackendServer;
    }
}
