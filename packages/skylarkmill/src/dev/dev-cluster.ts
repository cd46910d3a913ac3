import {
    createBackendClient,
    createEtcdKeyValueStore,
    createHttpHostList,
    createMembership,
    createTritonEngineControl,
} from "@skylarkmill/adapters";
import { createAgent } from "@skylarkmill/agent";
import { KEYS, sampleDocument } from "@skylarkmill/config";
import { encodeStoredRecord } from "@skylarkmill/coordination";
import {
    type DataCentre,
    type EditId,
    type HostId,
    type ProcessId,
    type ServerId,
    type ServiceId,
    type TeamId,
    toId,
} from "@skylarkmill/protocol";
import { createRouter, type RouterPorts } from "@skylarkmill/router";
import {
    createEngineStandIn,
    createHostListStandIn,
    createKeyValueStandIn,
    createServiceStandIn,
    createWeightStoreStandIn,
    type HostListStandIn,
    type JournalEvent,
    type KeyValueStandIn,
    type StandIn,
    type StandInHost,
} from "@skylarkmill/stand-ins";
import type bunyan from "bunyan";
import { randomBytes } from "node:crypto";
import type { Address } from "../settings/schemas.ts";
import type { CommonRoleOptions, Role } from "../types/roles.ts";
import { serveJournal } from "./journal-server.ts";

export interface DevClusterOptions {
    readonly listen: Address;
    readonly operatorListen: Address;
    readonly journalListen: Address | undefined;
    readonly logger: bunyan;
}

export interface DevCluster {
    /** Base URLs on which the routers accept requests from callers. */
    readonly routerUrls: readonly string[];
    /** Base URLs of the routers' operator interfaces. */
    readonly operatorUrls: readonly string[];
    readonly modelIds: readonly string[];
    /** Credentials of the team that owns the section with the model service. */
    readonly operatorCredentials: { readonly team: string; readonly section: string; readonly token: string; };
    readonly keyValue: KeyValueStandIn;
    /** Returns the journal events of all stand-ins, oldest first. */
    events(): readonly JournalEvent[];
    /** Returns the lines with all addresses that are printed after the start. */
    describeAddresses(): readonly string[];
    close(): Promise<void>;
}

const LOCAL_ADDRESS: Address = { host: "127.0.0.1", port: 0 };
const MODEL_SERVICE = "workshop-assistant";
const PLAIN_SERVICE = "parts-ledger";
const ENGINE_COUNT = 4;
const LEDGER_SERVER_COUNT = 3;
const ROUTER_COUNT = 3;
const DATA_CENTRES = ["edinburgh", "glasgow", "dundee"];
const ENGINE_MEMORY_BYTES = 3_000_000_000;
const HOST_LIST_POLL_INTERVAL_MS = 500;

/** Collects the started roles and stand-ins and closes them in reverse order of their start. */
class DevClusterBuilder {
    readonly closeCallbacks: (() => Promise<void>)[] = [];
    readonly standIns: StandIn[] = [];
    readonly hosts: StandInHost[] = [];
    readonly peerKey = randomBytes(24).toString("base64url");
    readonly tokens = new Map<string, TeamId>();
    private readonly options: DevClusterOptions;

    constructor(options: DevClusterOptions) {
        this.options = options;
    }

    addStandIn<S extends StandIn>(standIn: S): S {
        this.standIns.push(standIn);
        this.closeCallbacks.push(() => standIn.close());
        return standIn;
    }

    createCommonRoleOptions(
        hostId: string,
        index: number,
        keyValue: StandIn,
        hostList: HostListStandIn,
    ): CommonRoleOptions {
        const store = createEtcdKeyValueStore({ endpoints: [keyValue.url] });
        const list = createHttpHostList({ url: `${hostList.url}/hosts` });
        const membership = createMembership({ hostList: list, pollIntervalMs: HOST_LIST_POLL_INTERVAL_MS });
        membership.start();
        this.closeCallbacks.push(async () => {
            membership.stop();
            await Promise.all([store.close(), list.close()]);
        });
        return {
            processId: toId<ProcessId>(`${hostId}.${Date.now().toString(36)}`),
            hostId: toId<HostId>(hostId),
            dataCentre: toId<DataCentre>(dataCentreOf(index)),
            peerListen: LOCAL_ADDRESS,
            peerKeys: () => [this.peerKey],
            store,
            membership,
            logger: this.options.logger.child({ hostId }),
        };
    }

    async startRole<Ports>(role: Role<Ports>): Promise<Ports> {
        const started = await role.start();
        if (started.isErr()) throw started.error;
        this.closeCallbacks.push(() => role.stop());
        return started.value;
    }

    addHost(hostId: string, index: number, fields: Readonly<Record<string, unknown>>): void {
        this.hosts.push({
            hostId,
            dataCentre: dataCentreOf(index),
            state: "live",
            address: LOCAL_ADDRESS.host,
            ...fields,
        });
    }

    async close(): Promise<void> {
        for (const close of this.closeCallbacks.splice(0).reverse()) await close();
    }
}

function dataCentreOf(index: number): string {
    return DATA_CENTRES[index % DATA_CENTRES.length]!;
}

/**
 * Writes the sample configuration to the key-value stand-in in the stored form that operator edits produce, and adds
 * a token for each team. Returns the credentials for the section with the model service.
 */
function writeSampleConfig(keyValue: KeyValueStandIn, tokens: Map<string, TeamId>): DevCluster["operatorCredentials"] {
    let operatorCredentials: DevCluster["operatorCredentials"] | undefined;
    for (const [name, section] of sampleDocument("dev")) {
        const key = KEYS.config(name);
        const record = {
            key,
            version: 1,
            nonce: randomBytes(8).toString("hex"),
            editId: toId<EditId>(`seed-${name}`),
            writtenAtMs: Date.now(),
            previousEditIds: [],
            value: section,
        };
        keyValue.state.apply([{ kind: "put", key, value: encodeStoredRecord(record), leaseId: undefined }]);
        const token = `dev-${section.team}`;
        tokens.set(token, section.team);
        if (MODEL_SERVICE in section.services) operatorCredentials = { team: section.team, section: name, token };
    }
    if (operatorCredentials === undefined) throw new Error(`the sample configuration has no service ${MODEL_SERVICE}`);
    return operatorCredentials;
}

async function startAgents(builder: DevClusterBuilder, keyValue: StandIn, hostList: HostListStandIn): Promise<void> {
    const weightStore = createWeightStoreStandIn();
    for (let index = 0; index < ENGINE_COUNT + LEDGER_SERVER_COUNT; index++) {
        const isEngine = index < ENGINE_COUNT;
        const name = isEngine ? `engine-${index + 1}` : `ledger-${index - ENGINE_COUNT + 1}`;
        const standIn = builder.addStandIn(
            isEngine
                ? await createEngineStandIn({
                    listen: LOCAL_ADDRESS,
                    name,
                    memorySizeBytes: ENGINE_MEMORY_BYTES,
                    weightStore,
                })
                : await createServiceStandIn({ listen: LOCAL_ADDRESS, name }),
        );
        const serviceId = isEngine ? MODEL_SERVICE : PLAIN_SERVICE;
        const hostId = `host-${name}`;
        const ports = await builder.startRole(createAgent({
            ...builder.createCommonRoleOptions(hostId, index, keyValue, hostList),
            serverId: toId<ServerId>(name),
            serviceId: toId<ServiceId>(serviceId),
            requestListen: LOCAL_ADDRESS,
            engineControl: isEngine ? createTritonEngineControl({ baseUrl: standIn.url }) : undefined,
            backend: createBackendClient({ baseUrl: standIn.url, maxConnections: 256 }),
        }));
        builder.addHost(hostId, index, { role: "backend", serverId: name, serviceId, ...ports });
    }
}

async function startRouters(
    builder: DevClusterBuilder,
    options: DevClusterOptions,
    keyValue: StandIn,
    hostList: HostListStandIn,
): Promise<readonly RouterPorts[]> {
    const routers: RouterPorts[] = [];
    for (let index = 0; index < ROUTER_COUNT; index++) {
        const hostId = `host-router-${index + 1}`;
        const ports = await builder.startRole(createRouter({
            ...builder.createCommonRoleOptions(hostId, index, keyValue, hostList),
            listen: index === 0 ? options.listen : LOCAL_ADDRESS,
            operatorListen: index === 0 ? options.operatorListen : LOCAL_ADDRESS,
            teamTokens: () => builder.tokens,
        }));
        routers.push(ports);
        builder.addHost(hostId, index, { role: "router", peerPort: ports.peerPort, requestPort: ports.port });
    }
    return routers;
}

function mergeEvents(standIns: readonly StandIn[]): readonly JournalEvent[] {
    return standIns.flatMap(standIn => standIn.journal.list()).sort((a, b) => a.atMs - b.atMs || a.seq - b.seq);
}

/**
 * Starts the sample deployment in this process: 4 model engines and 3 servers of the parts ledger, each with its
 * agent, and 3 routers, on embedded stand-ins for the key-value service and the host list.
 *
 * @example
 * const cluster = await startDevCluster({ listen, operatorListen, journalListen: undefined, logger });
 */
export async function startDevCluster(options: DevClusterOptions): Promise<DevCluster> {
    const builder = new DevClusterBuilder(options);
    try {
        const keyValue = builder.addStandIn(await createKeyValueStandIn({ listen: LOCAL_ADDRESS }));
        const hostList = builder.addStandIn(await createHostListStandIn({ listen: LOCAL_ADDRESS }));
        const operatorCredentials = writeSampleConfig(keyValue, builder.tokens);
        await startAgents(builder, keyValue, hostList);
        const routers = await startRouters(builder, options, keyValue, hostList);
        hostList.setHosts(builder.hosts);
        const events = (): readonly JournalEvent[] => mergeEvents(builder.standIns);
        const journalServer = options.journalListen === undefined
            ? undefined
            : await serveJournal(options.journalListen, events);
        if (journalServer !== undefined) builder.closeCallbacks.push(() => journalServer.close());
        const urlOf = (host: string, port: number): string => `http://${host}:${port}`;
        const routerUrls = routers.map(({ port }, i) =>
            urlOf(i === 0 ? options.listen.host : LOCAL_ADDRESS.host, port)
        );
        const operatorUrls = routers.map(({ operatorPort }, i) =>
            urlOf(i === 0 ? options.operatorListen.host : LOCAL_ADDRESS.host, operatorPort)
        );
        const modelService = sampleDocument("dev").get(toId(operatorCredentials.section))!
            .services[toId<ServiceId>(MODEL_SERVICE)]!;
        return {
            routerUrls,
            operatorUrls,
            modelIds: modelService.kind === "model" ? Object.keys(modelService.models) : [],
            operatorCredentials,
            keyValue,
            events,
            describeAddresses: () => [
                `callers:   ${routerUrls.join("  ")}`,
                `operators: ${
                    operatorUrls.join("  ")
                }  (token of team ${operatorCredentials.team}: ${operatorCredentials.token})`,
                ...(journalServer === undefined ? [] : [`journal:   ${journalServer.url}/journal`]),
            ],
            close: () => builder.close(),
        };
    }
    catch (cause) {
        await builder.close();
        throw cause;
    }
}
