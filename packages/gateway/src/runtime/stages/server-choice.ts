import { nowMs } from "@skylarkmill/coordination";
import type { ServerId, ServiceId } from "@skylarkmill/protocol";
import type { GatewayContext } from "../../types/context.ts";
import type { CallerRequest } from "../../types/engine.ts";
import type { ServerState } from "../server-state.ts";

/** Chooses the backend server of each attempt of one request, and remembers where the request may have run. */
export class ServerChoice {
    /** Number of attempts that may have run the request, by server. */
    private readonly possibleRuns = new Map<ServerId, number>();
    private readonly rejectedBy = new Set<ServerId>();

    constructor(
        private readonly context: Pick<
            GatewayContext,
            "dataCentre" | "directory" | "serverRates" | "serverRanking" | "workspaces"
        >,
        private readonly serviceId: ServiceId,
        private readonly request: CallerRequest,
    ) {}

    /**
     * Chooses a server that has not received the request, or else one that has, since its failure may be temporary.
     *
     * @param extraPlaceCount Places that the request may take beyond the limit of a server whose room is short.
     */
    choose(extraPlaceCount: number): ServerState | undefined {
        return this.chooseUnused(extraPlaceCount)
            ?? (this.possibleRuns.size > 0 ? this.chooseAmong(this.possibleRuns, extraPlaceCount) : undefined);
    }

    chooseUnused(extraPlaceCount = 0): ServerState | undefined {
        return this.chooseAmong(undefined, extraPlaceCount);
    }

    /** Lists the servers that can serve the request by what they hold, whatever their load. */
    listCandidates(): ServerState[] {
        const { directory } = this.context;
        const { modelId, adapterId } = this.request;
        return modelId === undefined
            ? directory.listNotDraining(this.serviceId)
            : directory.listWithModel(this.serviceId, modelId, adapterId);
    }

    /** Returns the server whose hold ends first; undefined unless all candidates are on hold. */
    findFirstHeldServer(now: number): ServerState | undefined {
        const candidates = this.listCandidates();
        if (candidates.some(server => server.holdMs(now) === 0)) return undefined;
        return candidates.sort((a, b) => a.holdMs(now) - b.holdMs(now))[0];
    }

    recordPossibleRun(serverId: ServerId): void {
        this.possibleRuns.set(serverId, (this.possibleRuns.get(serverId) ?? 0) + 1);
    }

    removePossibleRun(serverId: ServerId): void {
        const count = (this.possibleRuns.get(serverId) ?? 0) - 1;
        if (count > 0) this.possibleRuns.set(serverId, count);
        else this.possibleRuns.delete(serverId);
    }

    /** Whether an attempt at the server may have run the request. */
    mayHaveRunAt(serverId: ServerId): boolean {
        return this.possibleRuns.has(serverId);
    }

    /** Whether any attempt may have run the request. */
    get mayHaveRun(): boolean {
        return this.possibleRuns.size > 0;
    }

    /** Number of attempts that may have run the request. */
    get possibleRunCount(): number {
        return [...this.possibleRuns.values()].reduce((sum, count) => sum + count, 0);
    }

    recordRejection(serverId: ServerId): void {
        this.rejectedBy.add(serverId);
    }

    /** A server that rejected the request may have capacity again. */
    forgetRejections(): void {
        this.rejectedBy.clear();
    }

    /** Chooses the best usable server: one of `allowed`, or if undefined, one where the request can't have run. */
    private chooseAmong(
        allowed: ReadonlyMap<ServerId, number> | undefined,
        extraPlaceCount: number,
    ): ServerState | undefined {
        const now = nowMs();
        const { serverRates, dataCentre, serverRanking, workspaces } = this.context;
        // One that may have run has had its turn.
        const isLimited = workspaces.hasWorkspaces && !this.mayHaveRun;
        const usable = this.listCandidates().filter(server => {
            const { serverId } = server.record;
            return server.holdMs(now) === 0 && !this.rejectedBy.has(serverId)
                && (!isLimited || server.placeLimit.hasRoom(server.inFlightCount, now, extraPlaceCount))
                && serverRates.canSend(server.record, this.request)
                && (allowed?.has(serverId) ?? !this.possibleRuns.has(serverId));
        });
        // A server that limits its rate comes after others that have room, unless it must get a request now and then.
        const isAvoided = ({ record }: ServerState): boolean =>
            serverRates.getRate(record) !== undefined && !serverRates.isProbeDue(record);
        const best = serverRanking.choose({
            servers: usable,
            dataCentre,
            nowMs: now,
            isAvoided,
            hasPeerCounts: this.request.modelId !== undefined,
        });
        return best === undefined || best.isSuspect(now) || best.isAtCapacity(now) ? undefined : best;
    }
}
