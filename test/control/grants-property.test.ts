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
import { type CommitFate, FakeKeyValueStore } from "./fake-key-value-store.ts";
import { backendHost, createRecords, FakeMembership, putSection } from "./fixture.ts";

const SEED = Number(process.env["FC_SEED"] ?? 20_261_204);
const RUNS = Number(process.env["FC_RUNS"] ?? 200);
const KEY = KEYS.grants("m");
const SERVERS = ["a", "b", "c", "d"];
/** Longer than all attempts of the record store to read a lost answer back. */
const SETTLE_MS = 2_000;

const section = (maxReplicas: number): ConfigSection =>
    parseSection({
        team: "t",
        services: { assistant: { kind: "model", models: { m: { memoryBytes: 1, maxReplicas } } } },
    })
        ._unsafeUnwrap();

type Snapshot = ReturnType<FakeKeyValueStore["snapshot"]>;

function recordIn<T>(state: Snapshot, key: string): VersionedRecord<T> | undefined {
    const entry = state.entries.get(key);
    return entry === undefined ? undefined : parseStoredRecord(entry)._unsafeUnwrap() as VersionedRecord<T>;
}

function grantsIn(state: Snapshot): GrantRecord | undefined {
    return recordIn<GrantRecord>(state, KEY)?.value;
}

/** Asks for a grant of every model on every server. */
const greedyPolicy: PlacementPolicy = {
    plan: (models, servers) =>
        models.flatMap(({ modelId }) =>
            servers.map(({ serverId }) => ({ modelId, serverId, kind: "add" as const, reason: "greedy" }))
        ),
};

/** Two placement duties, agents and an operator over one service whose calls the test lets through one by one. */
class World {
    readonly store = new FakeKeyValueStore();
    readonly membership = new FakeMembership();
    readonly violations: string[] = [];
    decided = 0;
    readonly pending: ((fate: CommitFate) => void)[] = [];
    private readonly editor = createRecords(this.store, "operator");
    private readonly agents = createRecords(this.store, "agents");
    private readonly duties: PlacementDuty[] = [];
    private readonly dutyRecords: RecordStore[] = [];
    private readonly running = new Set<Promise<unknown>>();
    private readonly busy = new Map<string, Promise<unknown>>();
    private readonly decidedOf = new Map<number, number>();

    async start(): Promise<void> {
        this.membership.entries = SERVERS.map(name => backendHost(name));
        this.store.onApplied = (before, after) => {
            this.noteDecision(after);
            this.check(grantsIn(before), grantsIn(after), recordIn(after, KEY)?.editId ?? "");
        };
        await this.decide(2);
        for (const name of ["router-1", "router-2"]) await this.addDuty(name);
        await this.agents.records.refresh();
        this.store.beforeCall = () => new Promise(resolve => this.pending.push(resolve));
    }

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
            lease: { held: true, start: () => undefined, stop: async () => undefined },
        }));
    }

    private noteDecision(state: Snapshot): void {
        const record = recordIn<ConfigSection>(state, KEYS.config("main"));
        const service = record?.value?.services[toId<ServiceId>("assistant")];
        if (record === undefined || service?.kind !== "model") return;
        this.decided = service.models[toId<ModelId>("m")]!.maxReplicas;
        this.decidedOf.set(record.version, this.decided);
    }

    /** Every change of the grants must follow the rules, whoever wrote it. */
    private check(before: GrantRecord | undefined, after: GrantRecord | undefined, editId: string): void {
        const [old, current] = [before?.grants ?? [], after?.grants ?? []];
        const added = current.filter(grant => !old.some(other => other.grantId === grant.grantId));
        const removed = old.filter(grant => !current.some(other => other.grantId === grant.grantId));
        const decided = after?.decided;
        if (added.length > 0 && current.length > (decided?.replicas ?? 0)) this.violations.push("more than decided");
        if (decided !== undefined && this.decidedOf.get(decided.sectionVersion) !== decided.replicas) {
            this.violations.push("decided number is not the configured one");
        }
        if ((decided?.sectionVersion ?? 0) < (before?.decided?.sectionVersion ?? 0)) {
            this.violations.push("older configuration");
        }
        const byHolder = editId.startsWith("remove-") && removed.every(grant => grant.revoking);
        if (removed.some(grant => !byHolder && !this.membership.gone.has(grant.hostId))) {
            this.violations.push("removed without the holder");
        }
        if (new Set(current.map(grant => grant.serverId)).size !== current.length) this.violations.push("two grants");
    }

    /** One task per name at a time, as in one process. */
    launch(name: string, task: () => Promise<unknown>): void {
        if (this.busy.has(name)) return;
        // A write whose request was lost fails; the next step of the task's owner makes up for it.
        const run = task().catch(() => undefined).finally(() => {
            this.busy.delete(name);
            this.running.delete(run);
        });
        this.busy.set(name, run);
        this.running.add(run);
    }

    round(index: number): void {
        this.launch(`router-${index}`, () => this.duties[index]!.runRound());
    }

    /** Background reading, which goes on while a round is held up. */
    refresh(index: number): void {
        this.launch(`reader-${index}`, async () => this.dutyRecords[index]!.refresh());
    }

    async decide(replicas: number): Promise<void> {
        const { records } = this.editor;
        await records.refresh();
        await putSection(records, "main", section(replicas));
    }

    async removeRevoking(name: string): Promise<void> {
        const { records } = this.agents;
        await records.refresh();
        const record = records.get<GrantRecord>(KEY);
        const own = record?.value?.grants.find(grant => grant.serverId === `server-${name}` && grant.revoking);
        if (record?.value === undefined || own === undefined) return;
        const value = { ...record.value, grants: record.value.grants.filter(grant => grant !== own) };
        await records.write({
            key: KEY,
            expectedVersion: record.version,
            value,
            editId: toId<EditId>(`remove-${own.grantId}`),
        });
    }

    /** Lets one held call through and everything that follows from it without another call. */
    async release(index: number, fate: CommitFate): Promise<void> {
        const [call] = this.pending.splice(index % Math.max(1, this.pending.length), 1);
        call?.(fate);
        await vi.advanceTimersByTimeAsync(0);
    }

    async drainCalls(): Promise<void> {
        while (this.running.size > 0) {
            await this.release(0, "normal");
            await vi.advanceTimersByTimeAsync(SETTLE_MS);
        }
    }

    /** Runs rounds and removals without faults until the grants have settled. */
    async settle(): Promise<GrantRecord | undefined> {
        await this.drainCalls();
        this.store.beforeCall = () => Promise.resolve("normal");
        for (let count = 0; count < 3; count += 1) {
            // A started record store does this by itself.
            for (const records of this.dutyRecords) await records.refresh();
            for (const duty of this.duties) await duty.runRound();
            for (const name of SERVERS) await this.removeRevoking(name);
        }
        for (const duty of this.duties) await duty.runRound();
        return grantsIn(this.store.snapshot());
    }
}

const step = fc.oneof(
    { weight: 3, arbitrary: fc.record({ kind: fc.constant("round" as const), index: fc.nat(1) }) },
    { weight: 3, arbitrary: fc.record({ kind: fc.constant("refresh" as const), index: fc.nat(1) }) },
    {
        weight: 16,
        arbitrary: fc.record({
            kind: fc.constant("release" as const),
            index: fc.nat(5),
            fate: fc.constantFrom<CommitFate>("normal", "normal", "normal", "lostAnswer", "lostRequest"),
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

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

async function take(world: World, action: Step): Promise<void> {
    switch (action.kind) {
        case "round":
            return world.round(action.index);
        case "refresh":
            return world.refresh(action.index);
        case "release":
            return world.release(action.index, action.fate);
        case "wait":
            await vi.advanceTimersByTimeAsync(action.durationMs);
            return;
        case "decide":
            return world.launch("operator", () => world.decide(action.replicas));
        case "remove":
            return world.launch("agents", () => world.removeRevoking(action.name));
        case "gone":
            world.membership.gone.add(`host-${action.name}`);
    }
}

// Guards against a replica too many when placements race, pause for long, or lose answers.
describe("grants under random interleavings", () => {
    beforeEach(() => vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout"] }));
    afterEach(() => vi.useRealTimers());

    it(`follow the decisions in every order (seed ${SEED})`, async () => {
        await fc.assert(
            fc.asyncProperty(fc.array(step, { minLength: 40, maxLength: 250 }), async steps => {
                const world = new World();
                await world.start();
                for (const action of steps) await take(world, action);
                const record = await world.settle();
                expect(world.violations).toEqual([]);
                const live = SERVERS.length - world.membership.gone.size;
                const grants = record?.grants ?? [];
                expect(grants).toHaveLength(Math.min(live, world.decided));
                expect(grants.filter(grant => grant.revoking)).toEqual([]);
            }),
            { seed: SEED, numRuns: RUNS },
        );
    });
});
