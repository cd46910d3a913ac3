import type { ChoiceRequest, ServerChooser, ServerView } from "../types/policies.ts";
import { createRandom, type RandomSource } from "../utils/random.ts";
import { eligibleServers } from "./baseline-choosers.ts";
import type { ResolvedServerChooser } from "./create-server-chooser.ts";
import { expectedRequestCount, expectedWaitMs } from "./expected-wait.ts";

/**
 * Chooses the server at which a request is expected to complete first.
 *
 * Of the servers that have the model loaded, a random sample is compared (power of two choices), so that routers with
 * the same reports do not all choose the same server. Cold servers, which have to load the model first, are chosen in
 * the order of the grants, which is the same at every router, so that a burst at all routers causes one load.
 */
export class ExpectedCompletionChooser implements ServerChooser {
    private readonly random: RandomSource;

    constructor(private readonly options: ResolvedServerChooser) {
        this.random = createRandom(options.seed);
    }

    choose(request: ChoiceRequest, servers: readonly ServerView[]): ServerView | undefined {
        const eligible = eligibleServers(request, servers);
        const loadedServer = this.chooseLoadedServer(request, eligible.filter(server => server.loaded));
        // A hedge that waits for a load would complete later than the first attempt.
        const coldServer = request.isHedge === true ? undefined : chooseColdServer(eligible);
        if (loadedServer === undefined || coldServer === undefined) return loadedServer ?? coldServer;
        return this.costMs(request, coldServer) < this.costMs(request, loadedServer) ? coldServer : loadedServer;
    }

    /** Expected time until the request completes at the server, in milliseconds. */
    costMs(request: ChoiceRequest, server: ServerView): number {
        const { staleReportMs, crossDataCentreMs, adapterLoadMs, prefixGain, busyShare } = this.options;
        const serviceMs = request.expectedMs * (1 - prefixGain * server.prefixMatch);
        const waitMs = expectedWaitMs(server, request.expectedMs, staleReportMs);
        const slowdownMs = busyShare * serviceMs * expectedRequestCount(server, staleReportMs) / server.slotCount;
        return (server.loaded ? 0 : server.expectedLoadMs)
            + (server.adapterLoaded ? 0 : adapterLoadMs)
            + (server.dataCentre === request.dataCentre ? 0 : crossDataCentreMs)
            + (serviceMs + waitMs + slowdownMs) * Math.max(1, server.slowness);
    }

    private chooseLoadedServer(request: ChoiceRequest, loaded: readonly ServerView[]): ServerView | undefined {
        const normal = loaded.filter(server => server.slowness < this.options.stragglerSlowness);
        if (normal.length === loaded.length || request.isHedge === true) return this.cheapestOfSample(request, normal);
        const stragglers = loaded.filter(server => server.slowness >= this.options.stragglerSlowness);
        if (this.random.fraction() < this.options.probeShare) return this.cheapestOfSample(request, stragglers);
        if (normal.length >= this.options.choices) return this.cheapestOfSample(request, normal);
        // With few normal servers, their queues can be so long that a straggler completes the request earlier.
        return cheapestServer(loaded, server => this.costMs(request, server));
    }

    private cheapestOfSample(request: ChoiceRequest, servers: readonly ServerView[]): ServerView | undefined {
        const sample = this.sampleServers(servers);
        return cheapestServer(sample, server => this.costMs(request, server));
    }

    private sampleServers(servers: readonly ServerView[]): readonly ServerView[] {
        const pool = [...servers];
        const count = Math.min(this.options.choices, pool.length);
        for (let index = 0; index < count; index += 1) {
            const other = index + this.random.index(pool.length - index);
            const picked = pool[other] as ServerView;
            pool[other] = pool[index] as ServerView;
            pool[index] = picked;
        }
        return pool.slice(0, count);
    }
}

/** Chooses a server that is loading the model, otherwise the one with the first grant. */
function chooseColdServer(servers: readonly ServerView[]): ServerView | undefined {
    const coldServers = servers.filter(server => !server.loaded);
    const loadingServers = coldServers.filter(server => server.loading);
    return cheapestServer(
        loadingServers.length > 0 ? loadingServers : coldServers,
        server => server.grantPosition ?? Number.MAX_SAFE_INTEGER,
    );
}

function cheapestServer(
    servers: readonly ServerView[],
    costOf: (server: ServerView) => number,
): ServerView | undefined {
    let cheapest: ServerView | undefined;
    let lowestCost = Infinity;
    for (const server of servers) {
        const serverCost = costOf(server);
        if (cheapest !== undefined && serverCost >= lowestCost) continue;
        cheapest = server;
        lowestCost = serverCost;
    }
    return cheapest;
}
