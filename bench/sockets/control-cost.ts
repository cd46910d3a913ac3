import { createHostListStandIn, createKeyValueStandIn } from "@skylarkmill/stand-ins";
import { BundleProcess } from "./bundle-process.ts";
import { createCountingProxy } from "./counting-proxy.ts";
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

type Role = "router" | "agent";

interface CostReading {
    readonly processorMs: number;
    readonly storeBytes: number;
    readonly hostsBytes: number;
    readonly peersBytes: number;
    readonly callCount: number;
}

const PEER_KEY = "bench-peer-key";
/** Time after the start until the records are read and the code is compiled, before the measurement. */
const WARM_UP_MS = 15_000;
const WINDOW_MS = 20_000;

/** Measures one real router and one real agent without requests; a fake peer stands for all other members. */
export async function measureControlCost(size: FleetSize): Promise<ControlCost> {
    const [router, agent] = await Promise.all([measureNode("router", size), measureNode("agent", size)]);
    return { size, router, agent };
}

async function measureNode(role: Role, size: FleetSize): Promise<NodeCost> {
    const modelIds = Array.from({ length: size.modelCount }, (_, index) => `model-${index}`);
    const listen = { host: "127.0.0.1", port: 0 };
    const [store, hosts, peer] = await Promise.all([
        createKeyValueStandIn({ listen }),
        createHostListStandIn({ listen }),
        createFakePeer(PEER_KEY, modelIds),
    ]);
    await seedRecords(store.url, size, modelIds);
    const [storeProxy, hostsProxy, peersProxy] = await Promise.all([
        createCountingProxy(store.port),
        createCountingProxy(hosts.port),
        createCountingProxy(peer.port),
    ]);
    hosts.setHosts(createHosts(size, peersProxy.port));
    const node = await new BundleProcess(nodeArgs(role, storeProxy.port, hostsProxy.port), {
        SKYLARKMILL_PEER_KEYS: PEER_KEY,
        SKYLARKMILL_TEAM_TOKENS: "bench=bench-token",
    }).waitUntilListening();
    const read = (): CostReading => ({
        processorMs: node.processorMs(),
        storeBytes: storeProxy.carriedBytes(),
        hostsBytes: hostsProxy.carriedBytes(),
        peersBytes: peersProxy.carriedBytes(),
        callCount: Object.values(store.callCounts()).reduce((total, count) => total + count, 0),
    });
    await sleep(WARM_UP_MS);
    const before = read();
    await sleep(WINDOW_MS);
    const cost = toCost(before, read(), node.residentBytes());
    await node.end();
    await Promise.all([storeProxy, hostsProxy, peersProxy, store, hosts, peer].map(part => part.close()));
    return cost;
}

function toCost(before: CostReading, after: CostReading, residentBytes: number): NodeCost {
    const perSecond = (key: keyof CostReading) => ((after[key] - before[key]) / WINDOW_MS) * 1000;
    return {
        residentMb: residentBytes / 1024 / 1024,
        processorPercent: perSecond("processorMs") / 10,
        peerBytesPerSecond: perSecond("peersBytes"),
        hostListBytesPerSecond: perSecond("hostsBytes"),
        serviceBytesPerSecond: perSecond("storeBytes"),
        serviceCallsPerMinute: perSecond("callCount") * 60,
    };
}

function nodeArgs(role: Role, storePort: number, hostsPort: number): string[] {
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
