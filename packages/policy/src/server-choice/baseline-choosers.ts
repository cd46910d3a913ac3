import type { ChoiceRequest, ServerChooser, ServerView } from "../types/policies.ts";
import { createRandom, type RandomSource } from "../utils/random.ts";

/** Returns the servers not yet tried that have the model loaded, are loading it or hold a grant for it. */
export function eligibleServers(request: ChoiceRequest, servers: readonly ServerView[]): ServerView[] {
    return servers.filter(server =>
        !request.triedServerIds.has(server.serverId)
        && (server.loaded || server.loading || server.grantPosition !== undefined)
    );
}

/** Baseline: chooses any eligible server with equal probability. */
export class RandomChooser implements ServerChooser {
    private readonly random: RandomSource;

    constructor(seed?: number) {
        this.random = createRandom(seed);
    }

    choose(request: ChoiceRequest, servers: readonly ServerView[]): ServerView | undefined {
        const eligible = eligibleServers(request, servers);
        return eligible.length === 0 ? undefined : eligible[this.random.index(eligible.length)];
    }
}

/** Baseline: chooses the eligible server with the lowest reported load, regardless of the report's age. */
export class LeastReportedChooser implements ServerChooser {
    private readonly random: RandomSource;

    constructor(seed?: number) {
        this.random = createRandom(seed);
    }

    choose(request: ChoiceRequest, servers: readonly ServerView[]): ServerView | undefined {
        const eligible = eligibleServers(request, servers);
        if (eligible.length === 0) return undefined;
        const leastCount = Math.min(...eligible.map(server => server.reportedCount));
        const tied = eligible.filter(server => server.reportedCount === leastCount);
        return tied[this.random.index(tied.length)];
    }
}
