import type { DataCentre } from "@skylarkmill/protocol";
import type { ServerState } from "./server-state.ts";

/** Servers that can take a request, and what is known besides their state. */
export interface RankingInput {
    readonly servers: readonly ServerState[];
    /** Data centre of this gateway. */
    readonly dataCentre: DataCentre;
    readonly nowMs: number;
    /** Tells which servers are used only if the others have no room. */
    readonly isAvoided: (server: ServerState) => boolean;
    /** Whether the gateways exchange how many requests they have at these servers. */
    readonly hasPeerCounts: boolean;
}

/** Chooses a server for a request by what this gateway knows of their load. */
export interface ServerRanking {
    /** Returns the best server; undefined if there is none. */
    choose(input: RankingInput): ServerState | undefined;
}

/** Name of a way to choose servers. `least_load` is meant for few gateways, `spread` for many. */
export type ServerRankingName = "least_load" | "spread";

/** Penalty of a server whose slots are all in use; the other penalties are relative to it. */
const FULL_LOAD_PENALTY = 32;
/** Penalty for the two link delays to another data centre; equals that of one request at a server with 32 slots. */
const REMOTE_PENALTY = 1;
/** Penalty of a server that is used only if the others have no room. */
const AVOIDED_PENALTY = 32;
/** A server that fails every request ranks behind one whose slots are all in use. */
const FAILURE_PENALTY = 40;
/** A server that just refused a request for lack of capacity, or that can't be reached, ranks behind all others. */
const AT_CAPACITY_PENALTY = 500;
const SUSPECT_PENALTY = 1_000;
/** A server whose penalty is this much larger than the least one is not drawn. */
const LAST_RESORT_PENALTY = AVOIDED_PENALTY;

function computePenalty(server: ServerState, { dataCentre, nowMs, isAvoided }: RankingInput): number {
    return (server.isSuspect(nowMs) ? SUSPECT_PENALTY : 0)
        + (server.isAtCapacity(nowMs) ? AT_CAPACITY_PENALTY : 0)
        + (isAvoided(server) ? AVOIDED_PENALTY : 0)
        + server.failureRate * FAILURE_PENALTY
        + (server.record.dataCentre === dataCentre ? 0 : REMOTE_PENALTY);
}

/** Takes the server with the least known load; a random part spreads ties. */
export class LeastLoadRanking implements ServerRanking {
    /** @param random Returns a number from 0 to below 1. */
    constructor(private readonly random: () => number = Math.random) {}

    choose(input: RankingInput): ServerState | undefined {
        let best: { readonly server: ServerState; readonly score: number; } | undefined;
        for (const server of input.servers) {
            const slots = Math.max(1, server.record.slotCount);
            const load = FULL_LOAD_PENALTY * server.estimateRequestCount(input.nowMs) / slots;
            const score = computePenalty(server, input) + load + this.random() / 2;
            if (best === undefined || score < best.score) best = { server, score };
        }
        return best?.server;
    }
}

/**
 * Takes the better of two servers that are drawn at random. What is known of other gateways' requests is old, and they know
 * the same: if all took the server that looks best, it would be overrun until the next news. News count less with their age.
 */
export class SpreadRanking implements ServerRanking {
    /** @param random Returns a number from 0 to below 1. */
    constructor(private readonly random: () => number = Math.random) {}

    choose(input: RankingInput): ServerState | undefined {
        const { servers, nowMs, hasPeerCounts } = input;
        if (servers.length <= 1) return servers[0];
        const known = servers.map(server => ({ server, load: server.describeLoad(nowMs, hasPeerCounts) }));
        const averageOthers = known.reduce((sum, { load }) => sum + load.otherCount, 0) / known.length;
        const options = known.map(({ server, load }) => {
            const others = averageOthers + load.weight * (load.otherCount - averageOthers);
            const penalty = computePenalty(server, input);
            const slots = Math.max(1, server.record.slotCount);
            return { server, penalty, cost: penalty + FULL_LOAD_PENALTY * (load.ownCount + others) / slots };
        });
        const leastPenalty = Math.min(...options.map(({ penalty }) => penalty));
        const usable = options.filter(({ penalty }) => penalty < leastPenalty + LAST_RESORT_PENALTY);
        const first = this.draw(usable.length);
        const other = this.draw(usable.length - 1);
        const second = other >= first ? other + 1 : other;
        const [a, b] = [usable[first]!, usable[second] ?? usable[first]!];
        return (a.cost <= b.cost ? a : b).server;
    }

    /** Draws an index below `count`; 0 if there is none. */
    private draw(count: number): number {
        return Math.min(Math.max(0, count - 1), Math.floor(this.random() * count));
    }
}

/**
 * Creates the way to choose servers with a name.
 *
 * @example
 * createServerRanking("spread").choose(input);
 */
export function createServerRanking(name: ServerRankingName): ServerRanking {
    return name === "least_load" ? new LeastLoadRanking() : new SpreadRanking();
}
