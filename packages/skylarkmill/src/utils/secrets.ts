import { type ErrorContext, InvalidInputError, type TeamId, toId, UnavailableError } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";

/** Splits a text at commas and line ends; skips empty entries and `#` comments. */
function splitEntries(text: string): string[] {
    return text.split(/[\n,]/).map(entry => entry.trim()).filter(entry => entry !== "" && !entry.startsWith("#"));
}

/** Parses peer keys that are separated by commas or line ends. */
export function parsePeerKeys(text: string): readonly string[] {
    const keys = splitEntries(text);
    if (keys.length === 0) throw new RangeError("there is no peer key");
    return keys;
}

/** Parses `<team>=<token>` entries into a map from token to team. */
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

/**
 * Decodes the text of a secret's file. `UnavailableError`: the text is invalid and may be incomplete, since it doesn't end
 * with a line end.
 *
 * @example
 * const keys = decodeSecretFile("key-of-may\n", parsePeerKeys);
 */
export function decodeSecretFile<Value>(
    text: string,
    parse: (text: string) => Value,
): Result<Value, UnavailableError | InvalidInputError> {
    try {
        return ok(parse(text));
    }
    catch (cause) {
        const message = cause instanceof Error ? cause.message : String(cause);
        const context: ErrorContext = { step: "secrets.read", peer: "local", cause };
        if (!text.endsWith("\n")) return err(new UnavailableError(message, context));
        return err(new InvalidInputError(message, [], context));
    }
}
