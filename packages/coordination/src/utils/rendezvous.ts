import { createHash } from "node:crypto";

function computeWeight(key: string, member: string): bigint {
    return createHash("sha256").update(key).update("\0").update(member).digest().readBigUInt64BE(0);
}

/**
 * Orders members by highest random weight (rendezvous) hashing for a key.
 * When a member leaves, only the keys assigned to it move to other members.
 *
 * @example
 * const [holder] = rankByRendezvous("model_load", ["router-1", "router-2"]);
 */
export function rankByRendezvous<Member extends string>(key: string, members: readonly Member[]): Member[] {
    return members
        .map(member => ({ member, weight: computeWeight(key, member) }))
        .sort((a, b) => (a.weight === b.weight ? (a.member < b.member ? -1 : 1) : a.weight < b.weight ? 1 : -1))
        .map(entry => entry.member);
}
