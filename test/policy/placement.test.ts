import { createPlacementPolicy, type PlacementModel, type PlacementServer } from "@skylarkmill/policy";
import { type DataCentre, type HostId, type ModelId, type ServerId, type ServiceId, toId } from "@skylarkmill/protocol";
import fc from "fast-check";
import { describe, expect, it } from "vitest";

const SEED = 20_263;

function server(index: number, fields: Partial<PlacementServer> = {}): PlacementServer {
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

function model(index: number, fields: Partial<PlacementModel> = {}): PlacementModel {
    return {
        modelId: toId<ModelId>(`m${index}`),
        serviceId: toId<ServiceId>("assistant"),
        memoryBytes: 20,
        maxReplicas: 1,
        demandPerSecond: 0,
        grantedTo: [],
        ...fields,
    };
}

const grants = fc.uniqueArray(
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
    grantedTo: grants,
});

// Guards against more replicas than decided (a revoked grant still occupies memory), grants on servers that
// drain or are too small, and two grants of one model on one server.
describe.each(["load-anywhere", "locality"] as const)("placement %s", name => {
    it("never exceeds the replica number, counting revoking grants", () => {
        console.log(`seed ${SEED}`);
        const draining = fc.array(fc.boolean(), { minLength: 6, maxLength: 6 });
        fc.assert(
            fc.property(fc.array(modelFields, { maxLength: 12 }), draining, (list, drainingList) => {
                const models = list.map((fields, index) => model(index, fields));
                const servers = drainingList.map((isDraining, index) => server(index, { draining: isDraining }));
                const changes = createPlacementPolicy({ name, seed: SEED }).plan(models, servers);
                for (const item of models) {
                    const own = changes.filter(change => change.modelId === item.modelId);
                    const added = own.filter(change => change.kind === "add").map(change => change.serverId);
                    const all = [...item.grantedTo.map(grant => grant.serverId), ...added];
                    if (added.length > 0) expect(all.length).toBeLessThanOrEqual(item.maxReplicas);
                    expect(new Set(all).size).toBe(all.length);
                    for (const serverId of added) {
                        const target = servers.find(other => other.serverId === serverId);
                        expect(target?.draining).toBe(false);
                        expect(target?.memorySizeBytes).toBeGreaterThanOrEqual(item.memoryBytes);
                    }
                    for (const change of own.filter(other => other.kind === "revoke")) {
                        expect(item.grantedTo).toContainEqual({ serverId: change.serverId, revoking: false });
                    }
                }
            }),
            { seed: SEED },
        );
    });
});

describe("locality placement", () => {
    // Guards against a load from the weight store while a checkpoint lies on a disk.
    it("prefers the server with the checkpoint", () => {
        const locality = new Map([[toId<ModelId>("m0"), "disk" as const]]);
        const changes = createPlacementPolicy().plan([model(0)], [server(0), server(1, { locality }), server(2)]);
        expect(changes.map(change => change.serverId)).toEqual(["s1"]);
    });

    // Guards against a data centre failure that takes every replica of a model.
    it("spreads replicas over data centres", () => {
        const servers = [0, 1, 2, 3, 4, 5].map(index => server(index));
        const changes = createPlacementPolicy().plan([model(0, { maxReplicas: 3 })], servers);
        const used = changes.map(change => servers.find(other => other.serverId === change.serverId)?.dataCentre);
        expect(new Set(used).size).toBe(3);
    });

    // Guards against a burst whose models all load on one server while others have room.
    it("gives first grants of equal models to different servers", () => {
        const models = Array.from({ length: 6 }, (_, index) => model(index, { maxReplicas: 2 }));
        const servers = Array.from({ length: 6 }, (_, index) => server(index));
        const changes = createPlacementPolicy().plan(models, servers);
        const first = models.map(item => changes.find(change => change.modelId === item.modelId)?.serverId);
        expect(new Set(first).size).toBe(6);
    });

    // Guards against grants that stay on a leaving server or beyond a lowered replica number.
    it("revokes on draining servers and beyond the replica number", () => {
        const grant = (index: number) => ({ serverId: toId<ServerId>(`s${index}`), revoking: false });
        const models = [model(0, { maxReplicas: 1, grantedTo: [grant(0), grant(1), grant(2)] })];
        const changes = createPlacementPolicy().plan(models, [server(0, { draining: true }), server(1), server(2)]);
        expect(changes.map(({ kind, serverId }) => `${kind} ${serverId}`)).toEqual(["revoke s0", "revoke s2"]);
    });
});
