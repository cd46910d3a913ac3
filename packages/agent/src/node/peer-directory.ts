import type { HostEntry, Membership } from "@skylarkmill/adapters";
import {
    createPeerClient,
    type PeerClient,
    type PermitBrokerPeer,
    type PermitKind,
    rankByRendezvous,
    type RecordPeer,
} from "@skylarkmill/coordination";
import { type HostId, type ProcessId, toId } from "@skylarkmill/protocol";

export interface PeerDirectoryOptions {
    readonly hostId: HostId;
    readonly membership: Membership;
    readonly peerKeys: () => readonly string[];
}

/** Provides clients for the peers in the host list. */
export class PeerDirectory {
    private readonly clients = new Map<string, PeerClient>();
    private hasExchanged = false;

    constructor(private readonly options: PeerDirectoryOptions) {}

    /** Whether an exchange of records with a router has succeeded. */
    get hasExchangedWithRouter(): boolean {
        return this.hasExchanged;
    }

    /** Requires another exchange of records with a router. */
    requireNewExchange(): void {
        this.hasExchanged = false;
    }

    liveRouters(): readonly HostEntry[] {
        return this.livePeers().filter(host => host.role === "router");
    }

    /** Number of live backend servers of all services, including this one. */
    liveBackendCount(): number {
        return this.options.membership.hosts().filter(host => host.role === "backend" && host.state === "live").length;
    }

    /** Peers to exchange records with. Only routers until one has exchanged: all agents may hold outdated records. */
    recordPeers(): readonly RecordPeer[] {
        this.closeUnlistedClients();
        const routers = this.liveRouters();
        const hosts = routers.length > 0 && !this.hasExchanged ? routers : this.livePeers();
        return hosts.map(host => this.createRecordPeer(host));
    }

    /** The router that grants permits of a kind, chosen by rendezvous hashing. */
    permitBroker(kind: PermitKind): PermitBrokerPeer | undefined {
        const routers = this.liveRouters();
        const [holder] = rankByRendezvous(kind, routers.map(router => router.hostId));
        const router = routers.find(candidate => candidate.hostId === holder);
        return router === undefined ? undefined : this.clientFor(router);
    }

    close(): void {
        for (const client of this.clients.values()) client.close();
        this.clients.clear();
    }

    private livePeers(): readonly HostEntry[] {
        return this.options.membership.hosts().filter(host =>
            host.state === "live" && host.hostId !== this.options.hostId
        );
    }

    private createRecordPeer(host: HostEntry): RecordPeer {
        const client = this.clientFor(host);
        return {
            processId: client.processId,
            push: request => client.push(request),
            exchange: async request => {
                const response = await client.exchange(request);
                if (host.role === "router") this.hasExchanged = true;
                return response;
            },
        };
    }

    private clientFor(host: HostEntry): PeerClient {
        const address = peerAddress(host);
        const existing = this.clients.get(address);
        if (existing !== undefined) return existing;
        const created = createPeerClient({
            processId: toId<ProcessId>(host.hostId),
            address: host.address,
            port: host.peerPort,
            keys: this.options.peerKeys,
        });
        this.clients.set(address, created);
        return created;
    }

    private closeUnlistedClients(): void {
        const listed = new Set(this.options.membership.hosts().map(peerAddress));
        for (const [address, client] of this.clients) {
            if (listed.has(address)) continue;
            client.close();
            this.clients.delete(address);
        }
    }
}

function peerAddress(host: HostEntry): string {
    return `${host.address}:${host.peerPort}`;
}
