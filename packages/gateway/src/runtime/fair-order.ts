import { nowMs, UseWindow } from "@skylarkmill/coordination";
import type { ModelId, ServiceId, WorkspaceId } from "@skylarkmill/protocol";

/** Time over which the rate of a line is measured; also the least time for which it must have been busy. */
const RATE_WINDOW_MS = 1_000;
/** Least time between two passes, since each looks at all requests that wait. */
const MIN_PASS_INTERVAL_MS = 10;
/** Requests that a workspace may send at once after it has got less than its part: few come evenly spaced. */
const CREDIT_REQUESTS = 8;
/** Places beyond a server's limit for workspaces that have got less than their part. */
const EXTRA_PLACES = 2;

/** A request that waits for a place at a server. */
export interface OrderedRequest {
    readonly serviceId: ServiceId;
    readonly modelId: ModelId | undefined;
    /** Undefined for a request of a public route without a key. */
    readonly workspaceId: WorkspaceId | undefined;
    /** 0 goes first among the requests of a workspace. */
    readonly priority: number;
    readonly arrivedAtMs: number;
    /** Work of the request, in tokens or requests. */
    readonly cost: number;
    /** Searches for a place; the request leaves the order if it gets one, or is refused. */
    search(): void;
}

/** Requests of one service and model, which compete for the same servers. */
interface Line {
    readonly waiting: Set<OrderedRequest>;
    readonly sends: UseWindow;
    busySinceMs: number;
    /** Number of requests before each one when the line was last passed through. */
    ahead: ReadonlyMap<OrderedRequest, number>;
}

/** What the workspaces have got of one service. */
interface ServiceUse {
    /** Work got by each workspace, over its weight; a workspace that comes back begins where the others are. */
    readonly finishes: Map<WorkspaceId | undefined, number>;
    /** Progress of the workspace that was served last. */
    progress: number;
}

/** State of a line, for operators. */
export interface LineStatus {
    readonly service: ServiceId;
    readonly model: ModelId | undefined;
    readonly waiting: number;
    readonly workspaces: number;
    readonly sentPerSecond: number;
}

/**
 * Lets the requests that wait for places go in an order that is fair to their workspaces: each gets work in proportion to
 * its weight, however many requests it sends (start-time fair queueing). Requests of one workspace go by priority and
 * arrival. While none waits, all are sent at once and only counted.
 */
export class FairOrder {
    private readonly lines = new Map<string, Line>();
    private readonly uses = new Map<ServiceId, ServiceUse>();
    private isPassing = false;
    private isPassScheduled = false;
    private passedAtMs = -Infinity;

    /** @param getWeight Part of a workspace, relative to the others. */
    constructor(private readonly getWeight: (workspaceId: WorkspaceId | undefined) => number) {}

    /** Whether others wait for the same servers, so that the request has to wait for its turn. */
    mustQueue(request: OrderedRequest): boolean {
        if (this.isPassing) return false;
        const waiting = this.lines.get(toLineKey(request))?.waiting;
        return waiting !== undefined && waiting.size > (waiting.has(request) ? 1 : 0);
    }

    /**
     * Number of places beyond a server's limit that a request may take. A workspace that has got less than its part goes at
     * once: the limit binds those that send more, however many gateways share a server's places.
     */
    countExtraPlaces(request: OrderedRequest): number {
        const use = this.getUse(request.serviceId);
        return this.startOf(use, request) < use.progress ? EXTRA_PLACES : 0;
    }

    /** Lets a request wait for its turn. */
    enter(request: OrderedRequest, now: number): void {
        const key = toLineKey(request);
        let line = this.lines.get(key);
        if (line === undefined) {
            line = { waiting: new Set(), sends: new UseWindow(), busySinceMs: now, ahead: new Map() };
            this.lines.set(key, line);
        }
        line.waiting.add(request);
    }

    /** Ends the wait of a request; returns whether it waited. */
    leave(request: OrderedRequest): boolean {
        const key = toLineKey(request);
        const line = this.lines.get(key);
        if (line?.waiting.delete(request) !== true) return false;
        if (line.waiting.size === 0) this.lines.delete(key);
        return true;
    }

    /** Counts the work of a request that is sent to a server. */
    recordSend(request: OrderedRequest, now: number): void {
        const { serviceId, workspaceId, cost } = request;
        this.lines.get(toLineKey(request))?.sends.add(1, now);
        const use = this.getUse(serviceId);
        const start = this.startOf(use, request);
        use.progress = Math.max(use.progress, start);
        use.finishes.set(workspaceId, start + cost / this.getWeight(workspaceId));
    }

    /** Lets the requests that wait search for places soon, once for all changes until then. */
    schedulePass(): void {
        if (this.isPassScheduled || this.lines.size === 0) return;
        this.isPassScheduled = true;
        const delayMs = this.passedAtMs + MIN_PASS_INTERVAL_MS - nowMs();
        setTimeout(() => {
            this.isPassScheduled = false;
            this.passedAtMs = nowMs();
            this.passThrough();
        }, Math.max(0, delayMs));
    }

    /** Lets all requests that wait search for places, in order. */
    passThrough(): void {
        this.isPassing = true;
        try {
            for (const line of [...this.lines.values()]) {
                const ahead = new Map<OrderedRequest, number>();
                for (const request of this.sort(line)) {
                    ahead.set(request, ahead.size);
                    request.search();
                    if (!line.waiting.has(request)) ahead.delete(request);
                }
                line.ahead = ahead;
            }
        }
        finally {
            this.isPassing = false;
        }
    }

    get waitingCount(): number {
        return [...this.lines.values()].reduce((sum, { waiting }) => sum + waiting.size, 0);
    }

    /** Time until a request has its turn, by the rate at which its line moves; undefined if that is not known yet. */
    etaMs(request: OrderedRequest, now: number): number | undefined {
        const line = this.lines.get(toLineKey(request));
        if (line === undefined || now - line.busySinceMs < RATE_WINDOW_MS) return undefined;
        const sentCount = line.sends.sum(RATE_WINDOW_MS, now);
        const aheadCount = line.ahead.get(request);
        return sentCount === 0 || aheadCount === undefined ? undefined : aheadCount * RATE_WINDOW_MS / sentCount;
    }

    listStatus(now: number): LineStatus[] {
        return [...this.lines.values()].flatMap(({ waiting, sends }) => {
            const [first] = waiting;
            if (first === undefined) return [];
            const workspaces = new Set([...waiting].map(({ workspaceId }) => workspaceId)).size;
            const sentPerSecond = 1_000 * sends.sum(RATE_WINDOW_MS, now) / RATE_WINDOW_MS;
            return [{
                service: first.serviceId,
                model: first.modelId,
                waiting: waiting.size,
                workspaces,
                sentPerSecond,
            }];
        });
    }

    /** Sorts the requests of a line as they would go one after the other. */
    private sort({ waiting }: Line): OrderedRequest[] {
        const byWorkspace = new Map<WorkspaceId | undefined, OrderedRequest[]>();
        for (const request of waiting) {
            const requests = byWorkspace.get(request.workspaceId);
            if (requests === undefined) byWorkspace.set(request.workspaceId, [request]);
            else requests.push(request);
        }
        const groups = [...byWorkspace].map(([workspaceId, requests]) => ({
            // The next one is taken from the end.
            requests: requests.sort((a, b) => b.priority - a.priority || b.arrivedAtMs - a.arrivedAtMs),
            weight: this.getWeight(workspaceId),
            start: this.startOf(this.getUse(requests[0]!.serviceId), requests[0]!),
        }));
        const sorted: OrderedRequest[] = [];
        while (sorted.length < waiting.size) {
            const first = groups.reduce((best, group) =>
                best.requests.length === 0 || group.requests.length > 0 && group.start < best.start ? group : best
            );
            const request = first.requests.pop()!;
            first.start += request.cost / first.weight;
            sorted.push(request);
        }
        return sorted;
    }

    /** Progress at which a request of the workspace begins; what it got less than its part before counts a little. */
    private startOf({ progress, finishes }: ServiceUse, { workspaceId, cost }: OrderedRequest): number {
        const credit = CREDIT_REQUESTS * cost / this.getWeight(workspaceId);
        return Math.max(progress - credit, finishes.get(workspaceId) ?? 0);
    }

    private getUse(serviceId: ServiceId): ServiceUse {
        let use = this.uses.get(serviceId);
        if (use === undefined) {
            use = { finishes: new Map(), progress: 0 };
            this.uses.set(serviceId, use);
        }
        return use;
    }
}

function toLineKey({ serviceId, modelId }: OrderedRequest): string {
    return modelId === undefined ? serviceId : `${serviceId} ${modelId}`;
}
