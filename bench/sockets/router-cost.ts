import { createHostListStandIn, createKeyValueStandIn } from "@skylarkmill/stand-ins";
import { type BenchRow, percentile, roundForReport } from "../bench-measure.ts";
import { BundleProcess } from "./bundle-process.ts";
import { type LoopResult, runClosedLoop } from "./closed-loop.ts";
import { createFakePeer } from "./fake-peer.ts";
import { ScriptProcess } from "./script-process.ts";
import { seedRecords } from "./seed-records.ts";

const SIZE = { routerCount: 1, agentCount: 4, modelCount: 4, adapterCount: 20 };
const PEER_KEY = "bench-peer-key";
const ROUND_COUNT = 7;
const ROUND_MS = 700;
const CONCURRENCY = 32;
const MAX_ADDED_P50_MS = 1;
const MIN_THROUGHPUT_SHARE = 0.7;

interface Round {
    readonly direct: LoopResult;
    readonly router: LoopResult;
    readonly passThrough: LoopResult;
}

/** Compares a router with a plain pass-through proxy of the same libraries, alternately, over real sockets. */
export async function measureRouterCost(): Promise<readonly BenchRow[]> {
    const agent = await ScriptProcess.start("fake-agent.ts");
    const passThrough = await ScriptProcess.start("pass-through.ts", `http://127.0.0.1:${agent.port}`);
    const { router, port, close } = await startRouter(agent.port);
    try {
        await runClosedLoop(port, CONCURRENCY, ROUND_MS);
        await runClosedLoop(passThrough.port, CONCURRENCY, ROUND_MS);
        const measure = async (concurrency: number): Promise<Round> => ({
            direct: await runClosedLoop(agent.port, concurrency, ROUND_MS),
            router: await runClosedLoop(port, concurrency, ROUND_MS),
            passThrough: await runClosedLoop(passThrough.port, concurrency, ROUND_MS),
        });
        const singleCallerRounds: Round[] = [];
        const concurrentRounds: Round[] = [];
        for (let round = 0; round < ROUND_COUNT; round += 1) {
            singleCallerRounds.push(await measure(1));
            concurrentRounds.push(await measure(CONCURRENCY));
        }
        return [addedLatencyRow(singleCallerRounds), throughputRow(concurrentRounds)];
    }
    finally {
        await Promise.all([router.end(), agent.end(), passThrough.end(), close()]);
    }
}

function addedLatencyRow(rounds: readonly Round[]): BenchRow {
    const median = (read: (round: Round) => number) => percentile(rounds.map(read), 0.5);
    const ours = median(({ router, direct }) => router.p50Ms - direct.p50Ms);
    return {
        measure: "router's added p50 (ms)",
        deployment: "real sockets",
        baseline: roundForReport(median(({ passThrough, direct }) => passThrough.p50Ms - direct.p50Ms)),
        ours: roundForReport(ours),
        ratio: roundForReport(ours),
        target: `<= ${MAX_ADDED_P50_MS} ms`,
        verdict: ours <= MAX_ADDED_P50_MS ? "pass" : "fail",
    };
}

function throughputRow(rounds: readonly Round[]): BenchRow {
    const median = (read: (round: Round) => number) => percentile(rounds.map(read), 0.5);
    const ratio = median(({ router, passThrough }) => router.requestsPerSecond / passThrough.requestsPerSecond);
    return {
        measure: "router's throughput (requests/s)",
        deployment: "real sockets",
        baseline: roundForReport(median(({ passThrough }) => passThrough.requestsPerSecond)),
        ours: roundForReport(median(({ router }) => router.requestsPerSecond)),
        ratio: roundForReport(ratio),
        target: `>= ${MIN_THROUGHPUT_SHARE} x pass-through`,
        verdict: ratio >= MIN_THROUGHPUT_SHARE ? "pass" : "fail",
    };
}

async function startRouter(agentPort: number) {
    const listen = { host: "127.0.0.1", port: 0 };
    const modelIds = Array.from({ length: SIZE.modelCount }, (_, index) => `model-${index}`);
    const [store, hosts, peer] = await Promise.all([
        createKeyValueStandIn({ listen }),
        createHostListStandIn({ listen }),
        createFakePeer(PEER_KEY, modelIds),
    ]);
    await seedRecords(store.url, SIZE, modelIds);
    hosts.setHosts(Array.from({ length: SIZE.agentCount }, (_, index) => ({
        hostId: `host-a-${index}`,
        dataCentre: "dc-0",
        role: "backend",
        state: "live" as const,
        address: "127.0.0.1",
        peerPort: peer.port,
        requestPort: agentPort,
        serverId: `server-${index}`,
        serviceId: "assistant",
    })));
    const router = await new BundleProcess([
        "router",
        "--host-id=host-r-0",
        "--data-centre=dc-0",
        `--kv-endpoints=${store.url}`,
        `--hosts-url=${hosts.url}/hosts`,
        "--peer-listen=127.0.0.1:0",
        "--operator-listen=127.0.0.1:0",
        "--listen=127.0.0.1:0",
    ], { SKYLARKMILL_PEER_KEYS: PEER_KEY, SKYLARKMILL_TEAM_TOKENS: "bench=bench-token" }).waitUntilListening();
    const port = router.listeningPort();
    await waitUntilServed(port);
    return { router, port, close: () => Promise.all([store.close(), hosts.close(), peer.close()]) };
}

async function waitUntilServed(port: number): Promise<void> {
    const endMs = performance.now() + 15_000;
    for (;;) {
        const served = await runClosedLoop(port, 1, 1).then(() => true, () => false);
        if (served) return;
        if (performance.now() > endMs) throw new Error("the router does not serve the fake agent's model");
        await new Promise(resolve => setTimeout(resolve, 100));
    }
}
