import type { ChoiceRequest, ServerChooser, ServerView } from "../types/policies.ts";
import { createRandom, type RandomSource } from "../utils/random.ts";

/** Servers that the request may be sent to: not yet tried, and loaded or entitled to load. */
export function eligibleServers(request: ChoiceRequest, servers: readonly ServerView[]): ServerView[] {
    return servers.filter(server =>
        !request.tried.has(server.serverId) && (server.loaded || server.loading || server.grantPosition !== undefined)
    );
}

/** Baseline: any eligible server with equal probability. */
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

/** Baseline: the eligible server that reported the least load, whatever the age of its report. */
export class LeastReportedChooser implements ServerChooser {
    private readonly random: RandomSource;

    constructor(seed?: number) {
        this.random = createRandom(seed);
    }

    choose(request: ChoiceRequest, servers: readonly ServerView[]): ServerView | undefined {
        const eligible = eligibleServers(request, servers);
        if (eligible.length === 0) return undefined;
        const least = Math.min(...eligible.map(server => server.reportedCount));
        const tied = eligible.filter(server => server.reportedCount === least);
        return tied[this.random.index(tied.length)];
    }
}
