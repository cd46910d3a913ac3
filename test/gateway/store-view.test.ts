import {
    type KeyValueEntry,
    type KeyValueStore,
    type RangeResult,
    silentLogger,
    sleep,
} from "@skylarkmill/coordination";
import { StoreView } from "@skylarkmill/gateway";
import { ProtocolError, UnavailableError } from "@skylarkmill/protocol";
import { err, ok, okAsync, ResultAsync } from "neverthrow";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { type ClientFaults, SharedStore } from "./support/shared-store.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function setup() {
    const shared = new SharedStore();
    const faults: ClientFaults = { isDisconnected: false, shouldLoseResponses: false, delayMs: 2 };
    const deleted: { key: string; graceMs: number; }[] = [];
    const put: string[] = [];
    const view = new StoreView({
        store: shared.client(faults),
        logger: silentLogger,
        prefixes: ["servers/", "op/config"],
        getWatchPauseMs: () => 0,
        minExpiryMs: 2_400,
        listener: {
            onPut: entry => put.push(`${entry.key}=${entry.value}`),
            onDelete: (key, graceMs) => deleted.push({ key, graceMs }),
        },
    });
    view.start();
    return { shared, faults, deleted, put, view };
}

describe("deletion of a server entry", () => {
    // Guards against requests to a stopped server: the grace time after an outage started at the removal of its entry,
    // so a server that left 3.3 s after an outage received a request 2.1 s later.
    it.each([
        { name: "without an outage", outageMs: 0, removeAfterMs: 500, minGraceMs: 0, maxGraceMs: 0 },
        {
            name: "half a second after an outage",
            outageMs: 3_000,
            removeAfterMs: 500,
            minGraceMs: 500,
            maxGraceMs: 1_600,
        },
        { name: "3.3 s after an outage", outageMs: 3_000, removeAfterMs: 3_300, minGraceMs: 0, maxGraceMs: 0 },
        // Guards against requests to a stopped server: any failed call counted as an outage, although no entry expires
        // within two heartbeats.
        { name: "after a single failed call", outageMs: 200, removeAfterMs: 0, minGraceMs: 0, maxGraceMs: 0 },
    ])(
        "has a grace time only shortly after an outage: $name",
        async ({ outageMs, removeAfterMs, minGraceMs, maxGraceMs }) => {
            const { shared, faults, deleted, view } = setup();
            shared.put("servers/a", "1");
            await vi.advanceTimersByTimeAsync(500);
            faults.isDisconnected = outageMs > 0;
            await vi.advanceTimersByTimeAsync(outageMs);
            faults.isDisconnected = false;
            await vi.advanceTimersByTimeAsync(500 + removeAfterMs);
            shared.remove("servers/a");
            await vi.advanceTimersByTimeAsync(200);
            expect(deleted).toHaveLength(1);
            expect(deleted[0]!.graceMs).toBeGreaterThanOrEqual(minGraceMs);
            expect(deleted[0]!.graceMs).toBeLessThanOrEqual(maxGraceMs);
            await view.stop();
        },
    );
});

describe("store view of a service that is restored from a copy", () => {
    // Guards against a view whose entries come from before and after the restore, and a silent retry.
    it("reads all keys again if the restore comes between two reads", async () => {
        const generations = [0, 1];
        const store: Pick<KeyValueStore, "range" | "watch"> = {
            range: prefix => {
                const generation = generations.shift() ?? 1;
                const entries = [{ key: `${prefix}a`, value: String(generation), modRevision: 100 * generation + 5 }];
                return okAsync({ entries, revision: 100 * generation + 9, generation });
            },
            async *watch(_prefix, _fromRevision, signal) {
                await sleep(60_000, signal);
                yield [];
            },
        };
        const logged: string[] = [];
        const view = new StoreView({
            store: store as KeyValueStore,
            logger: { ...silentLogger, warn: fields => logged.push((fields as { err: Error; }).err.message) },
            prefixes: ["servers/", "op/config"],
            getWatchPauseMs: () => 0,
            minExpiryMs: 2_400,
            listener: { onPut: () => undefined, onDelete: () => undefined },
        });
        view.start();
        await vi.advanceTimersByTimeAsync(50);
        expect(view.isLoaded).toBe(false);
        await vi.advanceTimersByTimeAsync(500);
        expect(view.snapshot().entries.map(({ value }) => value)).toEqual(["1", "1"]);
        expect(logged).toEqual(["restored between two reads"]);
        await view.stop();
    });
});

describe("store view during an outage", () => {
    // Guards against an outage whose reason changes, of which the log tells the first one only.
    it("logs each kind of failure once", async () => {
        const failures = ["reset 1", "reset 2", "foreign 3", "reset 4", "foreign 5"];
        const store: Pick<KeyValueStore, "range"> = {
            range: () => {
                const error = new UnavailableError(failures.shift() ?? "reset 6", { step: "kv.range", peer: "store" });
                return new ResultAsync(Promise.resolve(err(error)));
            },
        };
        const logged: string[] = [];
        const view = new StoreView({
            store: store as KeyValueStore,
            logger: { ...silentLogger, warn: fields => logged.push((fields as { err: Error; }).err.message) },
            prefixes: ["servers/"],
            getWatchPauseMs: () => 0,
            minExpiryMs: 2_400,
            listener: { onPut: () => undefined, onDelete: () => undefined },
        });
        view.start();
        await vi.advanceTimersByTimeAsync(5_000);
        expect(logged).toEqual(["reset 1", "foreign 3"]);
        await view.stop();
    });

    it("adopts a newer copy of a peer but not an older one", async () => {
        const { shared, faults, put, view } = setup();
        shared.put("op/config", "v1");
        await vi.advanceTimersByTimeAsync(300);
        faults.isDisconnected = true;
        await vi.advanceTimersByTimeAsync(3_000);
        expect(view.isFresh).toBe(false);
        view.adoptSnapshot({ revision: 50, entries: [{ key: "op/config", value: "v2", modRevision: 45 }] });
        view.adoptSnapshot({ revision: 40, entries: [{ key: "op/config", value: "v0", modRevision: 39 }] });
        expect(put).toEqual(["op/config=v1", "op/config=v2"]);
        await view.stop();
    });

    it("reads all keys again after the outage", async () => {
        const { shared, faults, put, deleted, view } = setup();
        shared.put("servers/a", "1");
        shared.put("servers/b", "1");
        await vi.advanceTimersByTimeAsync(300);
        faults.isDisconnected = true;
        shared.remove("servers/a");
        shared.put("servers/b", "2");
        await vi.advanceTimersByTimeAsync(2_000);
        faults.isDisconnected = false;
        await vi.advanceTimersByTimeAsync(1_500);
        expect(put.at(-1)).toBe("servers/b=2");
        expect(deleted.map(({ key }) => key)).toEqual(["servers/a"]);
        await view.stop();
    });
});

/** A service whose responses arrive late, with what was true when they were sent. */
class LateService {
    readonly view: StoreView;
    /** Keys that the view announced, in order. */
    readonly put: string[] = [];
    private readonly entries: readonly KeyValueEntry[] = [
        { key: "op/config", value: "v1", modRevision: 40 },
        { key: "servers/leaving", value: "ready", modRevision: 100 },
    ];

    constructor({ rangeDelayMs, watchDelayMs }: { rangeDelayMs: number; watchDelayMs: number; }) {
        const range = async (prefix: string): Promise<RangeResult> => {
            const entries = this.entries.filter(({ key }) => key.startsWith(prefix));
            await sleep(rangeDelayMs);
            return { revision: 105, entries };
        };
        const store: Pick<KeyValueStore, "range" | "watch"> = {
            range: prefix => new ResultAsync(range(prefix).then(result => ok(result))),
            async *watch(_prefix, _fromRevision, signal) {
                await sleep(watchDelayMs, signal);
                yield [{ kind: "put", entry: { key: "servers/leaving", value: "ready", modRevision: 107 } }];
                await sleep(60_000, signal);
            },
        };
        this.view = new StoreView({
            store: store as KeyValueStore,
            logger: silentLogger,
            prefixes: ["servers/", "op/config"],
            getWatchPauseMs: () => 0,
            minExpiryMs: 2_400,
            listener: { onPut: ({ key }) => void this.put.push(key), onDelete: () => undefined },
        });
    }
}

// Guards against requests to a server that had left: a response that was older than a peer's copy put its entry back,
// and the watch continued after the revision of its deletion.
describe("a deleted entry", () => {
    const removed = [{ key: "servers/leaving", modRevision: 108 }];
    const config = { key: "op/config", value: "v2", modRevision: 109 };
    const changes = { revision: 110, ageMs: 0, isComplete: false, entries: [config], removed };
    const copy = { ...changes, isComplete: true, entries: [config], removed: [] };

    it.each<{ late: "read" | "watch"; source: string; apply: (view: StoreView) => void; }>([
        { late: "read", source: "a peer's changes", apply: view => view.applyChanges(changes) },
        { late: "read", source: "a peer's complete changes", apply: view => view.applyChanges(copy) },
        { late: "read", source: "a peer's copy", apply: view => view.adoptSnapshot(copy) },
        { late: "watch", source: "a peer's changes", apply: view => view.applyChanges(changes) },
        { late: "watch", source: "a peer's copy", apply: view => view.adoptSnapshot(copy) },
    ])("is not put back by a $late that is older than $source", async ({ late, apply }) => {
        const { view, put } = new LateService({ rangeDelayMs: late === "read" ? 300 : 0, watchDelayMs: 300 });
        view.start();
        await vi.advanceTimersByTimeAsync(100);
        apply(view);
        await vi.advanceTimersByTimeAsync(2_000);
        expect(view.getEntry("servers/leaving")).toBeUndefined();
        expect(view.getEntry("op/config")?.value).toBe("v2");
        expect(put.filter(key => key === "servers/leaving")).toHaveLength(late === "read" ? 0 : 1);
        const stopped = view.stop();
        await vi.advanceTimersByTimeAsync(100);
        await stopped;
    });

    it("is put back by a newer copy that has it", async () => {
        const { view } = new LateService({ rangeDelayMs: 0, watchDelayMs: 60_000 });
        view.start();
        await vi.advanceTimersByTimeAsync(100);
        view.applyChanges(changes);
        view.adoptSnapshot({
            revision: 120,
            entries: [config, { ...config, key: "servers/leaving", modRevision: 115 }],
        });
        expect(view.getEntry("servers/leaving")).toBeDefined();
        const stopped = view.stop();
        await vi.advanceTimersByTimeAsync(100);
        await stopped;
    });
});

describe("a watch that breaks", () => {
    const NARROW_LINK_READ_MS = 1_200;

    async function breakWatch(error: Error) {
        const shared = new SharedStore();
        shared.put("op/config", "v1");
        shared.put("servers/leaving", "ready");
        const client = shared.client({ isDisconnected: false, shouldLoseResponses: false, delayMs: 2 });
        let readCount = 0;
        let failure: Error | undefined;
        const view = new StoreView({
            store: {
                ...client,
                range: prefix => {
                    readCount += 1;
                    return new ResultAsync(sleep(NARROW_LINK_READ_MS).then(() => client.range(prefix)));
                },
                async *watch(prefix, fromRevision, signal) {
                    for await (const events of client.watch(prefix, fromRevision, signal)) {
                        const current = failure;
                        failure = undefined;
                        if (current !== undefined) throw current;
                        yield events;
                    }
                },
            },
            logger: silentLogger,
            prefixes: ["servers/", "op/config"],
            getWatchPauseMs: () => 0,
            minExpiryMs: 2_400,
            listener: { onPut: () => undefined, onDelete: () => undefined },
        });
        view.start();
        await vi.advanceTimersByTimeAsync(3 * NARROW_LINK_READ_MS);
        readCount = 0;
        failure = error;
        shared.remove("servers/leaving");
        shared.put("op/config", "v2");
        return { view, countReads: () => readCount };
    }

    async function stop(view: StoreView): Promise<void> {
        const stopped = view.stop();
        await vi.advanceTimersByTimeAsync(3 * NARROW_LINK_READ_MS);
        await stopped;
    }

    // Guards against a copy that grew older by the seconds of a full read each time the watch broke.
    it("continues where it broke, without a full read", async () => {
        const { view, countReads } = await breakWatch(new UnavailableError("reset", { step: "fake", peer: "store" }));
        await vi.advanceTimersByTimeAsync(500);
        expect(view.getEntry("servers/leaving")).toBeUndefined();
        expect(view.getEntry("op/config")?.value).toBe("v2");
        expect(countReads()).toBe(0);
        await stop(view);
    });

    it("is followed by a full read if the changes since then are no longer known", async () => {
        const { view, countReads } = await breakWatch(new ProtocolError("compacted", { step: "fake", peer: "store" }));
        await vi.advanceTimersByTimeAsync(3 * NARROW_LINK_READ_MS);
        expect(view.getEntry("servers/leaving")).toBeUndefined();
        expect(view.getEntry("op/config")?.value).toBe("v2");
        expect(countReads()).toBeGreaterThan(0);
        await stop(view);
    });
});
