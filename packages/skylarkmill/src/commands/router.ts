import { createProcessParts, runRole } from "../node/process-parts.ts";
import { routerSettings } from "../settings/commands.ts";
import type { ParsedArguments } from "../types/setting.ts";
import { parseTeamTokens } from "../utils/secrets.ts";
import { runWithSettings } from "../utils/with-settings.ts";

/** Runs a router until a signal; resolves with the exit code. */
export function runRouter(args: ParsedArguments): Promise<number> {
    return runWithSettings("router", routerSettings, args, async values => {
        const process = createProcessParts("router", values);
        const teamTokens = process.openSecret({
            name: "team-tokens",
            text: values.teamTokens,
            file: values.teamTokensFile,
            parse: parseTeamTokens,
            texts: tokens => tokens.keys(),
        });
        const { createRouter } = await import("@skylarkmill/router");
        const { listen, operatorListen } = values;
        return runRole(
            process,
            createRouter({ ...process.parts, listen, operatorListen, teamTokens: teamTokens.current }),
        );
    });
}
