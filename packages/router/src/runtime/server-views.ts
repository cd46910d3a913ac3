import { type GrantRecord, KEYS } from "@skylarkmill/config";
import { rankByRendezvous, type RecordReader } from "@skylarkmill/coordination";
import type { ServerView } from "@skylarkmill/policy";
import type { ServerId } from "@skylarkmill/protocol";
import type { RouterPolicies } from "../types/policies.ts";
import type { RequestSpec, RequestTarget } from "../types/request.ts";
import type { ModelReport, ServerState } from "../types/server.ts";
import type { ServerDirectory } from "./server-directory.ts";

/** Assumed slot count of a backend server until it reports its own. */
const ASSUMED_SLOT_COUNT = 8;
/** Time for which a server's computed slowness is cached. */
const SLOWNESS_CACHE_MS = 10;
/** Time for which a model last seen as ready is treated as loaded. */
const MAX_LOADED_AGE_MS = 60_000;

interface ServerCandidate {
    readonly server: ServerState;
    readonly grantPosition: number | undefined;
}

export interface ServerViewsOptions {
    readonly records: RecordReader;
    readonly directory: ServerDirectory;
    readonly policies: RouterPolicies;
    readonly maxServersPerService: number;
    /** Key for rendezvous hashing by which each router gets its own subset of a large service's servers. */
    readonly subsetKey: string;
}

/** Builds the policies' views of the servers that can be chosen for a request. */
export class ServerViews {
    private readonly options: ServerViewsOptions;
    private readonly subsets = new WeakMap<readonly ServerState[], readonly ServerState[]>();

    constructor(options: ServerViewsOptions) {
        this.options = options;
    }

    /**
     * Returns the servers to which the request may be sent now. If none is reachable, an idempotent request also
     * tries unreachable agents. A non-idempotent one waits, since a suspended agent might run it much later.
     */
    forRequest(spec: RequestSpec, nowMs: number): ServerView[] {
        const { directory } = this.options;
        const candidates = this.findCandidates(spec.target).filter(({ server }) =>
            directory.isAcceptingRequests(server)
        );
        const reachable = candidates.filter(({ server }) => server.unreachableUntilMs <= nowMs);
        const chosen = reachable.length === 0 && spec.isIdempotent ? candidates : reachable;
        return chosen.map(candidate => this.toView(candidate, spec, nowMs));
    }

    private findCandidates(target: RequestTarget): readonly ServerCandidate[] {
        if (target.modelId !== undefined) return this.grantHolders(target.modelId);
        const servers = this.options.directory.serversOf(target.serviceId);
        return this.selectSubset(servers).map(server => ({ server, grantPosition: undefined }));
    }

    /** Returns the servers in the order of the grant record, or those with revoked grants if there are no others. */
    private grantHolders(modelId: string): readonly ServerCandidate[] {
        const record = this.options.records.get<GrantRecord>(KEYS.grants(modelId))?.value;
        const holders: ServerCandidate[] = [];
        const revoked: ServerCandidate[] = [];
        for (const grant of record?.grants ?? []) {
            const server = this.options.directory.get(grant.serverId);
            if (server === undefined) continue;
            if (!grant.revoking) holders.push({ server, grantPosition: holders.length });
            else if (server.models.get(modelId)?.state === "ready") revoked.push({ server, grantPosition: undefined });
        }
        return holders.length > 0 ? holders : revoked;
    }

    /** Limits a large service to this router's subset of its servers. */
    private selectSubset(servers: readonly ServerState[]): readonly ServerState[] {
        const { maxServersPerService, subsetKey } = this.options;
        if (servers.length <= maxServersPerService) return servers;
        let subset = this.subsets.get(servers);
        if (subset === undefined) {
            const ids = rankByRendezvous<ServerId>(subsetKey, servers.map(server => server.serverId));
            const chosen = new Set(ids.slice(0, maxServersPerService));
            subset = servers.filter(server => chosen.has(server.serverId));
            this.subsets.set(servers, subset);
        }
        return subset;
    }

    /** Returns the server's slowness, cached because the straggler detector compares all servers to compute it. */
    private slownessOf(server: ServerState, nowMs: number): number {
        if (nowMs - server.cachedSlownessAtMs >= SLOWNESS_CACHE_MS) {
            server.cachedSlowness = this.options.policies.stragglers.slowness(server.serverId, nowMs);
            server.cachedSlownessAtMs = nowMs;
        }
        return server.cachedSlowness;
    }

    private toView(candidate: ServerCandidate, spec: RequestSpec, nowMs: number): ServerView {
        const { server, grantPosition } = candidate;
        const { modelId, model, adapterId } = spec.target;
        const { affinity } = this.options.policies;
        const { report } = server;
        const loadedModel = modelId === undefined ? undefined : server.models.get(modelId);
        return {
            serverId: server.serverId,
            dataCentre: server.host.dataCentre,
            loaded: modelId === undefined || isLoaded(loadedModel, nowMs),
            loading: loadedModel?.state === "loading",
            adapterLoaded: adapterId === undefined || loadedModel?.adapterIds.includes(adapterId) === true,
            grantPosition,
            outstandingCount: server.outstandingCount,
            reportedCount: (report?.queuedCount ?? 0) + (report?.runningCount ?? 0),
            backlogMs: report?.backlogMs ?? 0,
            slotCount: report?.slotCount || ASSUMED_SLOT_COUNT,
            reportAgeMs: report === undefined ? Infinity : nowMs - server.reportedAtMs,
            slowness: this.slownessOf(server, nowMs),
            prefixMatch: modelId === undefined || spec.promptPrefix === ""
                ? 0
                : affinity.match(server.serverId, modelId, adapterId, spec.promptPrefix, nowMs),
            expectedLoadMs: model?.expectedLoadMs ?? 0,
        };
    }
}

/**
 * The model was recently seen as ready. A model not seen for longer may have been unloaded and counts as not loaded;
 * all routers then choose servers in the order of the grants, so that they agree on the one that loads it.
 */
function isLoaded(model: ModelReport | undefined, nowMs: number): boolean {
    return model?.state === "ready" && nowMs - model.seenAtMs < MAX_LOADED_AGE_MS;
}
