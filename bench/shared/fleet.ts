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

/** Names and options of the classes that decide in one run; absent ones are those used in production. */
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
    /** Replaces the generated replica number. */
    readonly replicas?: (index: number, generated: number) => number;
    /** Recent requests per second of each model, as placement knows them. @default 0 */
    readonly demandPerSecond?: (index: number) => number;
}

type Locality = "memory" | "disk" | "remote";

/** Share of the time of a load from the weight store that a load from this place takes. */
const LOAD_SHARE: Readonly<Record<Locality, number>> = { memory: 0.15, disk: 0.5, remote: 1 };

/** Routers, servers and the weight store of one deployment, on one event queue. */
export class Fleet {
    readonly events = new EventQueue();
    readonly outcomes: Outcome[] = [];
    readonly models: readonly ModelSpec[];
    readonly servers: readonly BackendServer[];
    readonly grants = new Map<ModelId, ServerId[]>();
    loadCount = 0;
    private readonly store: WeightStore;
    private readonly routers: readonly BenchRouter[];
    private readonly specs: ReadonlyMap<ModelId, ModelSpec>;
    private readonly nearestPlaces = new Map<ModelId, Locality>();
    private readonly localities = new Map<ServerId, Map<ModelId, Locality>>();
    private readonly reportDelayMs = new Map<ServerId, number>();
    private readonly scaling: ScalingPolicy;

    constructor(readonly deployment: Deployment, private readonly options: FleetOptions) {
        const random = createRandom(options.seed);
        const { policies } = options;
        this.models = generateModels(deployment, random).map((model, index) => ({
            ...model,
            maxReplicas: options.replicas?.(index, model.maxReplicas) ?? model.maxReplicas,
        }));
        this.specs = new Map(this.models.map(model => [model.modelId, model]));
        this.store = new WeightStore(this.events, deployment.loadsInFlight);
        this.scaling = createScalingPolicy(policies.scaling);
        this.servers = Array.from({ length: deployment.engineCount }, (_, index) => this.createServer(index));
        this.placeCheckpoints(random);
        this.placeGrants();
        this.routers = Array.from({ length: deployment.routerCount }, (_, index) => this.createRouter(index));
        for (const server of this.servers) this.publish(server);
        const intervalMs = options.reportIntervalMs ?? 250;
        this.events.every(intervalMs, () => this.servers.forEach(server => this.publish(server)));
        this.events.every(5_000, () => this.servers.forEach(server => server.unloadIdle()));
        this.events.every(500, () => this.scale());
    }

    submit(requests: readonly BenchRequest[]): void {
        for (const request of requests) {
            const router = this.routers[request.routerIndex] as BenchRouter;
            this.events.schedule(request.arrivedAtMs - this.events.nowMs, () => router.submit(request));
        }
    }

    /** Lets every router look at its waiting attempts at this interval, for stragglers and hedges. */
    watchWaiting(intervalMs: number): void {
        this.events.every(intervalMs, () => this.routers.forEach(router => router.watchWaiting()));
    }

    /** Makes a server slow; its reports arrive late meanwhile. */
    setSlowness(index: number, slowness: number, reportDelayMs: number): void {
        const server = this.servers[index] as BackendServer;
        server.setSlowness(slowness);
        this.reportDelayMs.set(server.serverId, reportDelayMs);
    }

    /** Loads the first `replicas` grants of a model before the run. */
    preload(modelId: ModelId, replicas: number): void {
        for (const serverId of this.grants.get(modelId)?.slice(0, replicas) ?? []) {
            this.server(serverId).preload(modelId);
            this.publish(this.server(serverId));
        }
    }

    /** Runs to the end and returns what became of each request. */
    run(endMs: number): readonly Outcome[] {
        this.events.runUntil(endMs);
        this.servers.forEach(server => server.settleIdle());
        this.events.close();
        return this.outcomes;
    }

    /** Duration of a load of the model at a server once it starts, in milliseconds. */
    loadMs(serverId: ServerId, modelId: ModelId): number {
        const locality = this.localities.get(serverId)?.get(modelId) ?? "remote";
        return (this.specs.get(modelId) as ModelSpec).remoteLoadMs * LOAD_SHARE[locality];
    }

    isRemote(serverId: ServerId, modelId: ModelId): boolean {
        return (this.localities.get(serverId)?.get(modelId) ?? "remote") === "remote";
    }

    /** The fastest load of the model on any server, as the checkpoints lay before the run. */
    nearestLoad(modelId: ModelId): { readonly loadMs: number; readonly remote: boolean; } {
        const place = this.nearestPlaces.get(modelId) ?? "remote";
        return {
            loadMs: (this.specs.get(modelId) as ModelSpec).remoteLoadMs * LOAD_SHARE[place],
            remote: place === "remote",
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
            load: (serverId, modelId, done) => this.load(serverId, modelId, done),
            loadMs: (serverId, modelId) => this.loadMs(serverId, modelId),
            changed: server => this.events.schedule(1, () => this.publish(server)),
        });
    }

    private createRouter(index: number): BenchRouter {
        const { deployment, options: { policies, seed } } = this;
        return new BenchRouter(this.events, {
            dataCentre: dataCentreOf(deployment, index),
            crossDataCentreMs: deployment.crossDataCentreMs,
            chooser: createServerChooser({ ...policies.chooser, seed: seed * 31 + index }),
            estimator: createDurationEstimator(policies.estimator),
            detector: createStragglerDetector(policies.detector),
            hedge: createHedgePolicy(policies.hedge),
            retries: createRetryBudget(policies.retries),
            admission: createAdmissionPolicy({ ...policies.admission, seed: seed * 37 + index }),
            servers: this.servers,
            grants: this.grants,
            loadMs: (serverId, modelId) => this.loadMs(serverId, modelId),
            outcome: outcome => this.outcomes.push(outcome),
        });
    }

    /** A third of the models has three copies on disks, a third has one; some are in a host's memory. */
    private placeCheckpoints(random: RandomSource): void {
        for (const server of this.servers) this.localities.set(server.serverId, new Map());
        this.models.forEach((model, index) => {
            const copies = index % 3 === 0 ? 3 : index % 3 === 1 ? 1 : 0;
            for (let copy = 0; copy < copies; copy += 1) {
                const server = this.servers[random.index(this.servers.length)] as BackendServer;
                const locality = random.fraction() < 0.1 ? "memory" : "disk";
                this.localities.get(server.serverId)?.set(model.modelId, locality);
                if (this.nearestPlaces.get(model.modelId) !== "memory") this.nearestPlaces.set(model.modelId, locality);
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

    private load(serverId: ServerId, modelId: ModelId, done: () => void): void {
        this.loadCount += 1;
        const loadMs = this.loadMs(serverId, modelId);
        const finish = () => {
            if (this.isRemote(serverId, modelId)) this.localities.get(serverId)?.set(modelId, "disk");
            done();
        };
        if (this.isRemote(serverId, modelId)) this.store.load(loadMs, finish);
        else this.events.schedule(loadMs, finish);
    }

    private publish(server: BackendServer): void {
        const report = server.report();
        this.events.schedule(this.reportDelayMs.get(server.serverId) ?? 1, () => {
            for (const router of this.routers) router.receive(server.serverId, report);
        });
    }

    /** Loads further replicas where the backlog justifies them, in the order of the grants. */
    private scale(): void {
        const queuedMs = new Map<ModelId, number>();
        for (const server of this.servers) {
            for (const [modelId, ms] of server.queuedMs()) queuedMs.set(modelId, (queuedMs.get(modelId) ?? 0) + ms);
        }
        for (const [modelId, ms] of queuedMs) {
            const holders = this.servers.filter(server => this.grants.get(modelId)?.includes(server.serverId));
            const absent = this.grants.get(modelId)?.find(id => !this.server(id).holds(modelId));
            if (absent === undefined) continue;
            const loadedCount = holders.filter(server => server.holds(modelId)).length;
            const wanted = this.scaling.wantedReplicas({
                loadedCount,
                grantCount: holders.length,
                backlogMs: ms,
                loadMs: this.loadMs(absent, modelId),
                slotCount: this.deployment.slotCount,
            });
            if (wanted > loadedCount) this.server(absent).ensureLoaded(modelId);
        }
    }

    private server(serverId: ServerId): BackendServer {
        return this.servers.find(server => server.serverId === serverId) as BackendServer;
    }
}
