import { sleep, type WatchEvent } from "@skylarkmill/coordination";
import { PlatformStore } from "@skylarkmill/platform";
import { ProtocolError } from "@skylarkmill/protocol";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { eventually } from "../support/eventually.ts";
import { createConfigurationDocument, PlatformFixture } from "./stand-ins/fixture.ts";
import type { PlatformServerStandIn } from "./stand-ins/platform-server.ts";
import { PlatformStoreStandIn } from "./stand-ins/platform-store.ts";

/** Changes that the service loses. */
const LOST_CHANGE_COUNT = 40;
/** Times within which gateways must know a change of the configuration, and that a server leaves. */
const NOTICE_MS = 2_000;
/** Longest time between two writes of a server's entry. */
const HEARTBEAT_MS = 1_200;
/** Time after which the entry of a server that is gone has expired. */
const EXPIRY_MS = 3 * HEARTBEAT_MS + 1_000;
/** Time after the return of the service within which servers have written their entries again. */
const RECOVERY_MS = 2_000;

const cleanups: (() => Promise<unknown>)[] = [];
afterEach(async () => {
    for (const close of cleanups.splice(0).reverse()) await close();
});

describe("the client of a service that was restored from a copy", () => {
    let service: PlatformStoreStandIn;
    let store: PlatformStore;
    let generations: number[];

    beforeEach(async () => {
        service = await PlatformStoreStandIn.start();
        generations = [];
        store = new PlatformStore({
            address: service.address,
            onGeneration: generation => generations.push(generation),
        });
        cleanups.push(() => service.close(), () => store.close());
        service.put("keys/kept", "kept");
    });

    /** Restores a copy after further changes; returns the revision that was known before. */
    async function loseChanges(change: () => unknown = () => undefined): Promise<number> {
        const copy = service.copyData();
        await change();
        service.put("keys/lost", "lost");
        service.advanceTo(copy.revision + LOST_CHANGE_COUNT);
        const before = (await store.range("keys/"))._unsafeUnwrap();
        expect(before.entries.map(({ key }) => key)).toContain("keys/lost");
        service.restore(copy);
        return before.revision;
    }

    // Guards against revisions of one generation that reach into the next one: 400 writes a second make 2^32 in 124 days.
    it("keeps apart the revisions of a service that has seen many writes", async () => {
        service.skipTo(2 ** 33);
        service.put("keys/late", "late");
        const { revision } = (await store.range("keys/"))._unsafeUnwrap();
        expect(revision).toBe(2 ** 33 + 1);
        service.put("keys/later", "later");
        for await (const events of store.watch("keys/", revision + 1, new AbortController().signal)) {
            expect(events.map(({ entry }) => entry.key)).toEqual(["keys/later"]);
            break;
        }
    });

    // Guards against a configuration that is not in force: reads were dropped as those of other calls until the revision
    // had passed the one before the restore.
    it("reads the keys of the copy at once, with higher revisions than before", async () => {
        const revisionBefore = await loseChanges();
        const { entries, revision } = (await store.range("keys/"))._unsafeUnwrap();
        expect(entries.map(({ key }) => key)).toEqual(["keys/kept"]);
        expect(revision).toBeGreaterThan(revisionBefore);
        expect(entries[0]!.modRevision).toBeGreaterThan(revisionBefore);
        expect((await store.get("keys/kept"))._unsafeUnwrap()).toEqual(entries[0]);
        expect(generations).toEqual([0, 1]);
    });

    // Guards against changes that are never learned, since their revisions were given out before.
    it.each([
        { state: "has not reached the revision of", advance: 0 },
        { state: "has passed the revision of", advance: 2 * LOST_CHANGE_COUNT },
    ])("ends a watch if it $state the watch", async ({ advance }) => {
        const copyRevision = service.storeRevision;
        const revisionBefore = await loseChanges();
        service.put("keys/new", "new");
        service.advanceTo(copyRevision + advance);
        const abort = new AbortController();
        const received: WatchEvent[] = [];
        const watch = async (): Promise<void> => {
            for await (const events of store.watch("keys/", revisionBefore + 1, abort.signal)) received.push(...events);
        };
        await expect(watch()).rejects.toThrow(ProtocolError);
        expect(received).toEqual([]);
    });

    it("goes on with a watch from a revision after the restore", async () => {
        await loseChanges();
        const { revision } = (await store.range("keys/"))._unsafeUnwrap();
        const abort = new AbortController();
        service.put("keys/new", "new");
        service.remove("keys/kept");
        const received: WatchEvent[] = [];
        for await (const events of store.watch("keys/", revision + 1, abort.signal)) {
            received.push(...events);
            if (received.length >= 2) break;
        }
        expect(received.map(({ kind, entry }) => `${kind} ${entry.key}`)).toEqual(["put keys/new", "delete keys/kept"]);
        expect(received[1]!.entry.modRevision).toBeGreaterThan(received[0]!.entry.modRevision);
    });

    // Guards against a transaction that succeeds on a state that it doesn't expect, and fencing tokens that go back.
    it("fails a transaction that expects a revision that was given out again", async () => {
        let modRevision = 0;
        await loseChanges(async () => {
            const result = await store.commit({
                compare: [{ key: "keys/claim", modRevision: 0 }],
                puts: [{ key: "keys/claim", value: "mine" }],
            });
            modRevision = result._unsafeUnwrap().revision;
        });
        service.put("keys/claim", "of another process");
        expect((await store.get("keys/claim"))._unsafeUnwrap()?.modRevision).not.toBe(modRevision);
        const claim = { key: "keys/claim", value: "mine again" };
        const stale = await store.commit({ compare: [{ key: claim.key, modRevision }], puts: [claim] });
        expect(stale._unsafeUnwrap().succeeded).toBe(false);
        expect(service.read(claim.key)).toBe("of another process");
        const current = (await store.get(claim.key))._unsafeUnwrap()!.modRevision;
        const next = await store.commit({ compare: [{ key: claim.key, modRevision: current }], puts: [claim] });
        expect(next._unsafeUnwrap().succeeded).toBe(true);
        expect(next._unsafeUnwrap().revision).toBeGreaterThan(modRevision);
    });

    it("doesn't count a transaction as committed whose expectations were of the time before", async () => {
        let modRevision = 0;
        await loseChanges(async () => {
            const result = await store.commit({ compare: [], puts: [{ key: "keys/claim", value: "mine" }] });
            modRevision = result._unsafeUnwrap().revision;
        });
        service.put("keys/claim", "of another process");
        // The first call after the restore: the client doesn't know of it yet.
        const result = await store.commit({
            compare: [{ key: "keys/claim", modRevision }],
            puts: [{ key: "keys/claim", value: "mine again" }],
        });
        expect(result._unsafeUnwrapErr().code).toBe("outcome_unknown");
    });

    // Guards against a process that renews or ends the lease of another one.
    it("takes a lease of the time before as ended, though its id was given out again", async () => {
        let leaseId = "";
        await loseChanges(async () => leaseId = (await store.grantLease(5_000))._unsafeUnwrap().leaseId);
        await store.range("keys/");
        const other = (await store.grantLease(5_000))._unsafeUnwrap().leaseId;
        await store.commit({ compare: [], puts: [{ key: "keys/leased", value: "other", leaseId: other }] });
        const stale = { key: "keys/mine", value: "mine", leaseId };
        expect((await store.commit({ compare: [], puts: [stale] }))._unsafeUnwrap().succeeded).toBe(false);
        expect((await store.keepLeaseAlive(leaseId))._unsafeUnwrap()).toBeUndefined();
        expect((await store.revokeLease(leaseId)).isOk()).toBe(true);
        expect((await store.keepLeaseAlive(other))._unsafeUnwrap()?.leaseId).toBe(other);
        expect(service.keys("keys/leased")).toEqual(["keys/leased"]);
    });

    it("learns from a renewal that its lease is one of the time before", async () => {
        let leaseId = "";
        await loseChanges(async () => leaseId = (await store.grantLease(5_000))._unsafeUnwrap().leaseId);
        const other = new PlatformStore({ address: service.address });
        cleanups.push(() => other.close());
        await other.grantLease(5_000);
        expect((await store.keepLeaseAlive(leaseId))._unsafeUnwrap()).toBeUndefined();
    });
});

// Guards against a statement that can't be read, or one of before the restore, that hides the service's data.
describe("a service that states as its generation", () => {
    const cases: readonly { stated: readonly (string | undefined)[]; generations: readonly number[]; lost: number; }[] =
        [
            { stated: ["0", "0", "1"], generations: [0, 1], lost: 0 },
            { stated: ["7", " 8 ", "9"], generations: [7, 8, 9], lost: 0 },
            { stated: ["2", "1", "2"], generations: [2], lost: 1 },
            { stated: ["2", undefined, "2"], generations: [2], lost: 0 },
            { stated: [undefined, undefined], generations: [], lost: 0 },
            { stated: ["-1", "1.5", "1e3", "", "many", "0x2", "4097", "99999999", "1, 2"], generations: [], lost: 0 },
        ];
    it.each(cases)("$stated is understood", async ({ stated, generations, lost }) => {
        const remaining = [...stated];
        const server = createServer((_request, response) => {
            const header = remaining.shift();
            response.writeHead(200, header === undefined ? {} : { "store-era": header });
            response.end(JSON.stringify({ items: [], store_revision: 5 }));
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const seen: number[] = [];
        const store = new PlatformStore({
            address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
            onGeneration: generation => seen.push(generation),
        });
        cleanups.push(() => new Promise(resolve => server.close(resolve)), () => store.close());
        const results = [];
        for (let count = 0; count < stated.length; count += 1) results.push(await store.range("keys/"));
        expect(seen).toEqual(generations);
        expect(results.filter(result => result.isErr())).toHaveLength(lost);
    });
});

describe.each([
    { state: "is still behind what the gateways know", isAhead: false },
    { state: "has passed what the gateways know", isAhead: true },
])("gateways whose service was restored from a copy and $state", ({ isAhead }) => {
    // Guards against a change that is not in force, and requests to a server that leaves: on the users' day no gateway
    // read a key for 8.5 s after the restore.
    it("learn of changes in time", async () => {
        const fixture = await PlatformFixture.start();
        cleanups.push(() => fixture.close());
        const { store } = fixture;
        const leaving = await fixture.addServer({ id: "d1", service: "desk" });
        await fixture.addServer({ id: "d2", service: "desk" });
        const gateways = [await fixture.addGateway("edge-1"), await fixture.addGateway("edge-2")];
        for (const gateway of gateways) await fixture.waitUntilServerAvailable(gateway, "d2");
        const copy = store.copyData();
        store.put("op/config", createConfigurationDocument(2));
        store.advanceTo(copy.revision + LOST_CHANGE_COUNT);
        const revisionBefore = store.storeRevision;
        for (const gateway of gateways) {
            await eventually("the gateway knows the revision", () => {
                const { storeRevision } = fixture.gateways[gateway]!.gateway.status() as { storeRevision: number; };
                return storeRevision >= revisionBefore || undefined;
            });
        }
        store.outage = "reset";
        await sleep(600);
        store.restore(copy);
        const document = createConfigurationDocument(3);
        (document["routes"] as object[]).push({ ...(document["routes"] as object[])[3], prefix: "/added/" });
        store.put("op/config", document);
        store.put("servers/d1", { ...leaving.toServerRecord(), state: "draining" });
        if (isAhead) store.advanceTo(revisionBefore + LOST_CHANGE_COUNT);
        store.outage = "none";
        await sleep(NOTICE_MS);
        const countBefore = leaving.requests.length;
        for (const gateway of [...gateways, ...gateways, ...gateways]) {
            expect((await fixture.call(gateway, "/added/x", { method: "GET" })).status).toBe(200);
        }
        expect(leaving.requests.length).toBe(countBefore);
    }, 20_000);
});

describe("a server whose entry a restore changed", () => {
    const RESTORE_MS = 600;
    let fixture: PlatformFixture;

    beforeEach(async () => {
        fixture = await PlatformFixture.start();
        cleanups.push(() => fixture.close());
    });

    /** Restores the copy that the service made before `change`. */
    async function restoreBefore(change: () => Promise<unknown>): Promise<void> {
        const { store } = fixture;
        const copy = store.copyData();
        await change();
        store.outage = "reset";
        await sleep(RESTORE_MS);
        store.restore(copy);
        store.outage = "none";
    }

    async function callFor(durationMs: number): Promise<number[]> {
        const statuses: number[] = [];
        for (const endMs = performance.now() + durationMs; performance.now() < endMs;) {
            statuses.push((await fixture.call(0, "/lookup/x", { method: "GET" })).status);
            await sleep(20);
        }
        return statuses;
    }

    // Guards against refusals although servers are there: those that had joined since the copy counted as gone at once.
    it("is used until it has had time to write the entry again", async () => {
        await fixture.addGateway("edge-1");
        await restoreBefore(async () => {
            await fixture.addServer({ id: "d1", service: "desk" });
            await fixture.waitUntilServerAvailable(0, "d1");
        });
        const statuses = await callFor(HEARTBEAT_MS);
        fixture.store.put("servers/d1", fixture.servers[0]!.toServerRecord());
        statuses.push(...await callFor(RECOVERY_MS));
        expect(statuses.filter(status => status !== 200)).toEqual([]);
    }, 20_000);

    it("is not used any more if the entry isn't written again", async () => {
        await fixture.addGateway("edge-1");
        await restoreBefore(async () => {
            await fixture.addServer({ id: "d1", service: "desk" });
            await fixture.waitUntilServerAvailable(0, "d1");
        });
        await sleep(RECOVERY_MS + NOTICE_MS);
        expect((await callFor(100)).every(status => status === 503)).toBe(true);
    }, 20_000);

    // Guards against requests to a server that has left: the copy lists it as ready.
    describe("after it had left", () => {
        let leaving: PlatformServerStandIn;

        beforeEach(async () => {
            await fixture.addServer({ id: "d2", service: "desk" });
            leaving = await fixture.addServer({ id: "d1", service: "desk" });
            await fixture.addGateway("edge-1");
            await fixture.waitUntilServerAvailable(0, "d1");
            await restoreBefore(async () => {
                fixture.store.remove("servers/d1");
                await fixture.waitUntilServerAvailable(0, "d1", false);
            });
            await sleep(RESTORE_MS);
            leaving.requests.length = 0;
        });

        it("gets no request until its entry expires again", async () => {
            await callFor(HEARTBEAT_MS);
            fixture.store.remove("servers/d1");
            await callFor(EXPIRY_MS);
            expect(leaving.requests).toHaveLength(0);
        }, 20_000);

        it("is used once it has written its entry", async () => {
            await callFor(HEARTBEAT_MS);
            expect(leaving.requests).toHaveLength(0);
            fixture.store.put("servers/d1", leaving.toServerRecord());
            await callFor(HEARTBEAT_MS);
            expect(leaving.requests.length).toBeGreaterThan(0);
        }, 20_000);

        it("is used once its entry should have expired", async () => {
            await sleep(EXPIRY_MS);
            await callFor(HEARTBEAT_MS);
            expect(leaving.requests.length).toBeGreaterThan(0);
        }, 20_000);
    });
});
