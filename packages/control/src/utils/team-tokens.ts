import { acceptsKey } from "@skylarkmill/coordination";
import type { TeamId } from "@skylarkmill/protocol";

/**
 * Finds the team of a bearer token. Every team's tokens are compared, in constant time each,
 * so that the duration says nothing about a token.
 *
 * @example
 * findTeam("Bearer secret", new Map([[toId<TeamId>("parts"), ["secret"]]])); // "parts"
 */
export function findTeam(
    authorization: string | undefined,
    teamTokens: ReadonlyMap<TeamId, readonly string[]>,
): TeamId | undefined {
    if (authorization === undefined || !/^Bearer \S+$/i.test(authorization)) return undefined;
    let found: TeamId | undefined;
    for (const [team, tokens] of teamTokens) {
        for (const token of tokens) {
            if (acceptsKey(authorization, [token])) found ??= team;
        }
    }
    return found;
}
