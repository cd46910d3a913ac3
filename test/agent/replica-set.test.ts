import type { EngineIndex } from "@skylarkmill/adapters";
import type { AgentOptions } from "@skylarkmill/agent";
import { createDurationEstimator, FixedIdleResidency } from "@skylarkmill/policy";
import { type ModelId, type ServiceId, toId } from "@skylarkmill/protocol";
import Logger from "bunyan";
import fc from "fast-check";
import { err, ok } from "neverthrow";
import { describe, expect, it } from "vitest";
import { ReplicaSet } from "../../packages/agent/src/runtime/replica-set.ts";
import type { ModelDemand } from "../../packages/agent/src/types/demand.ts";
import type { Catalog } from "../../packages/agent/src/utils/catalog.ts";
import { resolveAgentOptions } from "../../packages/agent/src/utils/resolve-options.ts";
import { seeded } from "../support/seed.ts";
import { grant, modelSection } from "./fakes/setup.ts";
import { type EngineMessageReceiver, UnreliableEngine } from "./fakes/unreliable-engine.ts";

const MODELS = ["a", "b", "c", "d"].map(name => toId<ModelId>(name));
const SIZE_BYTES = 100;
const SETTLE_MS = 2000;

/** A kind that is listed twice is chosen twice as often. */
const STEP_KINDS = [
    "deliverOrder",
    "deliverOrder",
    "completeOperation",
    "completeOperation",
    "deliverResult",
    "deliverResult",
    "executeRead",
    "deliverReadResult",
    "loseConnection",
    "refuseConnection",
    "failLoad",
    "restartEngine",
    "restartAgent",
    "addDemand",
    "removeDemand",
    "addGrant",
    "revokeGrant",
    "waitSettleTime",
    "readIndex",
    "readIndex",
    "tick",
    "tick",
] as const;

const stepArbitrary = fc.record({ kind: fc.constantFrom(...STEP_KINDS), pick: fc.nat(11) });
type Step = { readonly kind: (typeof STEP_KINDS)[number]; readonly pick: number; };

/** Simulates the replicas of one agent at an engine with unreliable connections, on a clock that the test advances. */
class ReplicaSimulation {
    readonly grants = new Map<ModelId, boolean>();
    readonly demand = new Map<ModelId, ModelDemand>();
    readonly violations: string[] = [];
    readonly engine: UnreliableEngine;
    replicas: ReplicaSet;
    private nowMs = 0;

    constructor(private readonly checksFencing: boolean) {
        this.engine = new UnreliableEngine(SIZE_BYTES, checksFencing, SETTLE_MS, this.createReceiver());
        this.replicas = this.createReplicaSet();
        for (const modelId of MODELS) this.addGrant(modelId);
    }

    applyStep({ kind, pick }: Step): void {
        const modelId = MODELS[pick % MODELS.length]!;
        if (kind === "deliverOrder") this.engine.deliverOrder(pick, this.nowMs);
        else if (kind === "completeOperation") this.engine.completeOperation(pick, false);
        else if (kind === "failLoad") this.engine.completeOperation(pick, true);
        else if (kind === "deliverResult") this.engine.deliverResult(pick);
        else if (kind === "executeRead") this.engine.executeRead(pick);
        else if (kind === "deliverReadResult") this.engine.deliverReadResult(pick);
        else if (kind === "loseConnection") this.engine.loseConnection(pick, this.nowMs);
        else if (kind === "refuseConnection") this.engine.refuseConnection(pick);
        else if (kind === "restartEngine") this.engine.restartEngine();
        else if (kind === "restartAgent") this.restartAgent();
        else if (kind === "addDemand") this.addDemand(modelId);
        else if (kind === "removeDemand") this.demand.delete(modelId);
        else if (kind === "addGrant") this.addGrant(modelId);
        else if (kind === "revokeGrant") this.revoke(modelId);
        else if (kind === "waitSettleTime") this.nowMs += SETTLE_MS;
        else if (kind === "readIndex") this.readIndex();
        else this.tick();
        this.engine.endAbandoned(this.nowMs);
        this.replicas.reconcile(this.demand, this.nowMs);
        this.checkInvariants();
    }

    addDemand(modelId: ModelId): void {
        if (!this.demand.has(modelId)) {
            this.demand.set(modelId, {
                requestCount: 1,
                startedAtMs: this.nowMs,
                requestCountByAdapter: new Map([[toId(`${modelId}-1`), 1]]),
            });
        }
    }

    addGrant(modelId: ModelId): void {
        if (!this.grants.has(modelId)) this.grants.set(modelId, false);
    }

    /** Delivers all pending messages without faults. */
    deliverAll(): void {
        for (let round = 0; round < 60; round += 1) {
            for (
                const kind of [
                    "tick",
                    "deliverOrder",
                    "completeOperation",
                    "deliverResult",
                    "executeRead",
                    "deliverReadResult",
                ] as const
            ) {
                for (let index = 0; index < 6; index += 1) this.applyStep({ kind, pick: 0 });
            }
            this.nowMs += 500;
        }
    }

    private checkInvariants(): void {
        for (const modelId of this.engine.models.keys()) {
            if (!this.grants.has(modelId)) this.violations.push(`${modelId} is in memory without a grant`);
        }
        this.violations.push(...this.engine.violations.splice(0));
    }

    private tick(): void {
        this.nowMs += 100;
        this.replicas.reviewResidency(this.demand, this.nowMs);
        this.replicas.readIndex();
    }

    /** Reads the index without delay. */
    private readIndex(): void {
        this.nowMs += 100;
        const sequence = this.replicas.readIndex();
        this.replicas.applyIndex({ sequence, result: ok(this.engine.currentIndex()) }, this.nowMs);
    }

    private revoke(modelId: ModelId): void {
        if (this.grants.has(modelId)) this.grants.set(modelId, true);
    }

    private restartAgent(): void {
        if (!this.checksFencing) this.nowMs += SETTLE_MS;
        this.engine.restartAgent(this.createReceiver(), this.nowMs);
        this.replicas = this.createReplicaSet();
    }

    private createReplicaSet(): ReplicaSet {
        const { limits } = resolveAgentOptions({ limits: { settleMs: SETTLE_MS } } as AgentOptions);
        const replicas = new ReplicaSet({
            catalog: this.createCatalog(),
            engine: this.engine,
            residency: new FixedIdleResidency(3000),
            durations: createDurationEstimator({ name: "fixed" }),
            limits,
            logger: silentLogger,
            removeGrant: modelId => this.grants.delete(modelId),
            onOrderRefused: () => undefined,
            wakeAfter: () => undefined,
        });
        const sequence = replicas.readIndex();
        replicas.applyIndex({ sequence, result: ok(this.engine.currentIndex()) }, this.nowMs);
        replicas.rules.allowOrders(true);
        return replicas;
    }

    private createReceiver(): EngineMessageReceiver {
        return {
            orderSent: orderId => this.replicas.recordOrderSent(orderId, this.nowMs),
            orderResult: (orderId, result) =>
                this.replicas.applyOrderResult(
                    orderId,
                    result.isOk() ? ok(undefined) : err({ kind: "engine", error: result.error }),
                    this.nowMs,
                ),
            indexRead: (sequence, result) => this.replicas.applyIndex({ sequence, result }, this.nowMs),
        };
    }

    private createCatalog(): Catalog {
        const sizes = {
            a: { memoryBytes: 60 },
            b: { memoryBytes: 50 },
            c: { memoryBytes: 45 },
            d: { memoryBytes: 30 },
        };
        const service = modelSection(sizes).services[toId<ServiceId>("assistant")]!;
        if (service.kind !== "model") throw new Error("unexpected service");
        const inForce = { ...service, checksFencing: this.checksFencing };
        return {
            service: () => inForce,
            model: modelId => inForce.models[modelId],
            requestClass: () => ({ name: "default", priority: 5, timeoutMs: 5000, expectedTokens: 200 }),
            limits: () => ({ loadsPerSecond: 4, maxConcurrentLoads: 4, maxConcurrentAdapterLoads: 32 }),
            problems: () => [],
            ownGrant: modelId => {
                const revoking = this.grants.get(modelId);
                return revoking === undefined ? undefined : { grant: grant("server-1", revoking), position: 0 };
            },
            grantedModels: () => [...this.grants.keys()],
        };
    }
}

const silentLogger = Logger.createLogger({ name: "test", level: Logger.FATAL + 1 });

describe.each([{ checksFencing: true }, { checksFencing: false }])(
    "replicas, fencing: $checksFencing",
    ({ checksFencing }) => {
        // Guards against exceeding the engine's memory, and against models in memory whose grant was removed, after
        // lost, late and refused orders, late index reads and restarts of engine and agent.
        it("never overcommits memory or keeps a model without its grant", () => {
            fc.assert(
                fc.property(fc.array(stepArbitrary, { minLength: 20, maxLength: 120 }), steps => {
                    const simulation = new ReplicaSimulation(checksFencing);
                    for (const next of steps) simulation.applyStep(next);
                    expect(simulation.violations).toEqual([]);
                }),
                seeded(1500),
            );
        });

        // Guards against memory that remains reserved and against loads that never start, after any sequence of faults.
        it("loads a demanded model once the faults end", () => {
            fc.assert(
                fc.property(
                    fc.array(stepArbitrary, { maxLength: 80 }),
                    fc.constantFrom(...MODELS),
                    (steps, modelId) => {
                        const simulation = new ReplicaSimulation(checksFencing);
                        for (const next of steps) simulation.applyStep(next);
                        simulation.demand.clear();
                        simulation.deliverAll();
                        simulation.addGrant(modelId);
                        simulation.addDemand(modelId);
                        simulation.deliverAll();
                        expect(simulation.replicas.isReady(modelId, toId(`${modelId}-1`))).toBe(true);
                        expect(simulation.replicas.ledger.reservedBytes).toBe(simulation.engine.usedBytes);
                        expect(simulation.violations).toEqual([]);
                    },
                ),
                seeded(300),
            );
        });
    },
);

// Guards against an index read that started before an order's result and would undo the result.
it("ignores an index read that started before the last order", () => {
    const index: EngineIndex = { memorySizeBytes: SIZE_BYTES, slotCount: 1, models: [] };
    const simulation = new ReplicaSimulation(false);
    const { replicas } = simulation;
    simulation.addGrant(MODELS[0]!);
    simulation.addDemand(MODELS[0]!);
    const sequence = replicas.readIndex();
    replicas.reconcile(simulation.demand, 1);
    simulation.engine.deliverOrder(0, 1);
    simulation.engine.completeOperation(0, false);
    simulation.engine.deliverResult(0);
    replicas.applyIndex({ sequence, result: ok(index) }, 2);
    expect(replicas.isReady(MODELS[0]!, undefined)).toBe(true);
    expect(replicas.ledger.reservedBytes).toBe(60);
});
