import { type KeyValueStore, silentLogger, sleep } from "@skylarkmill/coordination";
import { type GatewayMember, StoreView, ViewFollower } from "@skylarkmill/gateway";
import { type DataCentre, toId, UnavailableError } from "@skylarkmill/protocol";
import { err, ok } from "neverthrow";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { type ClientFaults, SharedStore } from "./support/shared-store.ts";
import { waitForChange } from "./support/wait-for-change.ts";

const HEARTBEAT_MS = 100;
const PEER_TIMEOUT_MS = 1_100;
const WATCH_PAUSE_MS = 700;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

/** A gateway that reads the copy of the only reader. */
class FollowedReader {
    readonly shared = new SharedStore();
    readonly readerFaults: ClientFaults = { isDisconnected: false, shouldLoseResponses: false, delayMs: 2 };
    isReaderSilent = false;
    readonly readerView: StoreView;
    readonly store: KeyValueStore;
    readonly view: StoreView;
    private readonly follower: ViewFollower;
    private readonly heartbeat: NodeJS.Timeout;

    constructor(noticeMs: number) {
        const dataCentre = toId<DataCentre>("dc");
        const member: GatewayMember = { host: "reader", address: "reader", dataCentre, revision: 1 };
        this.readerView = createView(this.shared.client(this.readerFaults), () => false);
        this.store = this.shared.client({ isDisconnected: false, shouldLoseResponses: false, delayMs: 2 });
        this.view = createView(this.store, () => this.follower.isFollowing);
        this.follower = new ViewFollower({
            view: this.view,
            membership: { listMembers: () => [member] },
            peerClient: {
                fetchViewChanges: async (peer, revision) => {
                    await sleep(2);
                    if (this.readerView.storeRevision <= revision) await waitForChange(this.readerView);
                    if (!this.isReaderSilent) return ok(this.readerView.listChanges(revision));
                    await sleep(PEER_TIMEOUT_MS);
                    return err(new UnavailableError("the peer does not respond", { step: "fake", peer }));
                },
            },
            host: "follower",
            dataCentre,
            noticeMs,
            logger: silentLogger,
        });
        this.shared.put("servers/leaving", "ready");
        this.heartbeat = setInterval(() => this.shared.put("servers/other", String(Date.now())), HEARTBEAT_MS);
    }

    async start(): Promise<void> {
        this.readerView.start();
        this.view.start();
        this.follower.start();
        await vi.advanceTimersByTimeAsync(5_000);
    }

    async stop(): Promise<void> {
        clearInterval(this.heartbeat);
        const stopped = Promise.all([this.readerView.stop(), this.view.stop(), this.follower.stop()]);
        await vi.advanceTimersByTimeAsync(3_000);
        await stopped;
    }
}

function createView(store: KeyValueStore, isFollowingPeer: () => boolean): StoreView {
    return new StoreView({
        store,
        logger: silentLogger,
        prefixes: ["servers/"],
        listener: { onPut: () => undefined, onDelete: () => undefined },
        getWatchPauseMs: () => WATCH_PAUSE_MS,
        minExpiryMs: 2_400,
        isFollowingPeer,
    });
}

describe("a gateway that reads a reader's copy", () => {
    // Guards against requests to a server that had left: the age up to which a copy was used and the time until the
    // service was read instead added up to 3.5 s, whatever the notice time.
    it.each([
        { noticeMs: 2_000, fault: "loses the key-value service" },
        { noticeMs: 2_000, fault: "is silent" },
        { noticeMs: 3_000, fault: "loses the key-value service" },
        { noticeMs: 3_000, fault: "is silent" },
    ])("learns of a removed server within $noticeMs ms when its reader $fault", async ({ noticeMs, fault }) => {
        const gateways = new FollowedReader(noticeMs);
        await gateways.start();
        expect(gateways.view.getEntry("servers/leaving")).toBeDefined();
        while (gateways.readerView.sinceLastResponseMs > 5) await vi.advanceTimersByTimeAsync(1);
        if (fault === "is silent") gateways.isReaderSilent = true;
        else gateways.readerFaults.isDisconnected = true;
        gateways.shared.remove("servers/leaving");
        await vi.advanceTimersByTimeAsync(noticeMs);
        expect(gateways.view.getEntry("servers/leaving")).toBeUndefined();
        await gateways.stop();
    });

    it("does not read the service while its reader responds", async () => {
        const gateways = new FollowedReader(2_000);
        await gateways.start();
        const calls = [vi.spyOn(gateways.store, "range"), vi.spyOn(gateways.store, "watch")];
        await vi.advanceTimersByTimeAsync(10_000);
        for (const call of calls) expect(call).not.toHaveBeenCalled();
        await gateways.stop();
    });
});
