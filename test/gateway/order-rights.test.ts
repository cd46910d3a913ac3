import { silentLogger } from "@skylarkmill/coordination";
import { GatewayMembership, OrderRights, StoreView } from "@skylarkmill/gateway";
import { type ServerId, toId } from "@skylarkmill/protocol";
import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { seeded } from "../support/seed.ts";
import { type ClientFaults, SharedStore } from "./support/shared-store.ts";

const MIN_HANDOVER_MS = 3_000;
const TICK_MS = 100;
const ENGINES = ["e1", "e2", "e3"].map(id => toId<ServerId>(id));
const MEMBERS = "sm/gateways/";
const RIGHTS = "sm/orders/";

interface Order {
    readonly host: string;
    readonly engine: ServerId;
    readonly token: number;
    readonly atMs: number;
}

/** The components of one gateway that decide whether it may send orders. */
class Host {
    readonly faults: ClientFaults = { isDisconnected: false, shouldLoseResponses: false, delayMs: 2 };
    private view!: StoreView;
    private membership!: GatewayMembership;
    private rights!: OrderRights;
    isRunning = false;

    constructor(
        readonly name: string,
        private readonly shared: SharedStore,
        private readonly enginesCheckFences = false,
    ) {}

    start(): void {
        const { name: host } = this;
        const store = this.shared.client(this.faults);
        const listener = { onPut: () => undefined, onDelete: () => undefined };
        this.view = new StoreView({
            store,
            logger: silentLogger,
            prefixes: ["sm/"],
            listener,
            getWatchPauseMs: () => 0,
            minExpiryMs: 2_400,
        });
        const common = { store, view: this.view, logger: silentLogger, host, address: `${host}:1` };
        const { enginesCheckFences } = this;
        this.membership = new GatewayMembership({ ...common, prefix: MEMBERS, enginesCheckFences });
        this.rights = new OrderRights({
            ...common,
            membership: this.membership,
            prefix: RIGHTS,
            minHandoverMs: MIN_HANDOVER_MS,
            enginesCheckFences,
            listEngines: () => ENGINES,
        });
        for (const part of [this.view, this.membership, this.rights]) part.start();
        this.isRunning = true;
    }

    /** Stops without revoking the lease, like a killed process. */
    kill(): void {
        this.isRunning = false;
        // No call of the killed process reaches the store, so its lease expires.
        this.faults.isDisconnected = true;
        void Promise.all([this.view.stop(), this.rights.stop(), this.membership.stop()]);
    }

    async stop(): Promise<void> {
        this.isRunning = false;
        await Promise.all([this.rights.stop(), this.membership.stop(), this.view.stop()]);
    }

    listPossibleOrders(atMs: number): Order[] {
        if (!this.isRunning) return [];
        return ENGINES.flatMap(engine => {
            const token = this.rights.getFencingToken(engine);
            return token === undefined ? [] : [{ host: this.name, engine, token, atMs }];
        });
    }
}

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

async function runHosts(hosts: readonly Host[], forMs: number, orders: Order[]): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += TICK_MS) {
        await vi.advanceTimersByTimeAsync(TICK_MS);
        for (const host of hosts) orders.push(...host.listPossibleOrders(Date.now()));
    }
}

/** Starts two hosts and waits until they share the engines. */
async function startTwoHosts() {
    const shared = new SharedStore();
    const hosts = ["h1", "h2"].map(name => new Host(name, shared));
    for (const host of hosts) host.start();
    const orders: Order[] = [];
    await runHosts(hosts, 3_000, orders);
    return { shared, hosts, orders };
}

/** Stops all hosts and advances the clock, which calls in progress need to complete. */
async function stopAll(hosts: readonly Host[]): Promise<void> {
    const stopped = Promise.all(hosts.map(host => host.stop()));
    await vi.advanceTimersByTimeAsync(5_000);
    await stopped;
}

/** Checks that tokens for an engine never decrease, and that orders of two hosts are far enough apart. */
function expectSafeHandovers(orders: readonly Order[]): void {
    for (const engine of ENGINES) {
        const own = orders.filter(order => order.engine === engine);
        for (const [index, order] of own.entries()) {
            const before = own[index - 1];
            if (before === undefined) continue;
            expect(order.token).toBeGreaterThanOrEqual(before.token);
            if (order.host !== before.host) {
                expect(order.token).toBeGreaterThan(before.token);
                expect(order.atMs - before.atMs).toBeGreaterThan(MIN_HANDOVER_MS);
            }
        }
    }
}

function holderOf(orders: readonly Order[], engine: ServerId): string | undefined {
    return orders.findLast(order => order.engine === engine)?.host;
}

describe("order rights", () => {
    it("distribute the engines at the start without a handover delay", async () => {
        const shared = new SharedStore();
        const hosts = ["h1", "h2", "h3"].map(name => new Host(name, shared));
        for (const host of hosts) host.start();
        const orders: Order[] = [];
        await runHosts(hosts, 2_500, orders);
        expect(new Set(ENGINES.map(engine => holderOf(orders, engine))).size).toBeGreaterThan(1);
        for (const engine of ENGINES) expect(holderOf(orders, engine)).toBeDefined();
        await stopAll(hosts);
    });

    // Each case: the holder's failure, and the time within which another host, or the same one, sends orders again.
    it.each([
        { name: "is killed", fail: (host: Host) => host.kill(), withinMs: 7_500, sameHost: false },
        {
            name: "is disconnected from the service",
            fail: (host: Host) => void (host.faults.isDisconnected = true),
            withinMs: 7_500,
            sameHost: false,
        },
        { name: "stops", fail: (host: Host) => void host.stop(), withinMs: 6_000, sameHost: false },
        {
            name: "loses its member key",
            fail: (host: Host, shared: SharedStore) => shared.remove(MEMBERS + host.name),
            withinMs: 6_000,
            sameHost: true,
        },
    ])("are handed over if the holder $name", async ({ fail, withinMs }) => {
        const { shared, hosts, orders } = await startTwoHosts();
        const holder = hosts.find(host => host.name === holderOf(orders, ENGINES[0]!))!;
        fail(holder, shared);
        const failedAtMs = Date.now();
        await runHosts(hosts, withinMs, orders);
        const later = orders.filter(order => order.atMs > failedAtMs + 1_500 && order.engine === ENGINES[0]);
        expect(later.length).toBeGreaterThan(0);
        expectSafeHandovers(orders);
        await stopAll(hosts);
    });

    it("return immediately to a host whose process restarts", async () => {
        const shared = new SharedStore();
        const host = new Host("h1", shared);
        host.start();
        const orders: Order[] = [];
        await runHosts([host], 3_000, orders);
        host.kill();
        await vi.advanceTimersByTimeAsync(400);
        const restarted = new Host("h1", shared);
        restarted.start();
        const restartedAtMs = Date.now();
        await runHosts([restarted], 1_000, orders);
        expect(orders.some(order => order.atMs > restartedAtMs)).toBe(true);
        expectSafeHandovers(orders);
        await stopAll([restarted]);
    });

    // Guards against an outage of the service that stops all orders: no gateway could send orders for over eight
    // seconds. Engines that check fencing tokens refuse orders of a former holder, so a holder may continue until it is
    // refused.
    it.each([
        { enginesCheckFences: true, ordersInOutage: true },
        { enginesCheckFences: false, ordersInOutage: false },
    ])(
        "stay valid in an outage only for engines that check fencing tokens: $enginesCheckFences",
        async ({ enginesCheckFences, ordersInOutage }) => {
            const shared = new SharedStore();
            const hosts = ["h1", "h2"].map(name => new Host(name, shared, enginesCheckFences));
            for (const host of hosts) host.start();
            const orders: Order[] = [];
            await runHosts(hosts, 3_000, orders);
            for (const host of hosts) host.faults.isDisconnected = true;
            const disconnectedAtMs = Date.now();
            await runHosts(hosts, 8_000, orders);
            expect(orders.some(order => order.atMs > disconnectedAtMs + 4_000)).toBe(ordersInOutage);
            for (const host of hosts) host.faults.isDisconnected = false;
            const reconnectedAtMs = Date.now();
            await runHosts(hosts, 4_000, orders);
            // The leases have expired during the outage; each host claims its own rights again, with higher tokens.
            expect(orders.some(order => order.atMs > reconnectedAtMs + 2_500)).toBe(true);
            expectSafeHandovers(orders);
            await stopAll(hosts);
        },
    );

    // Guards against two hosts that send orders at the same time: the copy names a holder whose right was taken since.
    it("are not used by a former holder that a restore of the service names", async () => {
        const { shared, hosts, orders } = await startTwoHosts();
        const copy = shared.copyData();
        const former = hosts.find(host => host.name === holderOf(orders, ENGINES[0]!))!;
        former.kill();
        await runHosts(hosts, 7_500, orders);
        expect(holderOf(orders, ENGINES[0]!)).not.toBe(former.name);
        former.faults.isDisconnected = false;
        former.start();
        await runHosts(hosts, 2_000, orders);
        shared.restore(copy);
        const restoredAtMs = Date.now();
        await runHosts(hosts, 6_000, orders);
        expectSafeHandovers(orders);
        for (const engine of ENGINES) {
            expect(orders.some(order => order.engine === engine && order.atMs > restoredAtMs + 1_000)).toBe(true);
        }
        await stopAll(hosts);
    });

    it("stay with their holder after a restore of the service", async () => {
        const { shared, hosts, orders } = await startTwoHosts();
        const copy = shared.copyData();
        await runHosts(hosts, 2_000, orders);
        shared.restore(copy);
        const restoredAtMs = Date.now();
        await runHosts(hosts, 2_000, orders);
        for (const engine of ENGINES) {
            const later = orders.filter(order => order.engine === engine && order.atMs > restoredAtMs + 1_000);
            expect(new Set(later.map(({ host }) => host))).toEqual(new Set([holderOf(orders, engine)]));
            expect(later.length).toBeGreaterThan(0);
        }
        expectSafeHandovers(orders);
        await stopAll(hosts);
    });

    // Guards against two holders of one right under disconnections, lost responses, slow calls, kills, lost keys and
    // restores.
    it("never let two hosts send orders within the minimum handover time", async () => {
        const step = fc.record({
            host: fc.integer({ min: 0, max: 2 }),
            fault: fc.constantFrom(
                "disconnect",
                "loseResponses",
                "slow",
                "kill",
                "deleteMemberKey",
                "copy",
                "restore",
                "recover",
                "recover",
            ),
            forMs: fc.integer({ min: 2, max: 40 }).map(ticks => ticks * TICK_MS),
        });
        await fc.assert(
            fc.asyncProperty(fc.array(step, { minLength: 3, maxLength: 10 }), async steps => {
                const shared = new SharedStore();
                const hosts = ["h1", "h2", "h3"].map(name => new Host(name, shared));
                for (const host of hosts) host.start();
                const orders: Order[] = [];
                await runHosts(hosts, 2_000, orders);
                let copy = shared.copyData();
                for (const { host: index, fault, forMs } of steps) {
                    const host = hosts[index]!;
                    if (fault === "disconnect") host.faults.isDisconnected = true;
                    if (fault === "loseResponses") host.faults.shouldLoseResponses = true;
                    if (fault === "slow") host.faults.delayMs = 280;
                    if (fault === "deleteMemberKey") shared.remove(MEMBERS + host.name);
                    if (fault === "copy") copy = shared.copyData();
                    if (fault === "restore") shared.restore(copy);
                    if (fault === "kill") {
                        host.kill();
                        hosts[index] = new Host(host.name, shared);
                        hosts[index].start();
                    }
                    if (fault === "recover") {
                        Object.assign(host.faults, { isDisconnected: false, shouldLoseResponses: false, delayMs: 2 });
                    }
                    await runHosts(hosts, forMs, orders);
                }
                expectSafeHandovers(orders);
                await stopAll(hosts);
            }),
            seeded<[unknown]>(40) as never,
        );
    }, 60_000);
});
