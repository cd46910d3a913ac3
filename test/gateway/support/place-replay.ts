import { FairOrder, LeastLoadRanking, type OrderedRequest, type ServerRecord, ServerState } from "@skylarkmill/gateway";
import { type DataCentre, type ServerId, type ServiceId, toId, type WorkspaceId } from "@skylarkmill/protocol";

const STEP_MS = 5;
const DATA_CENTRE = toId<DataCentre>("dc-1");
const SERVICE = toId<ServiceId>("desk");
/** Interval at which a request without a place searches for one again. */
const SEARCH_INTERVAL_MS = 100;
/** Longest wait of a request, and the time within which it should be answered. */
const WAIT_MS = 300;
const AIM_MS = 800;
const MAX_REJECTIONS = 6;

/** Requests of one workspace. */
export interface WorkspaceTraffic {
    readonly name: string;
    readonly perSecond: number;
    readonly fromMs: number;
    /** Number of gateways that get them, the first ones. */
    readonly gatewayCount: number;
}

export interface PlaceLoad {
    readonly gatewayCount: number;
    readonly serverCount: number;
    readonly slotCount: number;
    /** Requests that a server keeps waiting; it refuses further ones. */
    readonly queueLength: number;
    readonly runMs: number;
    readonly durationMs: number;
    readonly traffic: readonly WorkspaceTraffic[];
    /** Server that ends, with all requests that it has, and when. */
    readonly loss?: { readonly server: number; readonly atMs: number; };
    readonly random: () => number;
}

export interface PlaceResult {
    /** Share of each workspace's requests that were answered within the aim, of those sent from `measuredFromMs`. */
    readonly inTime: Record<string, number>;
    /** Part of the servers' time that was used. */
    readonly usedShare: number;
    readonly rejectionsPerRequest: number;
}

class ReplayedServer {
    private waiting: ReplayedRequest[] = [];
    private running: { readonly request: ReplayedRequest; readonly endsAtMs: number; }[] = [];
    busyMs = 0;
    isLost = false;

    constructor(private readonly load: PlaceLoad) {}

    /** Returns false if the server has no room. */
    accept(request: ReplayedRequest): boolean {
        if (this.isLost || this.waiting.length >= this.load.queueLength) return false;
        this.waiting.push(request);
        return true;
    }

    step(nowMs: number, onEnd: (request: ReplayedRequest, waitingCount: number) => void): void {
        this.busyMs += this.running.length * STEP_MS;
        for (const { request } of this.running.filter(({ endsAtMs }) => endsAtMs <= nowMs)) {
            onEnd(request, this.waiting.length);
        }
        this.running = this.running.filter(({ endsAtMs }) => endsAtMs > nowMs);
        while (this.running.length < this.load.slotCount && this.waiting.length > 0) {
            const endsAtMs = nowMs + this.load.runMs * (0.5 + this.load.random());
            this.running.push({ request: this.waiting.shift()!, endsAtMs });
        }
    }

    end(): ReplayedRequest[] {
        this.isLost = true;
        return [...this.waiting.splice(0), ...this.running.splice(0).map(({ request }) => request)];
    }
}

interface ReplayedGateway {
    readonly servers: ServerState[];
    readonly order: FairOrder | undefined;
    readonly waiting: Set<ReplayedRequest>;
    hasEnded: boolean;
}

interface ReplayedRequest extends OrderedRequest {
    readonly workspace: string;
    readonly gateway: ReplayedGateway;
    server: number;
    searchAtMs: number;
    sentAtMs: number;
    rejections: number;
    state: "waiting" | "sent" | "ended";
}

/**
 * Replays requests of workspaces at servers with few places; nothing is sent.
 *
 * @param isFair Whether gateways keep servers' queues short and let workspaces go in turn; else they send at once.
 */
export function replayPlaces(load: PlaceLoad, isFair: boolean, measuredFromMs: number): PlaceResult {
    const servers = Array.from({ length: load.serverCount }, () => new ReplayedServer(load));
    const gateways = Array.from({ length: load.gatewayCount }, (): ReplayedGateway => ({
        servers: servers.map((_, index) => new ServerState(createRecord(index, load.slotCount))),
        order: isFair ? new FairOrder(() => 1) : undefined,
        waiting: new Set(),
        hasEnded: false,
    }));
    const ranking = new LeastLoadRanking(load.random);
    const counts = new Map(load.traffic.map(({ name }) => [name, { sent: 0, inTime: 0 }]));
    let nowMs = 0;
    let [requestCount, rejectionCount] = [0, 0];

    const search = (request: ReplayedRequest): void => {
        const { gateway } = request;
        if (request.state !== "waiting") return;
        const isQueued = gateway.order?.mustQueue(request) === true;
        const extraCount = gateway.order?.countExtraPlaces(request) ?? 0;
        const usable = gateway.servers.filter(({ placeLimit, inFlightCount }) =>
            !isFair || placeLimit.hasRoom(inFlightCount, nowMs, extraCount)
        );
        const input = { dataCentre: DATA_CENTRE, nowMs, isAvoided: () => false, hasPeerCounts: false };
        const server = isQueued ? undefined : ranking.choose({ ...input, servers: usable });
        if (server === undefined || server.isAtCapacity(nowMs) || server.isSuspect(nowMs)) return wait(request);
        request.server = gateway.servers.indexOf(server);
        if (servers[request.server]!.accept(request)) {
            gateway.waiting.delete(request);
            gateway.order?.leave(request);
            gateway.order?.recordSend(request, nowMs);
            server.beginAttempt(undefined, undefined);
            request.state = "sent";
            request.sentAtMs = nowMs;
            return;
        }
        rejectionCount += 1;
        request.rejections += 1;
        const isUnreachable = servers[request.server]!.isLost;
        if (isUnreachable) server.recordUnreachable(nowMs);
        else server.recordAtCapacity(nowMs);
        if (request.rejections > MAX_REJECTIONS) end(request);
        else if (isUnreachable) search(request);
        else wait(request);
    };
    const wait = (request: ReplayedRequest): void => {
        const leftMs = request.arrivedAtMs + WAIT_MS - nowMs;
        const etaMs = request.gateway.order?.etaMs(request, nowMs);
        if (leftMs <= 0 || etaMs !== undefined && etaMs > leftMs) return end(request);
        request.searchAtMs = nowMs + SEARCH_INTERVAL_MS;
        request.gateway.waiting.add(request);
        request.gateway.order?.enter(request, nowMs);
    };
    const end = (request: ReplayedRequest): void => {
        request.state = "ended";
        request.gateway.waiting.delete(request);
        request.gateway.order?.leave(request);
    };

    const due = load.traffic.map(() => 0);
    for (; nowMs < load.durationMs; nowMs += STEP_MS) {
        for (const [index, server] of servers.entries()) {
            server.step(nowMs, (request, waitingCount) => {
                const state = request.gateway.servers[index]!;
                const reported = { runningCount: load.slotCount, waitingCount, slotCount: load.slotCount };
                state.recordReportedLoad(reported, nowMs);
                state.placeLimit.recordResponse(reported, state.inFlightCount, nowMs);
                state.endAttempt(undefined, undefined);
                state.placeLimit.recordEnd(nowMs - request.sentAtMs, nowMs);
                request.gateway.hasEnded = true;
                if (request.arrivedAtMs >= measuredFromMs && nowMs - request.arrivedAtMs <= AIM_MS) {
                    counts.get(request.workspace)!.inTime += 1;
                }
            });
            if (load.loss?.server === index && load.loss.atMs === nowMs) {
                for (const request of server.end()) {
                    request.gateway.servers[index]!.endAttempt(undefined, undefined);
                    request.gateway.servers[index]!.recordUnreachable(nowMs);
                }
            }
        }
        for (const [index, { name, perSecond, fromMs, gatewayCount }] of load.traffic.entries()) {
            due[index]! += nowMs < fromMs ? 0 : perSecond * STEP_MS / 1_000;
            for (; due[index]! >= 1; due[index]! -= 1) {
                const gateway = gateways[Math.floor(load.random() * gatewayCount)]!;
                const request: ReplayedRequest = {
                    serviceId: SERVICE,
                    modelId: undefined,
                    workspaceId: toId<WorkspaceId>(name),
                    workspace: name,
                    priority: 5,
                    arrivedAtMs: nowMs,
                    cost: 1,
                    gateway,
                    server: -1,
                    searchAtMs: nowMs,
                    sentAtMs: nowMs,
                    rejections: 0,
                    state: "waiting",
                    search: () => search(request),
                };
                requestCount += 1;
                if (nowMs >= measuredFromMs && nowMs < load.durationMs - AIM_MS) counts.get(name)!.sent += 1;
                search(request);
            }
        }
        for (const gateway of gateways) {
            if (gateway.order !== undefined) {
                const isDue = [...gateway.waiting].some(({ searchAtMs }) => searchAtMs <= nowMs);
                if (gateway.hasEnded || isDue) gateway.order.passThrough();
                gateway.hasEnded = false;
            }
            else for (const request of [...gateway.waiting]) if (request.searchAtMs <= nowMs) search(request);
        }
    }
    const busyMs = servers.reduce((sum, server) => sum + server.busyMs, 0);
    return {
        inTime: Object.fromEntries([...counts].map(([name, { sent, inTime }]) => [name, Math.min(1, inTime / sent)])),
        usedShare: busyMs / (load.serverCount * load.slotCount * load.durationMs),
        rejectionsPerRequest: rejectionCount / requestCount,
    };
}

function createRecord(index: number, slotCount: number): ServerRecord {
    return {
        serverId: toId<ServerId>(`s${index}`),
        serviceId: SERVICE,
        address: { host: "10.0.0.1", port: 80 },
        dataCentre: DATA_CENTRE,
        draining: false,
        bornAtMs: 1,
        slotCount,
        sequence: 0,
        models: [],
        onDisk: [],
        inMemory: [],
    };
}
