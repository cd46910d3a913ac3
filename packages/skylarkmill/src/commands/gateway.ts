import { Gateway } from "@skylarkmill/gateway";
import { decodeSettings, toGatewayOptions } from "@skylarkmill/platform";
import { DemandEngineModelsPolicy, FixedEngineModelsPolicy } from "@skylarkmill/policy";
import { hostname } from "node:os";
import { checkAddressSpace } from "../node/address-space.ts";
import { readAwaitedFile } from "../node/awaited-file.ts";
import { DAEMON_STOP_SIGNALS, logIgnoredSignals } from "../node/daemon-signals.ts";
import { createLogger } from "../node/logger.ts";
import { runUntilSignal, START_FAILURE_EXIT_CODE } from "../node/run-until-signal.ts";
import { gatewaySettings } from "../settings/gateway.ts";
import type { ParsedArguments } from "../types/setting.ts";
import { toDisplayName } from "../utils/setting-names.ts";
import { runWithSettings } from "../utils/with-settings.ts";

const USAGE_ERROR_EXIT_CODE = 2;

/** Runs a gateway on the platform until a signal; resolves with the exit code. */
export function runGateway(args: ParsedArguments): Promise<number> {
    return runWithSettings("gateway", gatewaySettings, args, async values => {
        const decoded = await readAwaitedFile({
            path: values.nodeFile,
            step: "settings.read",
            decode: decodeSettings,
            // The host's id is in the file.
            logger: createLogger({ role: "gateway", hostId: hostname(), level: values.logLevel, secrets: () => [] }),
        });
        if (decoded === undefined) return 0;
        if (decoded.isErr()) {
            const name = toDisplayName(gatewaySettings.table.nodeFile);
            const path = JSON.stringify(values.nodeFile);
            process.stderr.write(`skylarkmill gateway: ${name}: ${path} can't be used: ${decoded.error.message}\n`);
            return USAGE_ERROR_EXIT_CODE;
        }
        const { settings, replacedFields } = decoded.value;
        const hostId = settings.node_name;
        const logger = createLogger({ role: "gateway", hostId, level: values.logLevel, secrets: () => [] });
        if (replacedFields.length > 0) {
            logger.warn(
                { step: "settings.read", peer: values.nodeFile, fields: replacedFields },
                "settings without a usable value; the values in use are listed",
            );
        }
        const addressSpace = checkAddressSpace();
        if (addressSpace.isErr()) {
            const { error } = addressSpace;
            logger.fatal({ step: error.step, peer: error.peer, err: error }, "start failed");
            return START_FAILURE_EXIT_CODE;
        }
        const gateway = new Gateway(toGatewayOptions(settings, {
            maxStoreLoadCount: values.storeLoads,
            enginePolicy: values.enginePolicy === "fixed"
                ? new FixedEngineModelsPolicy()
                : new DemandEngineModelsPolicy(),
            serverRanking: values.serverChoice,
            logger,
        }));
        // An exception that escapes from one request must not end the other requests, so it is only logged.
        process.on(
            "uncaughtException",
            error => logger.error({ step: "process", err: error }, "uncaught exception; the gateway continues"),
        );
        logIgnoredSignals(logger);
        // A signal also ends a start that waits for its ports.
        const startFailure = new Promise<number>(resolve => {
            void gateway.start().mapErr(error => {
                logger.fatal({ step: error.step, peer: error.peer, err: error }, "start failed");
                resolve(START_FAILURE_EXIT_CODE);
            });
        });
        return Promise.race([
            startFailure,
            runUntilSignal(() => gateway.stop(), { logger, stopSignals: DAEMON_STOP_SIGNALS }),
        ]);
    });
}
