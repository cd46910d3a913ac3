import { z } from "zod";
import type { SecretDefinition, Setting, SettingTable } from "../types/setting.ts";
import { parsePeerKeys } from "../utils/secrets.ts";
import { addressSchema, httpUrlSchema, httpUrlsSchema, idSchema, integerSchema } from "./schemas.ts";

const ID_ACCEPTED = "1 to 128 of A-Z, a-z, 0-9, '.', '_', '-', starting with a letter or digit";
const ADDRESS_ACCEPTED = "IP:PORT, such as 127.0.0.1:8080 or [::1]:8080";

function defineSetting<Schema extends z.ZodType>(setting: Setting<Schema>): Setting<Schema> {
    return setting;
}

export function idSetting(name: string, description: string) {
    return defineSetting({ name, description, schema: idSchema, accepted: ID_ACCEPTED });
}

export function addressSetting(name: string, description: string, defaultText?: string) {
    const fallback = defaultText === undefined ? {} : { defaultText };
    return defineSetting({ name, description, schema: addressSchema, accepted: ADDRESS_ACCEPTED, ...fallback });
}

export function integerSetting(name: string, description: string, min: number, max: number, defaultText: string) {
    const accepted = `a whole number from ${min} to ${max}`;
    return defineSetting({ name, description, schema: integerSchema(min, max), accepted, defaultText });
}

export function urlSetting(name: string, description: string) {
    return defineSetting({ name, description, schema: httpUrlSchema, accepted: "an http or https URL" });
}

export function switchSetting(name: string, description: string) {
    const schema = z.enum(["true", "false"]).transform(text => text === "true");
    return defineSetting({
        name,
        description,
        schema,
        accepted: "true or false",
        defaultText: "false",
        isSwitch: true,
    });
}

/** Defines the environment variable of a secret; `secretFileSetting` defines the matching file setting. */
export function secretSetting(name: string, description: string, accepted: string) {
    return defineSetting({ name, description, schema: z.string().min(1).optional(), accepted, isSecret: true });
}

export function secretFileSetting(name: string, description: string) {
    return defineSetting({ name, description, schema: z.string().min(1).optional(), accepted: "a file's path" });
}

export const logLevelSetting = defineSetting({
    name: "log-level",
    description: "Least severe level that is logged.",
    schema: z.enum(["trace", "debug", "info", "warn", "error", "fatal"]),
    accepted: "trace, debug, info, warn, error or fatal",
    defaultText: "info",
});

/** Settings that routers and agents share. */
export const commonRoleSettingTable = {
    hostId: idSetting("host-id", "Id of this host in the host list."),
    dataCentre: idSetting("data-centre", "Data centre of this host."),
    kvEndpoints: defineSetting({
        name: "kv-endpoints",
        description: "Base URLs of the key-value service, separated by commas.",
        schema: httpUrlsSchema,
        accepted: "http or https URLs, separated by commas",
    }),
    kvTimeoutMs: integerSetting(
        "kv-timeout-ms",
        "Time limit of one call to the key-value service, in milliseconds.",
        10,
        60_000,
        "2000",
    ),
    hostsUrl: urlSetting("hosts-url", "URL of the host list."),
    hostsPollMs: integerSetting(
        "hosts-poll-ms",
        "Time between two reads of the host list, in milliseconds.",
        50,
        60_000,
        "1000",
    ),
    peerListen: addressSetting("peer-listen", "Address of the interface for other processes."),
    peerKeys: secretSetting(
        "peer-keys",
        "Keys between processes, separated by commas: the first is sent, each is accepted.",
        "keys separated by commas",
    ),
    peerKeysFile: secretFileSetting(
        "peer-keys-file",
        "File with one peer key a line; read again when it changes.",
    ),
    logLevel: logLevelSetting,
} satisfies SettingTable;

export const peerKeySecret: SecretDefinition = {
    valueSettingKey: "peerKeys",
    fileSettingKey: "peerKeysFile",
    parse: parsePeerKeys,
};
