import { createPlacementPolicy, type PlacementModel, type PlacementServer } from "@skylarkmill/policy";
import { type DataCentre, type HostId, type ModelId, type ServerId, type ServiceId, toId } from "@skylarkmill/protocol";
import fc from "fast-check";
import { describe, expect, it } from "vitest";

const SEED = 20_263;

function createServer(index: number, fields: Partial<PlacementServer> = {}): PlacementServer {
    return {
        serverId: toId<ServerId>(`s${index}`),
        hostId: toId<HostId>(`h${index}`),
        dataCentre: toId<DataCentre>(`dc${index % 3}`),
        memorySizeBytes: 80,
        draining: false,
        locality: new Map(),
        ...fields,
    };
}

function createModel(index: number, fields: Partial<PlacementModel> = {}): PlacementModel {
    return {
        modelId: toId<ModelId>(`m${index}`),
        serviceId: toId<ServiceId>("assistant"),
        memoryBytes: 20,
        maxReplicas: 1,
        demandPerSecond: 0,
        grants: [],
        ...fields,
    };
}

const modelGrants = fc.uniqueArray(
    fc.record({
        serverId: fc.integer({ min: 0, max: 7 }).map(index => toId<ServerId>(`s${index}`)),
        revoking: fc.boolean(),
    }),
    { selector: grant => grant.serverId, maxLength: 4 },
);
const modelFields = fc.record({
    memoryBytes: fc.integer({ min: 1, max: 120 }),
    maxReplicas: fc.integer({ min: 0, max: 5 }),
    demandPerSecond: fc.double({ min: 0, max: 50, noNaN: true }),
    grants: modelGrants,
});

// Guards against more grants than `maxReplicas` (a grant being revoked still uses memory), grants on servers that drain
// or have too little memory, and two grants of one model on one server.
describe.each(["load-anywhere", "locality"] as const)("placement %s", name => {
    it("never adds grants beyond the maximum, counting those being revoked", () => {
        console.log(`seed ${SEED}`);
        const draining = fc.array(fc.boolean(), { minLength: 6, maxLength: 6 });
        fc.assert(
            fc.property(fc.array(modelFields, { maxLength: 12 }), draining, (list, drainingList) => {
                const models = list.map((fields, index) => createModel(index, fields));
                const servers = drainingList.map((isDraining, index) => createServer(index, { draining: isDraining }));
                const changes = createPlacementPolicy({ name, seed: SEED }).plan(models, servers);
                for (const item of models) {
                    const own = changes.filter(change => change.modelId === item.modelId);
                    const added = own.filter(change => change.kind === "add").map(change => change.serverId);
                    const all = [...item.grants.map(grant => grant.serverId), ...added];
                    if (added.length > 0) expect(all.length).toBeLessThanOrEqual(item.maxReplicas);
                    expect(new Set(all).size).toBe(all.length);
                    for (const serverId of added) {
                        const target = servers.find(other => other.serverId === serverId);
                        expect(target?.draining).toBe(false);
                        expect(target?.memorySizeBytes).toBeGreaterThanOrEqual(item.memoryBytes);
                    }
                    for (const change of own.filter(other => other.kind === "revoke")) {
                        expect(item.grants).toContainEqual({ serverId: change.serverId, revoking: false });
                    }
                }
            }),
            { seed: SEED },
        );
    });
});

describe("locality placement", () => {
    // Guards against a load from the weight store while a server has the checkpoint on disk.
    it("prefers the server that has the checkpoint on disk", () => {
        const locality = new Map([[toId<ModelId>("m0"), "disk" as const]]);
        const changes = createPlacementPolicy().plan([createModel(0)], [
            createServer(0),
            createServer(1, { locality }),
            createServer(2),
        ]);
        expect(changes.map(change => change.serverId)).toEqual(["s1"]);
    });

    // Guards against the loss of every replica of a model in one data centre failure.
    it("spreads replicas over data centres", () => {
        const servers = [0, 1, 2, 3, 4, 5].map(index => createServer(index));
        const changes = createPlacementPolicy().plan([createModel(0, { maxReplicas: 3 })], servers);
        const used = changes.map(change => servers.find(other => other.serverId === change.serverId)?.dataCentre);
        expect(new Set(used).size).toBe(3);
    });

    // Guards against a burst that loads all its models on one server while others have free memory.
    it("gives first grants of equal models to different servers", () => {
        const models = Array.from({ length: 6 }, (_, index) => createModel(index, { maxReplicas: 2 }));
        const servers = Array.from({ length: 6 }, (_, index) => createServer(index));
        const changes = createPlacementPolicy().plan(models, servers);
        const first = models.map(item => changes.find(change => change.modelId === item.modelId)?.serverId);
        expect(new Set(first).size).toBe(6);
    });

    // Guards against grants that stay on a draining server or in excess of a lowered `maxReplicas`.
    it("revokes grants on draining servers and in excess of the maximum", () => {
        const createGrant = (index: number) => ({ serverId: toId<ServerId>(`s${index}`), revoking: false });
        const models = [
            createModel(0, { maxReplicas: 1, grants: [createGrant(0), createGrant(1), createGrant(2)] }),
        ];
        const changes = createPlacementPolicy().plan(models, [
            createServer(0, { draining: true }),
            createServer(1),
            createServer(2),
        ]);
        expect(changes.map(({ kind, serverId }) => `${kind} ${serverId}`)).toEqual(["revoke s0", "revoke s2"]);
    });
});
