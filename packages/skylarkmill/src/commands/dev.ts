import { createLogger } from "../node/logger.ts";
import { runUntilSignal } from "../node/run-until-signal.ts";
import { devSettings } from "../settings/commands.ts";
import type { ParsedArguments } from "../types/setting.ts";
import { runWithSettings } from "../utils/with-settings.ts";

function isGiven(args: ParsedArguments, name: string, variable: string): boolean {
    return args.flags[name] !== undefined || process.env[variable] !== undefined;
}

/** Runs all roles in one process on embedded stand-ins, as a demonstration with `--once`. */
export function runDev(args: ParsedArguments): Promise<number> {
    return runWithSettings("dev", devSettings, args, async values => {
        const { startDevCluster } = await import("../dev/dev-cluster.ts");
        // A demonstration takes free ports unless it is told otherwise, so that several can run at once.
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
            journal: values.journal,
            logger,
        });
        if (values.once) {
            const { runDemonstration } = await import("../dev/demonstration.ts");
            const passed = await runDemonstration(cluster, line => process.stdout.write(`${line}\n`));
            await cluster.close();
            return passed ? 0 : 1;
        }
        for (const line of cluster.describe()) process.stdout.write(`${line}\n`);
        return runUntilSignal(() => cluster.close());
    });
}
