import { createEtcdKeyValueStore, createHttpHostList, createMembership } from "@skylarkmill/adapters";
import { type DataCentre, type HostId, type ProcessId, toId } from "@skylarkmill/protocol";
import type bunyan from "bunyan";
import process from "node:process";
import { openSecretSource, type SecretSource } from "../runtime/secret-source.ts";
import type { commonRoleSettingTable } from "../settings/common.ts";
import type { CommonRoleOptions, Role } from "../types/roles.ts";
import type { SettingValues } from "../types/setting.ts";
import { parsePeerKeys } from "../utils/secrets.ts";
import { checkAddressSpace } from "./address-space.ts";
import { DAEMON_STOP_SIGNALS, logIgnoredSignals } from "./daemon-signals.ts";
import { createLogger } from "./logger.ts";
import { runUntilSignal, START_FAILURE_EXIT_CODE } from "./run-until-signal.ts";

export type CommonRoleSettingValues = SettingValues<typeof commonRoleSettingTable>;

/** Logger, secrets and common role options of one process. */
export interface ProcessContext {
    readonly commonOptions: CommonRoleOptions;
    readonly logger: bunyan;
    /** Opens a further secret and redacts its values from the log. */
    openRedactedSecret<Value>(secret: NamedSecret<Value>): SecretSource<Value>;
    close(): Promise<void>;
}

export interface NamedSecret<Value> {
    /** Name of the secret in log lines. */
    readonly name: string;
    /** See `SecretSourceOptions`. */
    readonly text: string | undefined;
    /** See `SecretSourceOptions`. */
    readonly file: string | undefined;
    readonly parse: (text: string) => Value;
    /** Returns the texts of a value that must be redacted from the log. */
    readonly textsToRedact: (value: Value) => Iterable<string>;
}

/**
 * Creates the logger, the secrets and the common options of a role from its settings. The process id contains the start
 * time, so that it is unique across restarts.
 */
export function createProcessContext(role: "router" | "agent", values: CommonRoleSettingValues): ProcessContext {
    const redactedTextSources: (() => Iterable<string>)[] = [];
    const sources: SecretSource<unknown>[] = [];
    const listTextsToRedact = function*(): Generator<string> {
        for (const listTexts of redactedTextSources) yield* listTexts();
    };
    const logger = createLogger({ role, hostId: values.hostId, level: values.logLevel, secrets: listTextsToRedact });

    function openRedactedSecret<Value>(
        { name, textsToRedact, ...sourceOptions }: NamedSecret<Value>,
    ): SecretSource<Value> {
        const source = openSecretSource({
            ...sourceOptions,
            onReload: (outcome, reason) => {
                if (outcome === "reloaded") logger.info({ step: "secrets.read", secret: name }, "secret reloaded");
                else {logger.error(
                        { step: "secrets.read", secret: name, reason },
                        "changed secret is invalid or unreadable; the previous value stays in force",
                    );}
            },
        });
        redactedTextSources.push(() => textsToRedact(source.current()));
        sources.push(source);
        return source;
    }

    const { peerKeys: text, peerKeysFile: file } = values;
    const peerKeys = openRedactedSecret({
        name: "peer-keys",
        text,
        file,
        parse: parsePeerKeys,
        textsToRedact: keys => keys,
    });
    const store = createEtcdKeyValueStore({ endpoints: values.kvEndpoints, timeoutMs: values.kvTimeoutMs });
    const hosts = createHttpHostList({ url: values.hostsUrl });
    const membership = createMembership({
        hostList: hosts,
        pollIntervalMs: values.hostsPollMs,
        onError: error =>
            logger.warn({ err: error, step: error.step, peer: error.peer }, "reading the host list failed"),
    });
    const commonOptions: CommonRoleOptions = {
        processId: toId<ProcessId>(`${values.hostId}.${Date.now().toString(36)}`),
        hostId: toId<HostId>(values.hostId),
        dataCentre: toId<DataCentre>(values.dataCentre),
        peerListen: values.peerListen,
        peerKeys: peerKeys.current,
        store,
        membership,
        logger,
    };
    return {
        commonOptions,
        logger,
        openRedactedSecret,
        close: async () => {
            membership.stop();
            for (const source of sources) source.close();
            await Promise.all([store.close(), hosts.close()]);
        },
    };
}

/** Logs uncaught errors, which end the process since its state is unknown; the platform then starts a new one. */
function logUncaughtErrors(logger: bunyan): void {
    process.on("uncaughtExceptionMonitor", error => {
        logger.fatal({ err: error, step: "crash" }, "uncaught error; the process exits");
    });
}

/** Starts a role and runs it until a signal; resolves with the exit code. */
export async function runRole(context: ProcessContext, role: Role<object>): Promise<number> {
    const { commonOptions, logger } = context;
    logUncaughtErrors(logger);
    const addressSpace = checkAddressSpace();
    if (addressSpace.isErr()) {
        const { error } = addressSpace;
        logger.fatal({ err: error, step: error.step, peer: error.peer }, "start failed");
        return START_FAILURE_EXIT_CODE;
    }
    commonOptions.membership.start();
    logIgnoredSignals(logger);
    let isStopping = false;
    // A signal also ends a start that waits for its ports.
    const startFailure = new Promise<number>(resolve => {
        void role.start().match(
            ports => logger.info({ step: "start", processId: commonOptions.processId, ...ports }, "listening"),
            error => {
                if (isStopping) return;
                logger.fatal({ err: error, step: error.step, peer: error.peer }, "start failed");
                resolve(START_FAILURE_EXIT_CODE);
            },
        );
    });
    const stopped = runUntilSignal(async () => {
        isStopping = true;
        logger.info({ step: "stop" }, "stopping after the requests in progress have finished");
        await role.stop();
        await context.close();
        logger.info({ step: "stop" }, "stopped");
    }, { logger, stopSignals: DAEMON_STOP_SIGNALS });
    return Promise.race([startFailure, stopped]);
}
