import { acceptsKey } from "@skylarkmill/coordination";
import type { TeamId } from "@skylarkmill/protocol";

/**
 * Finds the team of a bearer token. All tokens are compared, in constant time each,
 * so that the duration says nothing about a token.
 *
 * @example
 * findTeam("Bearer secret", new Map([["secret", toId<TeamId>("parts")]])); // "parts"
 */
export function findTeam(
    authorization: string | undefined,
    teamTokens: ReadonlyMap<string, TeamId>,
): TeamId | undefined {
    if (authorization === undefined || !/^Bearer \S+$/i.test(authorization)) return undefined;
    let found: TeamId | undefined;
    for (const [token, team] of teamTokens) {
        if (acceptsKey(authorization, [token])) found = team;
    }
    return found;
}
