import type { HostEntry, Membership } from "@skylarkmill/adapters";
import { createPeerClient, type PeerClient, rankByRendezvous } from "@skylarkmill/coordination";
import type { DataCentre, HostId, ProcessId } from "@skylarkmill/protocol";

/** Number of routers per data centre that watch the key-value service. */
const WATCHERS_PER_DATA_CENTRE = 3;

export interface PeersOptions {
    readonly hostId: HostId;
    readonly dataCentre: DataCentre;
    readonly membership: Membership;
    readonly peerKeys: () => readonly string[];
}

/** Holds a client for each of the other processes of the system, which it reads from the host list. */
export class Peers {
    private readonly options: PeersOptions;
    private readonly clients = new Map<string, PeerClient>();
    private unsubscribe: (() => void) | undefined;

    constructor(options: PeersOptions) {
        this.options = options;
    }

    start(): void {
        this.unsubscribe = this.options.membership.subscribe(() => this.closeUnlistedClients());
    }

    stop(): void {
        this.unsubscribe?.();
        for (const client of this.clients.values()) client.close();
        this.clients.clear();
    }

    /** Returns the clients of all other processes that are not gone. */
    allClients(): readonly PeerClient[] {
        return this.otherHosts().map(host => this.clientOf(host));
    }

    clientOf(host: HostEntry): PeerClient {
        const key = clientKeyOf(host);
        let client = this.clients.get(key);
        if (client === undefined) {
            client = createPeerClient({
                // The host list contains no process ids, so the host id identifies the process here.
                processId: host.hostId as string as ProcessId,
                address: host.address,
                port: host.peerPort,
                keys: this.options.peerKeys,
            });
            this.clients.set(key, client);
        }
        return client;
    }

    /** Returns the other live routers. */
    liveRouters(): readonly HostEntry[] {
        return this.otherHosts().filter(host => host.role === "router" && host.state === "live");
    }

    /** Returns the other routers that may still be running, including leaving ones. */
    listedRouters(): readonly HostEntry[] {
        return this.otherHosts().filter(host => host.role === "router");
    }

    /** This router is the broker that grants permits of this kind. */
    isBroker(kind: string): boolean {
        return rankByRendezvous(kind, this.liveRouterIds())[0] === this.options.hostId;
    }

    /** This router is one of those in its data centre that watch the key-value service. */
    shouldWatchKeyValueService(): boolean {
        const ids = this.liveRouterIds(this.options.dataCentre);
        return rankByRendezvous("reader", ids).slice(0, WATCHERS_PER_DATA_CENTRE).includes(this.options.hostId);
    }

    /** Returns the ids of the live routers and of this router, which the host list may not contain yet. */
    private liveRouterIds(dataCentre?: DataCentre): HostId[] {
        const routers = this.liveRouters().filter(host => dataCentre === undefined || host.dataCentre === dataCentre);
        return [...routers.map(host => host.hostId), this.options.hostId];
    }

    private otherHosts(): readonly HostEntry[] {
        return this.options.membership.hosts()
            .filter(host => host.hostId !== this.options.hostId && host.state !== "gone");
    }

    private closeUnlistedClients(): void {
        const listed = new Set(this.otherHosts().map(clientKeyOf));
        for (const [key, client] of this.clients) {
            if (listed.has(key)) continue;
            this.clients.delete(key);
            client.close();
        }
    }
}

function clientKeyOf(host: HostEntry): string {
    return `${host.hostId} ${host.address}:${host.peerPort}`;
}
