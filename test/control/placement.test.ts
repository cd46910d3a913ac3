import { create } from "@bufbuild/protobuf";
import type { HostState } from "@skylarkmill/adapters";
import { type GrantRecord, KEYS, parseSection } from "@skylarkmill/config";
import { createPlacementDuty } from "@skylarkmill/control";
import { createPlacementPolicy, type PlacementPolicy } from "@skylarkmill/policy";
import { type ProcessId, type ServerId, ServerStatusSchema, toId } from "@skylarkmill/protocol";
import { describe, expect, it } from "vitest";
import { FakeKeyValueStore } from "./fake-key-value-store.ts";
import { createBackendHost, createRecords, FakeMembership, putSection } from "./fixture.ts";

const createStatus = (draining = false) =>
    create(ServerStatusSchema, { memorySizeBytes: 100n, acceptsLoads: true, draining, models: [] });
const createSection = (maxReplicas: number, models = ["m"]) =>
    parseSection({
        team: "t",
        services: {
            assistant: {
                kind: "model",
                models: Object.fromEntries(models.map(m => [m, { memoryBytes: 1, maxReplicas }])),
            },
        },
    })._unsafeUnwrap();

async function setUp(
    options: { replicas?: number; models?: string[]; policy?: PlacementPolicy; maxWritesPerRound?: number; } = {},
) {
    const store = new FakeKeyValueStore();
    const { records, config } = createRecords(store, "router-1");
    const membership = new FakeMembership();
    membership.entries = ["a", "b", "c"].map(name => createBackendHost(name));
    const statuses = new Map(membership.entries.map(host => [host.serverId!, createStatus()]));
    await putSection(records, "main", createSection(options.replicas ?? 2, options.models));
    (await records.refresh())._unsafeUnwrap();
    const duty = createPlacementDuty({
        processId: toId<ProcessId>("router-1"),
        records,
        store,
        config,
        membership,
        policy: options.policy ?? createPlacementPolicy(),
        serverStatuses: () => statuses,
        ...(options.maxWritesPerRound === undefined ? {} : { maxWritesPerRound: options.maxWritesPerRound }),
        lease: { isHeld: true, start: () => undefined, stop: async () => undefined },
    });
    const grants = (model = "m") =>
        (records.get<GrantRecord>(KEYS.grants(model))?.value?.grants ?? [])
            .map(grant => `${grant.serverId.slice(-1)}${grant.revoking ? " revoking" : ""}`);
    const removeRevoking = async () => {
        const record = records.get<GrantRecord>(KEYS.grants("m"))!;
        const value = { ...record.value!, grants: record.value!.grants.filter(grant => !grant.revoking) };
        const change = { key: record.key, expectedVersion: record.version, value, editId: toId<never>("agent") };
        (await records.write(change))._unsafeUnwrap();
    };
    const setHost = (name: string, state: HostState) => {
        const others = membership.entries.filter(host => host.hostId !== `host-${name}`);
        membership.entries = [...others, createBackendHost(name, state)];
    };
    return { store, records, membership, statuses, duty, grants, removeRevoking, setHost };
}

type Setup = Awaited<ReturnType<typeof setUp>>;

// Guards against grants that remain on leaving hosts, beyond the decided number of replicas, or for models that are
// no longer offered.
describe("placement round", () => {
    const cases: { name: string; change: (setup: Setup) => unknown; after: string[]; final: string[]; }[] = [
        {
            name: "writes nothing when nothing has changed",
            change: () => undefined,
            after: ["a", "b"],
            final: ["a", "b"],
        },
        {
            name: "revokes the grant on a leaving host and adds one elsewhere after the removal",
            change: ({ setHost }) => setHost("a", "leaving"),
            after: ["a revoking", "b"],
            final: ["b", "c"],
        },
        {
            name: "revokes the grant on a host whose agent reports a drain",
            change: ({ statuses }) => statuses.set(toId<ServerId>("server-b"), createStatus(true)),
            after: ["a", "b revoking"],
            final: ["a", "c"],
        },
        {
            name: "revokes the grant on a host with a drain record",
            change: ({ records }) =>
                records.write({ key: KEYS.drain("host-a"), expectedVersion: 0, value: {}, editId: toId<never>("d") }),
            after: ["a revoking", "b"],
            final: ["b", "c"],
        },
        {
            name: "removes the grant on a gone host and adds one elsewhere in the same round",
            change: ({ membership }) => membership.gone.add("host-a"),
            after: ["b", "c"],
            final: ["b", "c"],
        },
        {
            name: "revokes the last grants when the number of replicas is lowered",
            change: ({ records }) => putSection(records, "main", createSection(1)),
            after: ["a", "b revoking"],
            final: ["a"],
        },
        {
            name: "adds grants when the number of replicas is raised",
            change: ({ records }) => putSection(records, "main", createSection(3)),
            after: ["a", "b", "c"],
            final: ["a", "b", "c"],
        },
        {
            name: "revokes all grants of a removed model",
            change: ({ records }) => putSection(records, "main", createSection(1, ["other"])),
            after: ["a revoking", "b revoking"],
            final: [],
        },
        {
            name: "keeps the grant on a host that is missing from the host list but not gone",
            change: ({ membership }) => membership.entries.shift(),
            after: ["a", "b"],
            final: ["a", "b"],
        },
        {
            name: "keeps the grants when the section is invalid",
            change: ({ records }) => putSection(records, "main", { team: 7 }),
            after: ["a", "b"],
            final: ["a", "b"],
        },
    ];
    it.each(cases)("$name", async ({ change, after, final }) => {
        const setup = await setUp();
        await setup.duty.runRound();
        expect(setup.grants()).toEqual(["a", "b"]);
        await change(setup);
        await setup.duty.runRound();
        expect(setup.grants()).toEqual(after);
        if (after.some(grant => grant.endsWith("revoking"))) await setup.removeRevoking();
        await setup.duty.runRound();
        expect(setup.grants()).toEqual(final);
        const commits = setup.store.commitCount;
        await setup.duty.runRound();
        expect(setup.store.commitCount).toBe(commits);
    });

    // Guards against a policy that proposes more grants than decided replicas, or grants on unknown or leaving servers.
    it("enforces the rules against the policy's proposals", async () => {
        const policy: PlacementPolicy = {
            plan: models =>
                models.flatMap(({ modelId }) =>
                    ["a", "x", "a", "b", "c"].map(name => ({
                        modelId,
                        kind: "add" as const,
                        serverId: toId<ServerId>(`server-${name}`),
                        reason: "r",
                    }))
                ),
        };
        const setup = await setUp({ policy });
        setup.setHost("b", "leaving");
        await setup.duty.runRound();
        expect(setup.grants()).toEqual(["a", "c"]);
    });

    // Guards against a burst of writes that delays other requests to the key-value service.
    it("limits the writes of a round and continues in the next one", async () => {
        const setup = await setUp({ replicas: 1, models: ["m", "n", "o"], maxWritesPerRound: 2 });
        expect(await setup.duty.runRound()).toMatchObject({ writtenCount: 2, deferredCount: 1 });
        expect(await setup.duty.runRound()).toMatchObject({ writtenCount: 1, deferredCount: 0 });
    });

    // Guards against a process that resumes with an outdated configuration and overwrites a newer decision.
    it("leaves a record unchanged that was decided by a newer configuration", async () => {
        const setup = await setUp();
        const decided = { replicas: 0, section: "main", sectionVersion: 9 };
        const value = { modelId: "m", grants: [], decided };
        const change = { key: KEYS.grants("m"), expectedVersion: 0, value, editId: toId<never>("newer") };
        (await setup.records.write(change))._unsafeUnwrap();
        expect((await setup.duty.runRound()).writtenCount).toBe(0);
        expect(setup.grants()).toEqual([]);
    });

    // Guards against decisions without an audit entry, and against an audit trail that grows without limit.
    it("audits each decision and keeps a limited number of entries", async () => {
        const setup = await setUp();
        for (let count = 0; count < 60; count += 1) {
            await putSection(setup.records, "main", createSection(count % 2 + 1));
            await setup.duty.runRound();
            await setup.removeRevoking();
        }
        const keys = setup.store.keys(`${KEYS.auditPrefix}grants:m/`);
        expect(keys.length).toBeGreaterThan(20);
        expect(keys.length).toBeLessThanOrEqual(50);
    });

    // Guards against obsolete grants that become valid again, in addition to newer ones, when the key-value service is
    // restored from older data.
    it("continues from the newest record after a restore of older data", async () => {
        const setup = await setUp();
        await setup.duty.runRound();
        const old = setup.store.snapshot();
        setup.setHost("a", "leaving");
        await setup.duty.runRound();
        await setup.removeRevoking();
        await setup.duty.runRound();
        expect(setup.grants()).toEqual(["b", "c"]);
        setup.store.restore(old);
        (await setup.records.refresh())._unsafeUnwrap();
        await setup.duty.runRound();
        expect(setup.grants()).toEqual(["b", "c"]);
        const stored = setup.store.snapshot().entries.get(KEYS.grants("m"))!.value;
        expect(stored).not.toContain("server-a");
    });

    // Guards against an outage of the key-value service that stops the duty permanently or loses grants.
    it("writes nothing while the key-value service is down and continues afterwards", async () => {
        const setup = await setUp();
        setup.store.isDown = true;
        expect((await setup.duty.runRound()).writtenCount).toBe(0);
        setup.store.isDown = false;
        expect((await setup.duty.runRound()).writtenCount).toBe(1);
    });
});
