import { createEtcdKeyValueStore, createHttpHostList, createMembership } from "@skylarkmill/adapters";
import { type DataCentre, type HostId, type ProcessId, toId } from "@skylarkmill/protocol";
import type bunyan from "bunyan";
import nodeProcess from "node:process";
import { openSecret, type SecretSource } from "../runtime/secret-source.ts";
import type { processSettings } from "../settings/common.ts";
import type { Role, RoleParts } from "../types/roles.ts";
import type { SettingValues } from "../types/setting.ts";
import { parsePeerKeys } from "../utils/secrets.ts";
import { createLogger } from "./logger.ts";
import { runUntilSignal } from "./run-until-signal.ts";

export type ProcessValues = SettingValues<typeof processSettings>;

export interface ProcessParts {
    readonly parts: RoleParts;
    readonly logger: bunyan;
    /** Opens a further secret and redacts its values from the log. */
    openSecret<Value>(secret: NamedSecret<Value>): SecretSource<Value>;
    close(): Promise<void>;
}

export interface NamedSecret<Value> {
    /** Name of the secret in log lines. */
    readonly name: string;
    readonly text: string | undefined;
    readonly file: string | undefined;
    readonly parse: (text: string) => Value;
    /** Returns the texts of a value that must be redacted from the log. */
    readonly texts: (value: Value) => Iterable<string>;
}

/** Creates the parts of a role from its settings. The start time in the process id makes it unique across restarts. */
export function createProcessParts(role: "router" | "agent", values: ProcessValues): ProcessParts {
    const secretTexts: (() => Iterable<string>)[] = [];
    const sources: SecretSource<unknown>[] = [];
    const allSecrets = function*(): Generator<string> {
        for (const secret of secretTexts) yield* secret();
    };
    const logger = createLogger({ role, hostId: values.hostId, level: values.logLevel, secrets: allSecrets });

    function openRedactedSecret<Value>({ name, texts, ...input }: NamedSecret<Value>): SecretSource<Value> {
        const source = openSecret({
            ...input,
            onReload: (outcome, reason) => {
                if (outcome === "reloaded") logger.info({ step: "secrets.read", secret: name }, "secret read again");
                else {logger.error(
                        { step: "secrets.read", secret: name, reason },
                        "changed secret can't be used; kept the former",
                    );}
            },
        });
        secretTexts.push(() => texts(source.current()));
        sources.push(source);
        return source;
    }

    const { peerKeys: text, peerKeysFile: file } = values;
    const peerKeys = openRedactedSecret({ name: "peer-keys", text, file, parse: parsePeerKeys, texts: keys => keys });
    const store = createEtcdKeyValueStore({ endpoints: values.kvEndpoints, timeoutMs: values.kvTimeoutMs });
    const hosts = createHttpHostList({ url: values.hostsUrl });
    const membership = createMembership({
        hostList: hosts,
        pollIntervalMs: values.hostsPollMs,
        onError: error =>
            logger.warn({ err: error, step: error.step, peer: error.peer }, "reading the host list failed"),
    });
    const parts: RoleParts = {
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
        parts,
        logger,
        openSecret: openRedactedSecret,
        close: async () => {
            membership.stop();
            for (const source of sources) source.close();
            await Promise.all([store.close(), hosts.close()]);
        },
    };
}

/** Logs uncaught errors, which end the process since its state is unknown; the platform then starts a new one. */
function logUncaughtErrors(logger: bunyan): void {
    nodeProcess.on("uncaughtExceptionMonitor", error => {
        logger.fatal({ err: error, step: "crash" }, "uncaught error; the process exits");
    });
}

/** Starts a role and runs it until a signal; resolves with the exit code. */
export async function runRole(process: ProcessParts, role: Role<object>): Promise<number> {
    const { parts, logger } = process;
    logUncaughtErrors(logger);
    parts.membership.start();
    const started = await role.start();
    if (started.isErr()) {
        const { error } = started;
        logger.fatal({ err: error, step: error.step, peer: error.peer }, "start failed");
        return 1;
    }
    logger.info({ step: "start", processId: parts.processId, ...started.value }, "listening");
    return runUntilSignal(async () => {
        logger.info({ step: "stop" }, "stopping after the requests in progress have finished");
        await role.stop();
        await process.close();
        logger.info({ step: "stop" }, "stopped");
    });
}
