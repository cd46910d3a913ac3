import { type TeamId, toId } from "@skylarkmill/protocol";

function splitEntries(text: string): string[] {
    return text.split(/[\n,]/).map(entry => entry.trim()).filter(entry => entry !== "" && !entry.startsWith("#"));
}

/** Reads peer keys, separated by commas or line ends. */
export function parsePeerKeys(text: string): readonly string[] {
    const keys = splitEntries(text);
    if (keys.length === 0) throw new RangeError("there is no peer key");
    return keys;
}

/** Reads `<team>=<token>` entries into the team of each token. */
export function parseTeamTokens(text: string): ReadonlyMap<string, TeamId> {
    const teams = new Map<string, TeamId>();
    for (const [index, entry] of splitEntries(text).entries()) {
        const end = entry.indexOf("=");
        if (end <= 0 || end === entry.length - 1) throw new RangeError(`entry ${index + 1} is not <team>=<token>`);
        const token = entry.slice(end + 1).trim();
        if (teams.has(token)) throw new RangeError(`entry ${index + 1} repeats a token`);
        teams.set(token, toId<TeamId>(entry.slice(0, end).trim()));
    }
    if (teams.size === 0) throw new RangeError("there is no team token");
    return teams;
}
