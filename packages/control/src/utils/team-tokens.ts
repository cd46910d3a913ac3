import { isAcceptedSecret } from "@skylarkmill/coordination";
import type { TeamId } from "@skylarkmill/protocol";

/**
 * Finds the team that a bearer token authenticates. Every known token is compared in constant time, so that the
 * response time reveals nothing about the tokens.
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
        if (isAcceptedSecret(authorization, [token])) found = team;
    }
    return found;
}
