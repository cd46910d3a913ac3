import { createEtcdKeyValueStore, type EtcdKeyValueStore } from "@skylarkmill/adapters";
import type { KeyValueStore } from "@skylarkmill/coordination";
import { createKeyValueStandIn, type KeyValueStandIn } from "@skylarkmill/stand-ins";
import { afterEach, beforeEach, describe, expect, it } from "vitest";

let kv: KeyValueStandIn;
let store: EtcdKeyValueStore;

beforeEach(async () => {
    kv = await createKeyValueStandIn({ listen: { host: "127.0.0.1", port: 0 } });
    store = createEtcdKeyValueStore({ endpoints: [kv.url], timeoutMs: 200 });
});

afterEach(async () => {
    await store.close();
    await kv.close();
});

function put(key: string, value: string, modRevision: number) {
    return store.commit({ compare: [{ key, modRevision }], puts: [{ key, value }], readOnFailure: [key] });
}

// Guards against two concurrent writers that both succeed for the same compared revision.
it("commits only if the compared revision is current, and otherwise returns the stored entry", async () => {
    const first = (await put("/a", "1", 0))._unsafeUnwrap();
    const second = (await put("/a", "2", 0))._unsafeUnwrap();
    const third = (await put("/a", "3", first.revision))._unsafeUnwrap();
    expect([first.succeeded, second.succeeded, third.succeeded]).toEqual([true, false, true]);
    expect(second.entries).toEqual([{ key: "/a", value: "1", modRevision: first.revision }]);
});

// Guards against keys lost between two pages of a range, and against keys outside the prefix.
it("reads all keys of a range that spans several pages, up to the limit", async () => {
    const paged = createEtcdKeyValueStore({ endpoints: [kv.url], pageSize: 7 });
    const keys = Array.from({ length: 30 }, (_, index) => `/p/${String(index).padStart(2, "0")}`);
    for (const key of [...keys, "/o", "/p0", "/q"]) await put(key, key, 0);
    const all = (await paged.range("/p/"))._unsafeUnwrap();
    expect(all.entries.map(entry => entry.key)).toEqual(keys);
    expect((await paged.range("/p/", { limit: 9 }))._unsafeUnwrap().entries).toHaveLength(9);
    await paged.close();
});

type Operation = (store: KeyValueStore) => Promise<unknown>;

// Guards against reporting a write as failed although it may have taken effect, or the reverse.
describe("errors", () => {
    const commit: Operation = async s => await s.commit({ compare: [], puts: [{ key: "/w", value: "1" }] });
    const get: Operation = async s => await s.get("/w");
    const cases = [
        {
            name: "a write while the service drops connections",
            faults: { outage: "refuse" },
            run: commit,
            code: "outcome_unknown",
        },
        {
            name: "a write while the service does not respond",
            faults: { outage: "hang" },
            run: commit,
            code: "outcome_unknown",
        },
        { name: "a write without a leader", faults: { outage: "unavailable" }, run: commit, code: "unavailable" },
        { name: "a write whose response is lost", faults: { loseAnswers: 1 }, run: commit, code: "outcome_unknown" },
        {
            name: "a write that is applied late",
            faults: { lateWrites: 1, lateWriteMs: 1 },
            run: commit,
            code: "outcome_unknown",
        },
        {
            name: "a read while the service drops connections",
            faults: { outage: "refuse" },
            run: get,
            code: "unavailable",
        },
        {
            name: "a read while the service does not respond",
            faults: { outage: "hang" },
            run: get,
            code: "unavailable",
        },
    ] as const;
    it.each(cases)("returns $code for $name", async ({ faults, run, code }) => {
        kv.setFaults(faults);
        expect(await run(store)).toMatchObject({ error: { code } });
    });

    it("returns unavailable for a write to a closed port, and fails over to the next endpoint", async () => {
        const other = await createKeyValueStandIn({ listen: { host: "127.0.0.1", port: 0 } });
        const both = createEtcdKeyValueStore({ endpoints: [other.url, kv.url] });
        await other.close();
        const alone = createEtcdKeyValueStore({ endpoints: [other.url] });
        expect(await commit(alone)).toMatchObject({ error: { code: "unavailable" } });
        expect(await commit(both)).toMatchObject({ value: { succeeded: true } });
        await Promise.all([alone.close(), both.close()]);
    });

    it("applies a write whose response is lost", async () => {
        kv.setFaults({ loseAnswers: 1 });
        await put("/lost", "1", 0);
        expect((await store.get("/lost"))._unsafeUnwrap()?.value).toBe("1");
    });
});

// Guards against a holder that continues after its lease has ended, because the renewal doesn't report the end.
it("deletes the keys of a lease that is revoked, and reports it as ended", async () => {
    const lease = (await store.grantLease(5000))._unsafeUnwrap();
    await store.commit({ compare: [], puts: [{ key: "/l", value: "1", leaseId: lease.leaseId }] });
    expect((await store.keepLeaseAlive(lease.leaseId))._unsafeUnwrap()).toMatchObject({ ttlMs: 5000 });
    await store.revokeLease(lease.leaseId);
    expect((await store.get("/l"))._unsafeUnwrap()).toBeUndefined();
    expect((await store.keepLeaseAlive(lease.leaseId))._unsafeUnwrap()).toBeUndefined();
});

describe("watch", () => {
    // Guards against events lost between a range read and the start of the watch that follows it.
    it("yields earlier and later events in order, and ends when the signal aborts", async () => {
        const { revision } = (await put("/w/1", "a", 0))._unsafeUnwrap();
        const abort = new AbortController();
        const seen: string[] = [];
        for await (const events of store.watch("/w/", revision, abort.signal)) {
            for (const { kind, entry } of events) seen.push(`${kind} ${entry.key} ${entry.value}`);
            if (seen.length === 1) await put("/w/2", "b", 0);
            if (seen.length === 2) await store.commit({ compare: [], puts: [], deletes: ["/w/1"] });
            if (seen.length === 3) abort.abort();
        }
        expect(seen).toEqual(["put /w/1 a", "put /w/2 b", "delete /w/1 "]);
    });

    // Guards against a reader that waits forever on a watch whose connection has closed.
    it("throws an unavailable error when the stream fails", async () => {
        const { revision } = (await put("/w/1", "a", 0))._unsafeUnwrap();
        const read = async (): Promise<void> => {
            for await (const _ of store.watch("/w/", revision, new AbortController().signal)) {
                kv.setFaults({ outage: "refuse" });
            }
        };
        await expect(read()).rejects.toMatchObject({ code: "unavailable" });
    });
});

// Guards against a stand-in restore that only restarts the service: the older data and its older revision must return.
it("reads the data of the snapshot after a restore", async () => {
    const first = (await put("/r", "old", 0))._unsafeUnwrap();
    const control = (path: string) => fetch(`${kv.url}/control/${path}`, { method: "POST", body: "{}" });
    await control("snapshot");
    await put("/r", "new", first.revision);
    await control("restore");
    expect((await store.get("/r"))._unsafeUnwrap()).toMatchObject({ value: "old", modRevision: first.revision });
});
