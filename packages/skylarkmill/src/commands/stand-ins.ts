import {
    createEngineStandIn,
    createFaultProxy,
    createHostListStandIn,
    createKeyValueStandIn,
    createServiceStandIn,
    runLoad as sendLoad,
    type StandInHost,
} from "@skylarkmill/stand-ins";
import { readFileSync } from "node:fs";
import { runUntilSignal } from "../node/run-until-signal.ts";
import {
    engineStandInSettings,
    hostsStandInSettings,
    kvStandInSettings,
    loadToolSettings,
    proxyStandInSettings,
    serviceStandInSettings,
} from "../settings/commands.ts";
import type { ParsedArguments } from "../types/setting.ts";
import { withSettings } from "../utils/with-settings.ts";

interface Running {
    readonly close: () => Promise<void>;
}

/** Prints where a stand-in listens, as one JSON line, then runs until a signal. */
function serve(fields: object, running: Running): Promise<number> {
    process.stdout.write(`${JSON.stringify({ msg: "stand-in listening", ...fields })}\n`);
    return runUntilSignal(() => running.close());
}

export function runKv(args: ParsedArguments): Promise<number> {
    return withSettings("stand-in kv", kvStandInSettings, args, async values => {
        const standIn = await createKeyValueStandIn(values);
        return serve({ kind: "kv", url: standIn.url }, standIn);
    });
}

export function runHosts(args: ParsedArguments): Promise<number> {
    return withSettings("stand-in hosts", hostsStandInSettings, args, async values => {
        const { hostsFile } = values;
        const list = hostsFile === undefined
            ? { hosts: [] }
            : JSON.parse(readFileSync(hostsFile, "utf8")) as { readonly hosts: StandInHost[]; };
        const standIn = await createHostListStandIn({ ...values, hosts: list.hosts });
        return serve({ kind: "hosts", url: standIn.url }, standIn);
    });
}

export function runEngine(args: ParsedArguments): Promise<number> {
    return withSettings("stand-in engine", engineStandInSettings, args, async values => {
        const standIn = await createEngineStandIn({
            ...values,
            name: values.standInName,
            loadMs: { memory: values.loadMemoryMs, disk: values.loadDiskMs, remote: values.loadRemoteMs },
            cachedModelIds: values.cachedModels,
        });
        return serve({ kind: "engine", name: values.standInName, url: standIn.url }, standIn);
    });
}

export function runService(args: ParsedArguments): Promise<number> {
    return withSettings("stand-in service", serviceStandInSettings, args, async values => {
        const standIn = await createServiceStandIn({ ...values, name: values.standInName });
        return serve({ kind: "service", name: values.standInName, url: standIn.url }, standIn);
    });
}

export function runProxy(args: ParsedArguments): Promise<number> {
    return withSettings("stand-in proxy", proxyStandInSettings, args, async values => {
        const proxy = await createFaultProxy(values);
        const { host, port, control } = proxy;
        return serve({ kind: "proxy", address: `${host}:${port}`, controlUrl: control?.url }, proxy);
    });
}

export function runLoad(args: ParsedArguments): Promise<number> {
    return withSettings("stand-in load", loadToolSettings, args, async values => {
        const report = await sendLoad(values);
        process.stdout.write(`${JSON.stringify(report)}\n`);
        return 0;
    });
}
