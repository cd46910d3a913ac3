import { create } from "@bufbuild/protobuf";
import { type ConfigSection, type GrantRecord, KEYS, parseSection } from "@skylarkmill/config";
import { createPlacementDuty, type PlacementDuty } from "@skylarkmill/control";
import { parseStoredRecord, type RecordStore, type VersionedRecord } from "@skylarkmill/coordination";
import { createPlacementPolicy, type PlacementPolicy } from "@skylarkmill/policy";
import {
    type EditId,
    type ModelId,
    type ProcessId,
    ServerStatusSchema,
    type ServiceId,
    toId,
} from "@skylarkmill/protocol";
import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { type CommitBehaviour, FakeKeyValueStore } from "./fake-key-value-store.ts";
import { createBackendHost, createRecords, FakeMembership, putSection } from "./fixture.ts";

const SEED = Number(process.env["FC_SEED"] ?? 20_261_204);
const RUN_COUNT = Number(process.env["FC_RUNS"] ?? 200);
const GRANTS_KEY = KEYS.grants("m");
const SERVERS = ["a", "b", "c", "d"];
/** Exceeds the time in which the record store tries to read back a write whose response was lost. */
const READ_BACK_MS = 2_000;

const section = (maxReplicas: number): ConfigSection =>
    parseSection({
        team: "t",
        services: { assistant: { kind: "model", models: { m: { memoryBytes: 1, maxReplicas } } } },
    })
        ._unsafeUnwrap();

type Snapshot = ReturnType<FakeKeyValueStore["snapshot"]>;

function readRecord<T>(state: Snapshot, key: string): VersionedRecord<T> | undefined {
    const entry = state.entries.get(key);
    return entry === undefined ? undefined : parseStoredRecord(entry)._unsafeUnwrap() as VersionedRecord<T>;
}

function readGrantRecord(state: Snapshot): GrantRecord | undefined {
    return readRecord<GrantRecord>(state, GRANTS_KEY)?.value;
}

/** Proposes a grant of every model on every server. */
const greedyPolicy: PlacementPolicy = {
    plan: (models, servers) =>
        models.flatMap(({ modelId }) =>
            servers.map(({ serverId }) => ({ modelId, serverId, kind: "add" as const, reason: "greedy" }))
        ),
};

/**
 * Two placement duties, the agents and an operator that share one key-value service. The test delays the calls to
 * the service and releases them one by one.
 */
class GrantSimulation {
    readonly store = new FakeKeyValueStore();
    readonly membership = new FakeMembership();
    readonly violations: string[] = [];
    decidedReplicas = 0;
    readonly pendingCalls: ((behaviour: CommitBehaviour) => void)[] = [];
    private readonly editor = createRecords(this.store, "operator");
    private readonly agents = createRecords(this.store, "agents");
    private readonly duties: PlacementDuty[] = [];
    private readonly dutyRecords: RecordStore[] = [];
    private readonly runningTasks = new Set<Promise<unknown>>();
    private readonly taskByName = new Map<string, Promise<unknown>>();
    private readonly decidedByVersion = new Map<number, number>();

    async start(): Promise<void> {
        this.membership.entries = SERVERS.map(name => createBackendHost(name));
        this.store.onApplied = (before, after) => {
            this.recordDecision(after);
            this.checkGrantChange(
                readGrantRecord(before),
                readGrantRecord(after),
                readRecord(after, GRANTS_KEY)?.editId ?? "",
            );
        };
        await this.setReplicas(2);
        for (const name of ["router-1", "router-2"]) await this.addDuty(name);
        await this.agents.records.refresh();
        this.store.beforeCall = () => new Promise(resolve => this.pendingCalls.push(resolve));
    }

    /** Adds a placement duty; the second one proposes grants regardless of the rules. */
    private async addDuty(name: string): Promise<void> {
        const status = create(ServerStatusSchema, { memorySizeBytes: 10n, acceptsLoads: true, models: [] });
        const { records, config } = createRecords(this.store, name);
        await records.refresh();
        this.dutyRecords.push(records);
        this.duties.push(createPlacementDuty({
            processId: toId<ProcessId>(name),
            records,
            config,
            store: this.store,
            membership: this.membership,
            policy: name === "router-1" ? createPlacementPolicy() : greedyPolicy,
            serverStatuses: () => new Map(this.membership.entries.map(host => [host.serverId!, status])),
            lease: { isHeld: true, start: () => undefined, stop: async () => undefined },
        }));
    }

    private recordDecision(state: Snapshot): void {
        const record = readRecord<ConfigSection>(state, KEYS.config("main"));
        const service = record?.value?.services[toId<ServiceId>("assistant")];
        if (record === undefined || service?.kind !== "model") return;
        this.decidedReplicas = service.models[toId<ModelId>("m")]!.maxReplicas;
        this.decidedByVersion.set(record.version, this.decidedReplicas);
    }

    /** Checks that a change of the grants follows the rules, regardless of which process wrote it. */
    private checkGrantChange(before: GrantRecord | undefined, after: GrantRecord | undefined, editId: string): void {
        const [old, current] = [before?.grants ?? [], after?.grants ?? []];
        const added = current.filter(grant => !old.some(other => other.grantId === grant.grantId));
        const removed = old.filter(grant => !current.some(other => other.grantId === grant.grantId));
        const decided = after?.decided;
        if (added.length > 0 && current.length > (decided?.replicas ?? 0)) {
            this.violations.push("a grant was added beyond the decided number of replicas");
        }
        if (decided !== undefined && this.decidedByVersion.get(decided.sectionVersion) !== decided.replicas) {
            this.violations.push("the decided number of replicas differs from the configured one");
        }
        if ((decided?.sectionVersion ?? 0) < (before?.decided?.sectionVersion ?? 0)) {
            this.violations.push("a decision was replaced by one from an older section version");
        }
        const isRemovedByAgent = editId.startsWith("remove-") && removed.every(grant => grant.revoking);
        if (removed.some(grant => !isRemovedByAgent && !this.membership.gone.has(grant.hostId))) {
            this.violations.push(
                "a grant on a host that is not gone was removed by a process other than its agent, or was not revoked first",
            );
        }
        if (new Set(current.map(grant => grant.serverId)).size !== current.length) {
            this.violations.push("two grants for the same server");
        }
    }

    /** Starts a task unless one of the same name is running, since a process runs one such task at a time. */
    startTask(name: string, task: () => Promise<unknown>): void {
        if (this.taskByName.has(name)) return;
        // A write whose request was lost fails; a later task of the same process repeats it.
        const run = task().catch(() => undefined).finally(() => {
            this.taskByName.delete(name);
            this.runningTasks.delete(run);
        });
        this.taskByName.set(name, run);
        this.runningTasks.add(run);
    }

    startRound(index: number): void {
        this.startTask(`router-${index}`, () => this.duties[index]!.runRound());
    }

    /** Refreshes the records of a duty, which also happens while a call of one of its rounds is delayed. */
    startRefresh(index: number): void {
        this.startTask(`reader-${index}`, async () => this.dutyRecords[index]!.refresh());
    }

    async setReplicas(replicas: number): Promise<void> {
        const { records } = this.editor;
        await records.refresh();
        await putSection(records, "main", section(replicas));
    }

    async removeRevoking(name: string): Promise<void> {
        const { records } = this.agents;
        await records.refresh();
        const record = records.get<GrantRecord>(GRANTS_KEY);
        const own = record?.value?.grants.find(grant => grant.serverId === `server-${name}` && grant.revoking);
        if (record?.value === undefined || own === undefined) return;
        const value = { ...record.value, grants: record.value.grants.filter(grant => grant !== own) };
        await records.write({
            key: GRANTS_KEY,
            expectedVersion: record.version,
            value,
            editId: toId<EditId>(`remove-${own.grantId}`),
        });
    }

    /** Releases one delayed call and runs everything that follows from it until the next call. */
    async releaseCall(index: number, behaviour: CommitBehaviour): Promise<void> {
        const [call] = this.pendingCalls.splice(index % Math.max(1, this.pendingCalls.length), 1);
        call?.(behaviour);
        await vi.advanceTimersByTimeAsync(0);
    }

    async releaseAllCalls(): Promise<void> {
        while (this.runningTasks.size > 0) {
            await this.releaseCall(0, "normal");
            await vi.advanceTimersByTimeAsync(READ_BACK_MS);
        }
    }

    /** Runs rounds and removals without faults until the grants have reached their final state. */
    async runToFinalState(): Promise<GrantRecord | undefined> {
        await this.releaseAllCalls();
        this.store.beforeCall = () => Promise.resolve("normal");
        for (let count = 0; count < 3; count += 1) {
            // A record store that has been started refreshes itself.
            for (const records of this.dutyRecords) await records.refresh();
            for (const duty of this.duties) await duty.runRound();
            for (const name of SERVERS) await this.removeRevoking(name);
        }
        for (const duty of this.duties) await duty.runRound();
        return readGrantRecord(this.store.snapshot());
    }
}

const stepArbitrary = fc.oneof(
    { weight: 3, arbitrary: fc.record({ kind: fc.constant("round" as const), index: fc.nat(1) }) },
    { weight: 3, arbitrary: fc.record({ kind: fc.constant("refresh" as const), index: fc.nat(1) }) },
    {
        weight: 16,
        arbitrary: fc.record({
            kind: fc.constant("release" as const),
            index: fc.nat(5),
            behaviour: fc.constantFrom<CommitBehaviour>("normal", "normal", "normal", "lostResponse", "lostRequest"),
        }),
    },
    {
        weight: 2,
        arbitrary: fc.record({ kind: fc.constant("wait" as const), durationMs: fc.constantFrom(100, 500, 1500) }),
    },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("decide" as const), replicas: fc.nat(4) }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("remove" as const), name: fc.constantFrom(...SERVERS) }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("gone" as const), name: fc.constantFrom("c", "d") }) },
);

type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never;

async function runStep(simulation: GrantSimulation, action: Step): Promise<void> {
    switch (action.kind) {
        case "round":
            return simulation.startRound(action.index);
        case "refresh":
            return simulation.startRefresh(action.index);
        case "release":
            return simulation.releaseCall(action.index, action.behaviour);
        case "wait":
            await vi.advanceTimersByTimeAsync(action.durationMs);
            return;
        case "decide":
            return simulation.startTask("operator", () => simulation.setReplicas(action.replicas));
        case "remove":
            return simulation.startTask("agents", () => simulation.removeRevoking(action.name));
        case "gone":
            simulation.membership.gone.add(`host-${action.name}`);
    }
}

// Guards against more replicas than decided when placement duties race, are suspended for long, or lose responses.
describe("grants under random interleavings", () => {
    beforeEach(() => vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout"] }));
    afterEach(() => vi.useRealTimers());

    it(`are never added beyond the decided number of replicas and finally reach it (seed ${SEED})`, async () => {
        await fc.assert(
            fc.asyncProperty(fc.array(stepArbitrary, { minLength: 40, maxLength: 250 }), async steps => {
                const simulation = new GrantSimulation();
                await simulation.start();
                for (const action of steps) await runStep(simulation, action);
                const record = await simulation.runToFinalState();
                expect(simulation.violations).toEqual([]);
                const live = SERVERS.length - simulation.membership.gone.size;
                const grants = record?.grants ?? [];
                expect(grants).toHaveLength(Math.min(live, simulation.decidedReplicas));
                expect(grants.filter(grant => grant.revoking)).toEqual([]);
            }),
            { seed: SEED, numRuns: RUN_COUNT },
        );
    });
});
