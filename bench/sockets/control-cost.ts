import { createHostListStandIn, createKeyValueStandIn } from "@skylarkmill/stand-ins";
import { BundleProcess } from "./bundle-process.ts";
import { type CountingProxy, createCountingProxy } from "./counting-proxy.ts";
import { createFakePeer } from "./fake-peer.ts";
import { seedRecords } from "./seed-records.ts";

export interface FleetSize {
    readonly routerCount: number;
    readonly agentCount: number;
    readonly modelCount: number;
    readonly adapterCount: number;
}

export interface NodeCost {
    readonly residentMb: number;
    /** Share of one core, in percent. */
    readonly processorPercent: number;
    readonly peerBytesPerSecond: number;
    readonly hostListBytesPerSecond: number;
    readonly serviceBytesPerSecond: number;
    readonly serviceCallsPerMinute: number;
}

export interface ControlCost {
    readonly size: FleetSize;
    readonly router: NodeCost;
    readonly agent: NodeCost;
}

const PEER_KEY = "bench-peer-key";
/** Time after the start until the records are read and connections are open. */
const SETTLE_MS = 5000;
const WINDOW_MS = 10_000;

/** Measures one real router and one real agent without requests; all other members of the fleet are one fake peer. */
export async function measureControlCost(size: FleetSize): Promise<ControlCost> {
    const modelIds = Array.from({ length: size.modelCount }, (_, index) => `model-${index}`);
    const listen = { host: "127.0.0.1", port: 0 };
    const [store, hosts, peer] = await Promise.all([
        createKeyValueStandIn({ listen }),
        createHostListStandIn({ listen }),
        createFakePeer(PEER_KEY, modelIds),
    ]);
    await seedRecords(store.url, size, modelIds);
    hosts.setHosts(createHosts(size, peer.port));
    const router = await measureNode("router", store.port, hosts.port, peer.port, size);
    const agent = await measureNode("agent", store.port, hosts.port, peer.port, size);
    await Promise.all([store.close(), hosts.close(), peer.close()]);
    return { size, router, agent };

    async function measureNode(
        role: "router" | "agent",
        storePort: number,
        hostsPort: number,
        peerPort: number,
        fleet: FleetSize,
    ): Promise<NodeCost> {
        const proxies = await Promise.all([storePort, hostsPort, peerPort].map(createCountingProxy));
        const [toStore, toHosts, toPeers] = proxies as [CountingProxy, CountingProxy, CountingProxy];
        hosts.setHosts(createHosts(fleet, toPeers.port));
        const node = await new BundleProcess(nodeArgs(role, toStore.port, toHosts.port), {
            SKYLARKMILL_PEER_KEYS: PEER_KEY,
            SKYLARKMILL_TEAM_TOKENS: "bench=bench-token",
        }).listening();
        try {
            await sleep(SETTLE_MS);
            const before = read();
            await sleep(WINDOW_MS);
            const after = read();
            const perSecond = (key: "store" | "hosts" | "peers") => ((after[key] - before[key]) / WINDOW_MS) * 1000;
            return {
                residentMb: node.residentBytes() / 1024 / 1024,
                processorPercent: ((after.processorMs - before.processorMs) / WINDOW_MS) * 100,
                peerBytesPerSecond: perSecond("peers"),
                hostListBytesPerSecond: perSecond("hosts"),
                serviceBytesPerSecond: perSecond("store"),
                serviceCallsPerMinute: ((after.calls - before.calls) / WINDOW_MS) * 60_000,
            };
        }
        finally {
            await node.end();
            await Promise.all(proxies.map(proxy => proxy.close()));
        }

        function read() {
            return {
                processorMs: node.processorMs(),
                store: toStore.carriedBytes(),
                hosts: toHosts.carriedBytes(),
                peers: toPeers.carriedBytes(),
                calls: Object.values(store.counts()).reduce((total, count) => total + count, 0),
            };
        }
    }
}

function nodeArgs(role: "router" | "agent", storePort: number, hostsPort: number): string[] {
    const common = [
        role,
        `--host-id=host-measured-${role}`,
        "--data-centre=dc-0",
        `--kv-endpoints=http://127.0.0.1:${storePort}`,
        `--hosts-url=http://127.0.0.1:${hostsPort}/hosts`,
        "--peer-listen=127.0.0.1:0",
    ];
    if (role === "router") return [...common, "--listen=127.0.0.1:0", "--operator-listen=127.0.0.1:0"];
    return [
        ...common,
        "--server-id=ledger-measured",
        "--service-id=parts-ledger",
        "--request-listen=127.0.0.1:0",
        "--backend-url=http://127.0.0.1:9",
        "--backend-kind=plain",
    ];
}

function createHosts(size: FleetSize, peerPort: number) {
    const common = { state: "live" as const, address: "127.0.0.1", peerPort, requestPort: peerPort };
    const dataCentre = (index: number) => `dc-${index % 5}`;
    return [
        ...Array.from({ length: size.routerCount }, (_, index) => ({
            ...common,
            hostId: `host-r-${index}`,
            dataCentre: dataCentre(index),
            role: "router",
        })),
        ...Array.from({ length: size.agentCount }, (_, index) => ({
            ...common,
            hostId: `host-a-${index}`,
            dataCentre: dataCentre(index),
            role: "backend",
            serverId: `server-${index}`,
            serviceId: "assistant",
        })),
    ];
}

function sleep(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}
