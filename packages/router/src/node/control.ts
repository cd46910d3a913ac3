import { createAdaptorServer } from "@hono/node-server";
import type { ConfigView } from "@skylarkmill/config";
import { createOperatorApp, createOperatorPeers, createPlacementDuty, type PlacementDuty } from "@skylarkmill/control";
import { createInternalServerOptions, guardInternalServer, nowMs, type RecordStore } from "@skylarkmill/coordination";
import { createPlacementPolicy } from "@skylarkmill/policy";
import type { ServerId, ServerStatus } from "@skylarkmill/protocol";
import type { Server } from "node:http";
import type { Registry } from "prom-client";
import type { DemandTracker } from "../runtime/demand-tracker.ts";
import type { ServerDirectory } from "../runtime/server-directory.ts";
import type { ResolvedRouterOptions } from "../types/options.ts";

/** Lower bound of the status age above which a server gets no new grants. */
const MIN_STALE_STATUS_AGE_MS = 15_000;
/**
 * Assumed size of one probe, including a new connection and a status that lists a few models. Multiplied by the
 * number of servers and divided by the probe budget, it gives the duration of one probe round.
 */
const ASSUMED_PROBE_BYTES = 750;
/** Number of probe rounds after which a status is too old; a server may miss the rounds in between. */
const STALE_STATUS_ROUNDS = 3;

export interface ControlOptions {
    readonly options: ResolvedRouterOptions;
    readonly records: RecordStore;
    readonly config: ConfigView;
    readonly directory: ServerDirectory;
    readonly demand: DemandTracker;
    /** Registry for the metrics of the placement duty and of the operators' interface. */
    readonly registry: Registry;
}

/** Creates the placement duty, which plans while this router holds its lease. */
export function createRouterPlacement(
    { options, records, config, directory, demand, registry }: ControlOptions,
): PlacementDuty {
    return createPlacementDuty({
        processId: options.processId,
        records,
        store: options.store,
        config,
        membership: options.membership,
        policy: createPlacementPolicy(),
        serverStatuses: () => recentStatuses(directory, options.limits.probeBytesPerSecond),
        demandPerSecond: modelId => demand.ratePerSecond(modelId, nowMs()),
        activeTogether: modelId => demand.activeTogether(modelId),
        registry,
        logger: options.logger,
    });
}

/** Creates the HTTP server of the operators' interface; it is not listening yet. */
export function createOperatorServer({ options, records, config, registry }: ControlOptions): Server {
    const app = createOperatorApp({
        records,
        store: options.store,
        config,
        membership: options.membership,
        peers: createOperatorPeers({ keys: options.peerKeys }),
        teamTokens: options.teamTokens,
        registry,
        logger: options.logger,
    });
    const server = createAdaptorServer({
        fetch: app.fetch,
        overrideGlobalObjects: false,
        serverOptions: createInternalServerOptions(),
    }) as Server;
    guardInternalServer(server);
    return server;
}

/** Returns the statuses of reachable servers that are recent enough for placement decisions. */
function recentStatuses(directory: ServerDirectory, bytesPerSecond: number): ReadonlyMap<ServerId, ServerStatus> {
    const servers = [...directory.all()];
    const roundMs = servers.length * ASSUMED_PROBE_BYTES * 1000 / bytesPerSecond;
    const oldestStatusAtMs = nowMs() - Math.max(MIN_STALE_STATUS_AGE_MS, roundMs * STALE_STATUS_ROUNDS);
    return new Map(
        servers.flatMap(server =>
            server.status !== undefined && server.statusAtMs >= oldestStatusAtMs && server.unreachableUntilMs === 0
                ? [[server.serverId, server.status] as const]
                : []
        ),
    );
}
