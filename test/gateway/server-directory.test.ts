import { silentLogger } from "@skylarkmill/coordination";
import { ServerDirectory, type ServerRecord, type ServerStart } from "@skylarkmill/gateway";
import { type DataCentre, type ServerId, type ServiceId, toId } from "@skylarkmill/protocol";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";

const SERVER = toId<ServerId>("d1");
const SERVICE = toId<ServiceId>("desk");
const BORN_AT_MS = 1_000;

const record: ServerRecord = {
    serverId: SERVER,
    serviceId: SERVICE,
    address: { host: "10.0.0.1", port: 80 },
    dataCentre: toId<DataCentre>("dc-1"),
    draining: false,
    bornAtMs: BORN_AT_MS,
    slotCount: 8,
    sequence: 0,
    models: [],
    onDisk: [],
    inMemory: [],
};
const start: ServerStart = { serverId: SERVER, bornAtMs: BORN_AT_MS };

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function isAvailable(directory: ServerDirectory): boolean {
    return directory.listNotDraining(SERVICE).length > 0;
}

// Guards against a server that states that it leaves and is used again because of an older entry or a peer's copy.
describe("a server that states that it leaves", () => {
    const cases: readonly { name: string; play: (directory: ServerDirectory) => void; available: boolean; }[] = [
        { name: "is not used", play: () => undefined, available: false },
        { name: "stays so when its entry is written again", play: d => d.upsert({ ...record }), available: false },
        { name: "stays so after an older copy", play: d => d.upsert({ ...record, bornAtMs: 500 }), available: false },
        {
            name: "stays so when its entry expires in an outage and returns",
            play: d => {
                d.remove(SERVER, "entry removed");
                d.upsert({ ...record });
            },
            available: false,
        },
        {
            name: "stays so when a peer tells of an earlier start",
            play: d => void d.recordLeaving({ ...start, bornAtMs: 500 }),
            available: false,
        },
        {
            name: "is used again after a new start at the same address",
            play: d => d.upsert({ ...record, bornAtMs: 2_000 }),
            available: true,
        },
        {
            name: "is used again although a peer repeats that the earlier start leaves",
            play: d => {
                d.upsert({ ...record, bornAtMs: 2_000 });
                d.recordLeaving(start);
            },
            available: true,
        },
    ];

    it.each(cases)("$name", ({ play, available }) => {
        const directory = new ServerDirectory(silentLogger);
        directory.upsert(record);
        expect(directory.recordLeaving(start)).toBe(true);
        play(directory);
        expect(isAvailable(directory)).toBe(available);
    });

    it("is not used when its entry arrives after a peer's message", () => {
        const directory = new ServerDirectory(silentLogger);
        directory.recordLeaving(start);
        directory.upsert(record);
        expect(isAvailable(directory)).toBe(false);
    });

    it("is told to peers until it starts again", () => {
        const directory = new ServerDirectory(silentLogger);
        directory.upsert(record);
        directory.recordLeaving(start);
        expect(directory.listLeaving()).toEqual([start]);
        directory.upsert({ ...record, bornAtMs: 2_000 });
        expect(directory.listLeaving()).toEqual([]);
    });
});

// Guards against requests to a server within the time for which it wants none from this host.
describe("a server that turns requests away for a time", () => {
    const cases: readonly {
        name: string;
        play: (directory: ServerDirectory) => void;
        /** Time left 1 s after the first hold, which lasts 2 s. */
        holdMs: number;
    }[] = [
        { name: "is on hold until its end", play: () => undefined, holdMs: 1_000 },
        { name: "is on hold no shorter after a shorter one", play: d => d.recordHold(start, 100), holdMs: 1_000 },
        { name: "is on hold longer after a longer one", play: d => d.recordHold(start, 3_000), holdMs: 3_000 },
        { name: "stays so when its entry is written again", play: d => d.upsert({ ...record }), holdMs: 1_000 },
        { name: "stays so after an older copy", play: d => d.upsert({ ...record, bornAtMs: 500 }), holdMs: 1_000 },
        {
            name: "stays so when its entry expires in an outage and returns",
            play: d => {
                d.remove(SERVER, "entry removed");
                d.upsert({ ...record });
            },
            holdMs: 1_000,
        },
        {
            name: "stays so if the longer hold came while its entry was away",
            play: d => {
                d.remove(SERVER, "entry removed");
                d.recordHold(start, 3_000);
                d.upsert({ ...record });
            },
            holdMs: 3_000,
        },
        {
            name: "takes requests after a new start",
            play: d => d.upsert({ ...record, bornAtMs: 2_000 }),
            holdMs: 0,
        },
        {
            name: "takes requests after a new start, though a response of the earlier one comes late",
            play: d => {
                d.upsert({ ...record, bornAtMs: 2_000 });
                d.recordHold(start, 3_000);
            },
            holdMs: 0,
        },
        {
            name: "is on hold again if its new start asks for less",
            play: d => {
                d.upsert({ ...record, bornAtMs: 2_000 });
                d.recordHold({ ...start, bornAtMs: 2_000 }, 500);
            },
            holdMs: 500,
        },
        {
            name: "is on hold for the same time if the wall clock is set back",
            play: () => void vi.setSystemTime(Date.now() - 60_000),
            holdMs: 1_000,
        },
    ];

    it.each(cases)("$name", ({ play, holdMs }) => {
        const directory = new ServerDirectory(silentLogger);
        directory.upsert(record);
        directory.recordHold(start, 2_000);
        vi.advanceTimersByTime(1_000);
        play(directory);
        expect(directory.get(SERVER)!.holdMs(performance.now())).toBe(holdMs);
        vi.advanceTimersByTime(holdMs);
        expect(directory.get(SERVER)!.holdMs(performance.now())).toBe(0);
    });
});
