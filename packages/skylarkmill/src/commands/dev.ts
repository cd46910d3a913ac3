import { createLogger } from "../node/logger.ts";
import { runUntilSignal } from "../node/run-until-signal.ts";
import { devSettings } from "../settings/commands.ts";
import type { ParsedArguments } from "../types/setting.ts";
import { runWithSettings } from "../utils/with-settings.ts";

/** Returns whether a setting was given as a flag or an environment variable, not by its default. */
function isGiven(args: ParsedArguments, name: string, variable: string): boolean {
    return args.flags[name] !== undefined || process.env[variable] !== undefined;
}

/**
 * Runs all roles in one process on embedded stand-ins until a signal; with `--once`, runs the demonstration and exits.
 * Resolves with the exit code.
 */
export function runDev(args: ParsedArguments): Promise<number> {
    return runWithSettings("dev", devSettings, args, async values => {
        const { startDevCluster } = await import("../dev/dev-cluster.ts");
        // A demonstration listens on a free port unless an address was given, so that several can run at the same time.
        const usesFreePort = values.once && !isGiven(args, "listen", "SKYLARKMILL_LISTEN");
        const listen = usesFreePort ? { ...values.listen, port: 0 } : values.listen;
        const logger = createLogger({
            role: "dev",
            hostId: "dev",
            level: values.logLevel,
            secrets: () => [],
            output: process.stderr,
        });
        const cluster = await startDevCluster({
            listen,
            operatorListen: values.operatorListen,
            journalListen: values.journal,
            logger,
        });
        if (values.once) {
            const { runDemonstration } = await import("../dev/demonstration.ts");
            const haveAllPassed = await runDemonstration(cluster, line => process.stdout.write(`${line}\n`));
            await cluster.close();
            return haveAllPassed ? 0 : 1;
        }
        for (const line of cluster.describeAddresses()) process.stdout.write(`${line}\n`);
        return runUntilSignal(() => cluster.close());
    });
}
