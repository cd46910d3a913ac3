import { createEtcdKeyValueStore } from "@skylarkmill/adapters";
import type { KeyValueStore, WatchEvent } from "@skylarkmill/coordination";
import { PlatformStore } from "@skylarkmill/platform";
import { createKeyValueStandIn } from "@skylarkmill/stand-ins";
import { afterEach, describe, expect, it } from "vitest";
import { SharedStore } from "../gateway/support/shared-store.ts";
import { PlatformStoreStandIn } from "../platform/stand-ins/platform-store.ts";
import { MemoryKeyValueStore } from "../support/memory-key-value-store.ts";

interface OpenedStore {
    readonly store: KeyValueStore;
    /** Makes the next write take effect without a response. */
    loseNextResponse(): void;
    setUnavailable(isDown: boolean): void;
    close(): Promise<void>;
}

const STORE_KINDS: readonly { readonly name: string; readonly open: () => Promise<OpenedStore>; }[] = [
    {
        name: "etcd's JSON gateway",
        open: async () => {
            const service = await createKeyValueStandIn({ listen: { host: "127.0.0.1", port: 0 } });
            const store = createEtcdKeyValueStore({ endpoints: [service.url], timeoutMs: 300 });
            return {
                store,
                loseNextResponse: () => service.setFaults({ loseAnswers: 1 }),
                setUnavailable: isDown => service.setFaults({ outage: isDown ? "unavailable" : "none" }),
                close: async () => {
                    await store.close();
                    await service.close();
                },
            };
        },
    },
    {
        name: "the platform's service",
        open: async () => {
            const service = await PlatformStoreStandIn.start();
            const store = new PlatformStore({ address: service.address });
            return {
                store,
                loseNextResponse: () => void (service.lostResponseCount = 1),
                setUnavailable: isDown => void (service.outage = isDown ? "unavailable" : "none"),
                close: async () => {
                    await store.close();
                    await service.close();
                },
            };
        },
    },
    {
        name: "the in-memory store of the tests",
        open: async () => {
            const store = new MemoryKeyValueStore();
            return {
                store,
                loseNextResponse: () => void store.writeFaults.push("lost_response"),
                setUnavailable: isDown => void (store.isDown = isDown),
                close: async () => undefined,
            };
        },
    },
    {
        name: "the shared store of the tests",
        open: async () => {
            const faults = { isDisconnected: false, shouldLoseResponses: false, delayMs: 0 };
            const store = new SharedStore().client(faults);
            return {
                store,
                loseNextResponse: () => void (faults.shouldLoseResponses = true),
                setUnavailable: isDown => void (faults.isDisconnected = isDown),
                close: async () => undefined,
            };
        },
    },
];

// Guards against differences between the key-value stores: each must fulfil the same contract.
describe.each(STORE_KINDS)("$name", ({ open }) => {
    let opened: OpenedStore;

    afterEach(async () => {
        await opened.close();
    });

    async function put(key: string, value: string, modRevision: number, leaseId?: string): Promise<boolean> {
        const write = { key, value, ...(leaseId === undefined ? {} : { leaseId }) };
        const result = await opened.store.commit({ compare: [{ key, modRevision }], puts: [write] });
        return result._unsafeUnwrap().succeeded;
    }

    it("returns no entry for an absent key or an empty range", async () => {
        opened = await open();
        expect((await opened.store.get("/c/none"))._unsafeUnwrap()).toBeUndefined();
        expect((await opened.store.range("/c/"))._unsafeUnwrap().entries).toEqual([]);
    });

    it("commits all writes only if every compared revision matches", async () => {
        opened = await open();
        expect(await put("/c/a", "1", 0)).toBe(true);
        expect(await put("/c/a", "2", 0)).toBe(false);
        const { modRevision } = (await opened.store.get("/c/a"))._unsafeUnwrap()!;
        const both = await opened.store.commit({
            compare: [{ key: "/c/a", modRevision }, { key: "/c/b", modRevision: 9 }],
            puts: [{ key: "/c/a", value: "3" }, { key: "/c/b", value: "3" }],
        });
        expect(both._unsafeUnwrap().succeeded).toBe(false);
        const { entries } = (await opened.store.range("/c/"))._unsafeUnwrap();
        expect(entries.map(({ key, value }) => [key, value])).toEqual([["/c/a", "1"]]);
    });

    it("assigns each commit a higher revision, and that revision to the keys it writes", async () => {
        opened = await open();
        const first = (await opened.store.commit({ compare: [], puts: [{ key: "/c/a", value: "1" }] }))._unsafeUnwrap();
        const second = (await opened.store.commit({ compare: [], puts: [{ key: "/c/b", value: "1" }] }))
            ._unsafeUnwrap();
        expect(second.revision).toBeGreaterThan(first.revision);
        expect((await opened.store.get("/c/b"))._unsafeUnwrap()?.modRevision).toBe(second.revision);
    });

    it("reads all pages of a range in key order", async () => {
        opened = await open();
        const keys = Array.from({ length: 17 }, (_, index) => `/c/${String(index).padStart(2, "0")}`);
        for (const key of keys) await put(key, key, 0);
        await put("/d/x", "x", 0);
        expect((await opened.store.range("/c/"))._unsafeUnwrap().entries.map(entry => entry.key)).toEqual(keys);
    });

    it("deletes the keys of a revoked lease, and refuses to renew it", async () => {
        opened = await open();
        const { leaseId } = (await opened.store.grantLease(5_000))._unsafeUnwrap();
        expect(await put("/c/leased", "1", 0, leaseId)).toBe(true);
        expect((await opened.store.keepLeaseAlive(leaseId))._unsafeUnwrap()).toMatchObject({ leaseId });
        expect((await opened.store.revokeLease(leaseId)).isOk()).toBe(true);
        expect((await opened.store.get("/c/leased"))._unsafeUnwrap()).toBeUndefined();
        expect((await opened.store.keepLeaseAlive(leaseId))._unsafeUnwrap()).toBeUndefined();
    });

    it("reports a lost response as an unknown outcome, and applies the write", async () => {
        opened = await open();
        opened.loseNextResponse();
        const lost = await opened.store.commit({ compare: [], puts: [{ key: "/c/a", value: "1" }] });
        expect(lost._unsafeUnwrapErr().code).toBe("outcome_unknown");
        expect((await opened.store.get("/c/a"))._unsafeUnwrap()?.value).toBe("1");
    });

    it("reports reads and refused writes during an outage as unavailable, and applies no write", async () => {
        opened = await open();
        opened.setUnavailable(true);
        expect((await opened.store.get("/c/a"))._unsafeUnwrapErr().code).toBe("unavailable");
        const write = await opened.store.commit({ compare: [], puts: [{ key: "/c/a", value: "1" }] });
        expect(write._unsafeUnwrapErr().code).toBe("unavailable");
        opened.setUnavailable(false);
        expect((await opened.store.get("/c/a"))._unsafeUnwrap()).toBeUndefined();
    });

    it("yields the changes under a watched prefix in order", async () => {
        opened = await open();
        const { revision } = (await opened.store.range("/c/"))._unsafeUnwrap();
        const watchAbort = new AbortController();
        const seen: WatchEvent[] = [];
        const watching = (async () => {
            for await (const events of opened.store.watch("/c/", revision + 1, watchAbort.signal)) {
                seen.push(...events);
                if (seen.length >= 3) break;
            }
        })();
        // Some stores only report changes made after the watch is open.
        await new Promise(resolve => setTimeout(resolve, 150));
        for (const value of ["1", "2", "3"]) {
            await opened.store.commit({ compare: [], puts: [{ key: "/c/a", value }] });
            await opened.store.commit({ compare: [], puts: [{ key: "/d/a", value }] });
        }
        await watching;
        watchAbort.abort();
        expect(seen.map(({ kind, entry }) => [kind, entry.key, entry.value])).toEqual([
            ["put", "/c/a", "1"],
            ["put", "/c/a", "2"],
            ["put", "/c/a", "3"],
        ]);
    });
});
