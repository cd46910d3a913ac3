import {
    createEngineStandIn,
    createFaultProxy,
    createHostListStandIn,
    createKeyValueStandIn,
    createServiceStandIn,
    runLoadTest,
    type StandInHost,
} from "@skylarkmill/stand-ins";
import { readFileSync } from "node:fs";
import { runUntilSignal } from "../node/run-until-signal.ts";
import {
    engineStandInSettings,
    faultProxySettings,
    hostListStandInSettings,
    keyValueStandInSettings,
    loadTestSettings,
    serviceStandInSettings,
} from "../settings/commands.ts";
import type { ParsedArguments } from "../types/setting.ts";
import { runWithSettings } from "../utils/with-settings.ts";

interface ClosableStandIn {
    readonly close: () => Promise<void>;
}

/** Prints the address of a started stand-in as one JSON line, then runs it until a signal. */
function runStandIn(fields: object, standIn: ClosableStandIn): Promise<number> {
    process.stdout.write(`${JSON.stringify({ msg: "stand-in listening", ...fields })}\n`);
    return runUntilSignal(() => standIn.close());
}

export function runKeyValueStandIn(args: ParsedArguments): Promise<number> {
    return runWithSettings("stand-in kv", keyValueStandInSettings, args, async values => {
        const standIn = await createKeyValueStandIn(values);
        return runStandIn({ kind: "kv", url: standIn.url }, standIn);
    });
}

export function runHostListStandIn(args: ParsedArguments): Promise<number> {
    return runWithSettings("stand-in hosts", hostListStandInSettings, args, async values => {
        const { hostsFile } = values;
        const list = hostsFile === undefined
            ? { hosts: [] }
            : JSON.parse(readFileSync(hostsFile, "utf8")) as { readonly hosts: StandInHost[]; };
        const standIn = await createHostListStandIn({ ...values, hosts: list.hosts });
        return runStandIn({ kind: "hosts", url: standIn.url }, standIn);
    });
}

export function runEngineStandIn(args: ParsedArguments): Promise<number> {
    return runWithSettings("stand-in engine", engineStandInSettings, args, async values => {
        const standIn = await createEngineStandIn({
            ...values,
            name: values.standInName,
            loadMs: { memory: values.loadMemoryMs, disk: values.loadDiskMs, remote: values.loadRemoteMs },
            cachedModelIds: values.cachedModels,
        });
        return runStandIn({ kind: "engine", name: values.standInName, url: standIn.url }, standIn);
    });
}

export function runServiceStandIn(args: ParsedArguments): Promise<number> {
    return runWithSettings("stand-in service", serviceStandInSettings, args, async values => {
        const standIn = await createServiceStandIn({ ...values, name: values.standInName });
        return runStandIn({ kind: "service", name: values.standInName, url: standIn.url }, standIn);
    });
}

export function runFaultProxy(args: ParsedArguments): Promise<number> {
    return runWithSettings("stand-in proxy", faultProxySettings, args, async values => {
        const proxy = await createFaultProxy(values);
        const { host, port, control } = proxy;
        return runStandIn({ kind: "proxy", address: `${host}:${port}`, controlUrl: control?.url }, proxy);
    });
}

export function runLoadTestCommand(args: ParsedArguments): Promise<number> {
    return runWithSettings("stand-in load", loadTestSettings, args, async values => {
        const report = await runLoadTest(values);
        process.stdout.write(`${JSON.stringify(report)}\n`);
        return 0;
    });
}
