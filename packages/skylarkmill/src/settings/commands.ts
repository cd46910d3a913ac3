import { z } from "zod";
import type { CommandSettings, SettingTable } from "../types/setting.ts";
import { parseTeamTokens } from "../utils/secrets.ts";
import {
    addressSetting,
    commonRoleSettingTable,
    idSetting,
    integerSetting,
    logLevelSetting,
    peerKeySecret,
    secretFileSetting,
    secretSetting,
    switchSetting,
    urlSetting,
} from "./common.ts";
import { gatewaySettings } from "./gateway.ts";
import { addressSchema, httpUrlsSchema, idsSchema, positiveNumberSchema } from "./schemas.ts";

function defineCommandSettings<Table extends SettingTable>(settings: CommandSettings<Table>): CommandSettings<Table> {
    return settings;
}

/** Upper bound of settings that are durations. */
const MAX_DURATION_MS = 600_000;

export const routerSettings = defineCommandSettings({
    table: {
        ...commonRoleSettingTable,
        listen: addressSetting("listen", "Address of the callers' interface.", "127.0.0.1:8080"),
        operatorListen: addressSetting("operator-listen", "Address of the operators' interface.", "127.0.0.1:8081"),
        teamTokens: secretSetting(
            "team-tokens",
            "Operators' tokens, as <team>=<token> separated by commas; a team may have several.",
            "<team>=<token> separated by commas",
        ),
        teamTokensFile: secretFileSetting(
            "team-tokens-file",
            "File with one <team>=<token> a line; read again when it changes.",
        ),
    },
    secrets: [peerKeySecret, {
        valueSettingKey: "teamTokens",
        fileSettingKey: "teamTokensFile",
        parse: parseTeamTokens,
    }],
});

export const agentSettings = defineCommandSettings({
    table: {
        ...commonRoleSettingTable,
        serverId: idSetting("server-id", "Id of the backend server beside this agent."),
        serviceId: idSetting("service-id", "Service whose requests the backend server runs."),
        requestListen: addressSetting("request-listen", "Address of the interface for routers' requests."),
        backendUrl: urlSetting("backend-url", "Base URL of the backend server."),
        backendKind: {
            name: "backend-kind",
            description: "Whether the backend server is a model engine or a plain service.",
            schema: z.enum(["model", "plain"]),
            accepted: "model or plain",
            defaultText: "model",
        },
        maxConnections: integerSetting("max-connections", "Connections to the backend server.", 1, 10_000, "256"),
    },
    secrets: [peerKeySecret],
});

export const devSettings = defineCommandSettings({
    table: {
        listen: addressSetting("listen", "Address of the first router's callers' interface.", "127.0.0.1:8080"),
        operatorListen: addressSetting(
            "operator-listen",
            "Address of the first router's operators' interface; port 0 takes a free one.",
            "127.0.0.1:0",
        ),
        journal: {
            name: "journal",
            description: "Address of `GET /journal`, the events of all stand-ins; left out, it is not served.",
            schema: addressSchema.optional(),
            accepted: "IP:PORT",
        },
        once: switchSetting("once", "Run the demonstration sequence, print its table and exit."),
        logLevel: { ...logLevelSetting, defaultText: "warn" },
    },
});

const listen = addressSetting("listen", "Address of the stand-in.", "127.0.0.1:0");

export const keyValueStandInSettings = defineCommandSettings({
    table: {
        listen,
        callMs: integerSetting("call-ms", "Time that each call takes, in milliseconds.", 0, MAX_DURATION_MS, "0"),
    },
});

export const hostListStandInSettings = defineCommandSettings({
    table: {
        listen,
        lagMs: integerSetting("lag-ms", "Time until readers see a change, in milliseconds.", 0, MAX_DURATION_MS, "0"),
        hostsFile: {
            name: "hosts-file",
            description: 'JSON file with the list at the start, as {"hosts": [...]}.',
            schema: z.string().min(1).optional(),
            accepted: "a file's path",
        },
    },
});

export const engineStandInSettings = defineCommandSettings({
    table: {
        listen,
        standInName: idSetting("stand-in-name", "Name in the journal."),
        memorySizeBytes: integerSetting(
            "memory-size-bytes",
            "Memory for models.",
            1,
            Number.MAX_SAFE_INTEGER,
            "3000000000",
        ),
        slotCount: integerSetting("slot-count", "Requests that run at the same time.", 1, 4096, "8"),
        tokensPerSecond: {
            name: "tokens-per-second",
            description: "Tokens per second of each running request.",
            schema: positiveNumberSchema(100_000),
            accepted: "a number above 0, at most 100000",
            defaultText: "200",
        },
        prefillMs: integerSetting(
            "prefill-ms",
            "Time until the first token of an uncached prompt.",
            0,
            MAX_DURATION_MS,
            "10",
        ),
        loadMemoryMs: integerSetting(
            "load-memory-ms",
            "Load time of a checkpoint in host memory.",
            0,
            MAX_DURATION_MS,
            "100",
        ),
        loadDiskMs: integerSetting("load-disk-ms", "Load time of a checkpoint on disk.", 0, MAX_DURATION_MS, "400"),
        loadRemoteMs: integerSetting("load-remote-ms", "Load time of a remote checkpoint.", 0, MAX_DURATION_MS, "1000"),
        unloadMs: integerSetting("unload-ms", "Time of an unload.", 0, MAX_DURATION_MS, "20"),
        checksFencing: switchSetting("checks-fencing", "Refuse orders with an old fencing token."),
        cachedModels: {
            name: "cached-models",
            description: "Models whose checkpoint lies on disk at the start, separated by commas.",
            schema: idsSchema,
            accepted: "model ids separated by commas",
            defaultText: "",
        },
    },
});

export const serviceStandInSettings = defineCommandSettings({
    table: {
        listen,
        standInName: idSetting("stand-in-name", "Name in the journal and in order numbers."),
        workMs: integerSetting("work-ms", "Time of one request, in milliseconds.", 0, MAX_DURATION_MS, "5"),
    },
});

export const faultProxySettings = defineCommandSettings({
    table: {
        listen,
        target: addressSetting("target", "Address to which connections are forwarded."),
        control: addressSetting("control", "Address of `PUT /control/faults`.", "127.0.0.1:0"),
    },
});

export const loadTestSettings = defineCommandSettings({
    table: {
        targets: {
            name: "targets",
            description: "Base URLs of routers, separated by commas; requests take them in turn.",
            schema: httpUrlsSchema,
            accepted: "http or https URLs, separated by commas",
        },
        models: {
            name: "models",
            description: "Models that requests name in turn, separated by commas.",
            schema: idsSchema.pipe(z.array(z.string()).min(1)),
            accepted: "model ids separated by commas",
        },
        requestsPerSecond: {
            name: "requests-per-second",
            description: "Requests started per second, whether or not earlier ones have been answered.",
            schema: positiveNumberSchema(10_000),
            accepted: "a number above 0, at most 10000",
            defaultText: "10",
        },
        durationMs: integerSetting("duration-ms", "Time for which requests are started.", 1, 86_400_000, "10000"),
        timeoutMs: integerSetting("timeout-ms", "Deadline of each request.", 1, MAX_DURATION_MS, "30000"),
        maxTokens: integerSetting("max-tokens", "Tokens of each answer.", 1, 100_000, "32"),
        stream: switchSetting("stream", "Ask for streamed answers."),
    },
});

/** Settings of all commands, by the command's name. */
export const COMMAND_SETTINGS: Readonly<Record<string, CommandSettings>> = {
    "router": routerSettings,
    "gateway": gatewaySettings,
    "agent": agentSettings,
    "dev": devSettings,
    "stand-in kv": keyValueStandInSettings,
    "stand-in hosts": hostListStandInSettings,
    "stand-in engine": engineStandInSettings,
    "stand-in service": serviceStandInSettings,
    "stand-in proxy": faultProxySettings,
    "stand-in load": loadTestSettings,
};
