import type { GatewayMember } from "./gateway-membership.ts";

/** Number of members below which further gateways join. */
export const MIN_MEMBER_COUNT = 12;
/** Number of members above which the newest ones leave. */
export const MAX_MEMBER_COUNT = 16;
/** Number of members, besides the oldest one of each data centre, up to which members read the service themselves. */
export const MIN_READER_COUNT = 6;
/** Hosts with at least this much of a processor core join at once; the work of a member grows with the engines. */
const MIN_PREFERRED_CORES = 0.5;
/** Time that other hosts leave to the preferred ones, and the spread that keeps them from joining together. */
const OTHER_HOST_DELAY_MS = 1_500;
const OTHER_HOST_SPREAD_MS = 2_500;
/** Time that a new member waits for others that start together with it. */
const JOIN_SETTLE_MS = 1_000;

export interface MemberSelectionOptions {
    /** Processor cores that this host may use. */
    readonly processorCores: number;
    /** Returns a number from 0 to 1. */
    readonly random: () => number;
}

/**
 * Decides which gateways are members. Members hold order rights and plan, and some of them watch the key-value service;
 * all others read the copy of those. So the calls to the service don't grow with the number of gateways. Each gateway decides by itself,
 * and a few members too many do no harm.
 *
 * @example
 * const selection = new MemberSelection({ processorCores: 0.5, random: Math.random });
 * if (selection.shouldJoin(memberHosts, host, nowMs())) join();
 */
export class MemberSelection {
    private readonly options: MemberSelectionOptions;
    private joinAtMs: number | undefined;

    constructor(options: MemberSelectionOptions) {
        this.options = options;
    }

    /** @param memberHosts hosts of the members, the oldest first */
    shouldJoin(memberHosts: readonly string[], host: string, now: number): boolean {
        // After a restart the key of the process before still names this host, which then keeps its order rights.
        if (memberHosts.includes(host)) return !this.shouldLeave(memberHosts, host);
        if (memberHosts.length >= MIN_MEMBER_COUNT) {
            this.joinAtMs = undefined;
            return false;
        }
        this.joinAtMs ??= now + this.chooseDelayMs();
        return now >= this.joinAtMs;
    }

    /** @param memberHosts hosts of the members, the oldest first */
    shouldLeave(memberHosts: readonly string[], host: string): boolean {
        return memberHosts.indexOf(host) >= MAX_MEMBER_COUNT;
    }

    /** Time after which those that start together with a new member have joined, so that they share the engines. */
    get settleMs(): number {
        return JOIN_SETTLE_MS + (this.isPreferred ? 0 : OTHER_HOST_SPREAD_MS);
    }

    private get isPreferred(): boolean {
        return this.options.processorCores >= MIN_PREFERRED_CORES;
    }

    private chooseDelayMs(): number {
        return this.isPreferred ? 0 : OTHER_HOST_DELAY_MS + this.options.random() * OTHER_HOST_SPREAD_MS;
    }
}

/**
 * Selects the members that watch the key-value service: the oldest one of each data centre, since copies between data
 * centres cost bandwidth, and the oldest others up to a minimum.
 *
 * @param members the oldest first
 */
export function selectReaders(members: readonly GatewayMember[]): GatewayMember[] {
    const seen = new Set<string | undefined>();
    const readers = members.filter(({ dataCentre }) => {
        if (seen.has(dataCentre)) return false;
        seen.add(dataCentre);
        return true;
    });
    for (const member of members) {
        if (readers.length >= MIN_READER_COUNT) break;
        if (!readers.includes(member)) readers.push(member);
    }
    return readers;
}
