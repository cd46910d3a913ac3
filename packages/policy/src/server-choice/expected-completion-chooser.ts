import type { ChoiceRequest, ServerChooser, ServerView } from "../types/policies.ts";
import { createRandom, type RandomSource } from "../utils/random.ts";
import { eligibleServers } from "./baseline-choosers.ts";
import type { ResolvedServerChooser } from "./create-server-chooser.ts";
import { expectedCount, expectedWaitMs } from "./expected-wait.ts";

/**
 * Sends a request to the server where it is expected to finish first.
 *
 * Loaded servers are compared by the power of two choices, so that routers with the same reports
 * do not all pick the same server. A server that has to load the model first is taken in the order
 * of the grants, the same at every router, so that a burst at all routers shares one load.
 */
export class ExpectedCompletionChooser implements ServerChooser {
    private readonly random: RandomSource;

    constructor(private readonly options: ResolvedServerChooser) {
        this.random = createRandom(options.seed);
    }

    choose(request: ChoiceRequest, servers: readonly ServerView[]): ServerView | undefined {
        const eligible = eligibleServers(request, servers);
        const loaded = this.bestLoaded(request, eligible.filter(server => server.loaded));
        // A hedge that has to load the model first would arrive after the attempt that it is to overtake.
        const cold = request.hedge === true ? undefined : firstCold(eligible);
        if (loaded === undefined || cold === undefined) return loaded ?? cold;
        return this.costMs(request, cold) < this.costMs(request, loaded) ? cold : loaded;
    }

    /** Expected time until the request is done at the server, in milliseconds. */
    costMs(request: ChoiceRequest, server: ServerView): number {
        const { staleReportMs, crossDataCentreMs, adapterLoadMs, prefixGain, busyShare } = this.options;
        const serviceMs = request.expectedMs * (1 - prefixGain * server.prefixMatch);
        const waitMs = expectedWaitMs(server, request.expectedMs, staleReportMs);
        const busyMs = busyShare * serviceMs * expectedCount(server, staleReportMs) / server.slotCount;
        return (server.loaded ? 0 : server.expectedLoadMs)
            + (server.adapterLoaded ? 0 : adapterLoadMs)
            + (server.dataCentre === request.dataCentre ? 0 : crossDataCentreMs)
            + (serviceMs + waitMs + busyMs) * Math.max(1, server.slowness);
    }

    private bestLoaded(request: ChoiceRequest, loaded: readonly ServerView[]): ServerView | undefined {
        const steady = loaded.filter(server => server.slowness < this.options.stragglerSlowness);
        if (steady.length === loaded.length || request.hedge === true) return this.leastOfSample(request, steady);
        const slow = loaded.filter(server => server.slowness >= this.options.stragglerSlowness);
        if (this.random.fraction() < this.options.probeShare) return this.leastOfSample(request, slow);
        if (steady.length >= this.options.choices) return this.leastOfSample(request, steady);
        // The only normal server can be so crowded that a slow one is done sooner.
        return leastBy(loaded, server => this.costMs(request, server));
    }

    private leastOfSample(request: ChoiceRequest, servers: readonly ServerView[]): ServerView | undefined {
        const sample = this.sample(servers);
        return leastBy(sample, server => this.costMs(request, server));
    }

    private sample(servers: readonly ServerView[]): readonly ServerView[] {
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

/** A server that loads already, otherwise the one with the first grant. */
function firstCold(servers: readonly ServerView[]): ServerView | undefined {
    const cold = servers.filter(server => !server.loaded);
    const loading = cold.filter(server => server.loading);
    return leastBy(loading.length > 0 ? loading : cold, server => server.grantPosition ?? Number.MAX_SAFE_INTEGER);
}

function leastBy(servers: readonly ServerView[], cost: (server: ServerView) => number): ServerView | undefined {
    let best: ServerView | undefined;
    let bestCost = Infinity;
    for (const server of servers) {
        const serverCost = cost(server);
        if (best !== undefined && serverCost >= bestCost) continue;
        best = server;
        bestCost = serverCost;
    }
    return best;
}
