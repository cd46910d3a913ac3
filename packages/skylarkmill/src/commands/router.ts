import { createProcessContext, runRole } from "../node/process-context.ts";
import { routerSettings } from "../settings/commands.ts";
import type { ParsedArguments } from "../types/setting.ts";
import { parseTeamTokens } from "../utils/secrets.ts";
import { runWithSettings } from "../utils/with-settings.ts";

/** Runs a router until a signal; resolves with the exit code. */
export function runRouter(args: ParsedArguments): Promise<number> {
    return runWithSettings("router", routerSettings, args, async values => {
        const context = createProcessContext("router", values);
        const teamTokens = context.openRedactedSecret({
            name: "team-tokens",
            text: values.teamTokens,
            file: values.teamTokensFile,
            parse: parseTeamTokens,
            textsToRedact: tokens => tokens.keys(),
        });
        const { createRouter } = await import("@skylarkmill/router");
        const { listen, operatorListen } = values;
        return runRole(
            context,
            createRouter({ ...context.commonOptions, listen, operatorListen, teamTokens: teamTokens.current }),
        );
    });
}
