import {
    type KeyValueEntry,
    type KeyValueStore,
    type Logger,
    rankByRendezvous,
    sleep,
    Stopwatch,
} from "@skylarkmill/coordination";
import type { ServerId } from "@skylarkmill/protocol";
import { z } from "zod";
import { parseJson } from "../utils/parse-json.ts";
import { type GatewayMembership, MEMBERSHIP_VALID_MS, type MembershipView } from "./gateway-membership.ts";

/** Interval at which lost rights are dropped and free ones claimed. */
const CHECK_INTERVAL_MS = 100;
/** Margin of the handover delay for orders in transit and for clock drift. */
const HANDOVER_MARGIN_MS = 150;
/** Largest number of rights per write; each right needs two compared keys, and a write is limited to 32 entries. */
const MAX_CLAIMS_PER_WRITE = 8;

/** Tolerance for wall clock jumps and for wall clock differences between hosts. */
const CLOCK_SLACK_MS = 5_000;

export const orderRightSchema = z.object({
    holder: z.string(),
    address: z.string(),
    /** Host that held the right before the holder, if there was one. */
    before: z.string().optional(),
    takenAtMs: z.number(),
    /** Generation of the service's data in which the right was claimed. */
    generation: z.number().default(0),
});

type StoredOrderRight = z.output<typeof orderRightSchema> & { readonly revision: number; };

interface HeldOrderRight {
    readonly fencingToken: number;
    /** Time since the claim was written. */
    readonly sinceClaimed: Stopwatch;
    /** Delay between the claim and the first order. */
    readonly handoverDelayMs: number;
    /** Revision of the membership under which the right was claimed; a new lease needs a new token. */
    readonly memberRevision: number;
}

export interface OrderRightsOptions {
    readonly store: KeyValueStore;
    readonly view: MembershipView;
    readonly membership: GatewayMembership;
    readonly logger: Logger;
    readonly prefix: string;
    readonly host: string;
    readonly address: string;
    /** Minimum time between orders of two different hosts to one engine. */
    readonly minHandoverMs: number;
    /** Whether engines refuse a lower fencing token after a higher one. */
    readonly enginesCheckFences: boolean;
    /** Lists the engines whose rights the members share. */
    readonly listEngines: () => readonly ServerId[];
}

/**
 * Claims and tracks order rights. An order right allows one host at a time to send orders to a model engine. It is
 * stored as a key without a lease that names its holder, and another host may claim it only in a write that requires
 * the holder's leased member key to be absent. The revision of that write is the fencing token, so tokens only grow. A
 * new holder on another host sends its first order only when no order of the previous holder can be in transit.
 */
export class OrderRights {
    private readonly options: OrderRightsOptions;
    private readonly abort = new AbortController();
    private readonly held = new Map<ServerId, HeldOrderRight>();
    /** Time since this host last could send orders to an engine. */
    private readonly sinceActive = new Map<ServerId, Stopwatch>();
    private readonly decodedRights = new WeakMap<KeyValueEntry, StoredOrderRight>();
    private task: Promise<void> | undefined;

    constructor(options: OrderRightsOptions) {
        this.options = options;
    }

    start(): void {
        this.task = this.claimPeriodically();
    }

    async stop(): Promise<void> {
        this.abort.abort();
        await this.task;
        this.held.clear();
    }

    /** Returns the fencing token for an order sent now; undefined if this host must not send orders to the engine. */
    getFencingToken(serverId: ServerId): number | undefined {
        const right = this.held.get(serverId);
        const { membership } = this.options;
        if (right === undefined || !membership.canActAsMember || right.memberRevision !== membership.revision) {
            return undefined;
        }
        return right.sinceClaimed.elapsedMs() >= right.handoverDelayMs ? right.fencingToken : undefined;
    }

    /** Lists the engines whose right this host holds, including those whose handover delay has not passed. */
    listHeldEngines(): ServerId[] {
        const { membership } = this.options;
        return [...this.held].filter(([, right]) => right.memberRevision === membership.revision).map(([id]) => id);
    }

    /** Returns the peer address of the gateway that holds the right, as last read. */
    getHolderAddress(serverId: ServerId): string | undefined {
        return this.readStoredRight(serverId)?.address;
    }

    /** Discards a right, such as after an engine refused an order because it has seen a higher fencing token. */
    dropRight(serverId: ServerId, reason: string): void {
        if (!this.held.delete(serverId)) return;
        this.options.logger.info({ step: "right.lost", server: serverId, reason }, "order right lost");
    }

    private readStoredRight(serverId: ServerId): StoredOrderRight | undefined {
        const entry = this.options.view.getEntry(this.options.prefix + serverId);
        if (entry === undefined) return undefined;
        const known = this.decodedRights.get(entry);
        if (known !== undefined) return known;
        const decoded = parseJson(orderRightSchema, entry.value);
        if (decoded === undefined) return undefined;
        const right = { ...decoded, revision: entry.modRevision };
        this.decodedRights.set(entry, right);
        return right;
    }

    private async claimPeriodically(): Promise<void> {
        const { signal } = this.abort;
        while (!signal.aborted) {
            this.recordActiveRights();
            this.dropLostRights();
            const wanted = this.listClaimableEngines();
            if (wanted.length > 0) await this.claimRights(wanted.slice(0, MAX_CLAIMS_PER_WRITE));
            await sleep(CHECK_INTERVAL_MS, signal);
        }
    }

    private recordActiveRights(): void {
        for (const serverId of this.held.keys()) {
            if (this.getFencingToken(serverId) !== undefined) this.sinceActive.set(serverId, new Stopwatch());
        }
        for (const [serverId, sinceActive] of this.sinceActive) {
            if (sinceActive.elapsedMs() >= this.options.minHandoverMs) this.sinceActive.delete(serverId);
        }
    }

    private dropLostRights(): void {
        const { membership, view, host } = this.options;
        for (const [serverId, right] of this.held) {
            if (right.memberRevision !== membership.revision) this.dropRight(serverId, "membership lost");
            else if (view.storeRevision >= right.fencingToken && this.readStoredRight(serverId)?.holder !== host) {
                this.dropRight(serverId, "claimed by another host");
            }
        }
    }

    /** Lists the engines to claim: those that already name this host, and its share of those that no member holds. */
    private listClaimableEngines(): ServerId[] {
        const { membership, view, host, listEngines } = this.options;
        if (!view.isFresh || !membership.canActAsMember || view.storeRevision < membership.revision) return [];
        const hosts = membership.listMembers().map(member => member.host);
        if (!hosts.includes(host)) return [];
        const counts = this.countEnginesByHost();
        return listEngines().filter(serverId => {
            if (this.held.has(serverId)) return false;
            const right = this.readStoredRight(serverId);
            if (right?.holder === host) return true;
            if (right !== undefined && hosts.includes(right.holder)) return false;
            return membership.isSettled && this.chooseHost(serverId, hosts, counts) === host;
        });
    }

    private countEnginesByHost(): Map<string, number> {
        const counts = new Map<string, number>();
        for (const serverId of this.options.listEngines()) {
            const holder = this.readStoredRight(serverId)?.holder;
            if (holder !== undefined) counts.set(holder, (counts.get(holder) ?? 0) + 1);
        }
        return counts;
    }

    /** Chooses a member with few engines, so that the loss of one gateway affects few engines. */
    private chooseHost(
        serverId: ServerId,
        hosts: readonly string[],
        counts: ReadonlyMap<string, number>,
    ): string | undefined {
        const fewest = Math.min(...hosts.map(host => counts.get(host) ?? 0));
        return rankByRendezvous(serverId, hosts.filter(host => (counts.get(host) ?? 0) <= fewest + 1))[0];
    }

    private async claimRights(serverIds: readonly ServerId[]): Promise<void> {
        const { store, prefix, membership, logger, host } = this.options;
        const claims = serverIds.map(serverId => ({ serverId, storedRight: this.readStoredRight(serverId) }));
        const memberRevision = membership.revision;
        const others = new Set(
            claims.map(({ storedRight }) => storedRight?.holder).filter(holder =>
                holder !== undefined && holder !== host
            ),
        );
        const result = await store.commit({
            compare: [
                ...claims.map(({ serverId, storedRight }) => ({
                    key: prefix + serverId,
                    modRevision: storedRight?.revision ?? 0,
                })),
                ...[...others].map(other => ({ key: membership.formatMemberKey(other!), modRevision: 0 })),
                { key: membership.ownKey, modRevision: memberRevision },
            ],
            puts: claims.map(({ serverId, storedRight }) => ({
                key: prefix + serverId,
                value: this.formatRight(storedRight),
            })),
        });
        // If the outcome is unknown but the write took effect, the view names this host and it claims again.
        if (result.isErr() || !result.value.succeeded) return;
        const fencingToken = result.value.revision;
        for (const { serverId, storedRight } of claims) {
            const handoverDelayMs = this.needsHandoverDelay(serverId, storedRight) ? this.handoverDelayMs : 0;
            this.held.set(serverId, {
                fencingToken,
                sinceClaimed: new Stopwatch(),
                handoverDelayMs,
                memberRevision,
            });
            logger.info(
                {
                    step: "right.taken",
                    server: serverId,
                    token: fencingToken,
                    before: storedRight?.holder,
                    settleMs: handoverDelayMs,
                },
                "order right claimed",
            );
        }
    }

    private get handoverDelayMs(): number {
        // Engines that check fencing tokens refuse orders that the previous holder sends after this write.
        const { minHandoverMs, enginesCheckFences } = this.options;
        return minHandoverMs + HANDOVER_MARGIN_MS + (enginesCheckFences ? 0 : MEMBERSHIP_VALID_MS);
    }

    /** Whether another host may have sent orders so recently that this one has to wait. */
    private needsHandoverDelay(serverId: ServerId, previous: StoredOrderRight | undefined): boolean {
        if (previous !== undefined && previous.holder !== this.options.host) return true;
        if (this.mayBeOutdated(previous)) return !this.wasActiveRecently(serverId);
        if (previous === undefined) return false;
        const sinceTakenMs = Date.now() - previous.takenAtMs;
        return previous.before !== undefined && sinceTakenMs < this.handoverDelayMs + CLOCK_SLACK_MS;
    }

    /** Whether the service may have lost a later claim of another host when it was restored. */
    private mayBeOutdated(stored: StoredOrderRight | undefined): boolean {
        const { view } = this.options;
        if (stored === undefined) return view.sinceRestoreMs < this.handoverDelayMs;
        return stored.generation !== view.storeGeneration;
    }

    /** Whether this host could send orders so recently that another one which took the right since still has to wait. */
    private wasActiveRecently(serverId: ServerId): boolean {
        const sinceActive = this.sinceActive.get(serverId);
        return sinceActive !== undefined && sinceActive.elapsedMs() < this.options.minHandoverMs;
    }

    /** Formats the value to store; a right that is claimed again keeps its previous holder and its time of claim. */
    private formatRight(previous: StoredOrderRight | undefined): string {
        const { host: holder, address } = this.options;
        const isOwn = previous === undefined || previous.holder === holder;
        const before = isOwn ? previous?.before : previous.holder;
        const takenAtMs = isOwn && previous !== undefined ? previous.takenAtMs : Date.now();
        const { storeGeneration: generation } = this.options.view;
        return JSON.stringify({ holder, address, before, takenAtMs, generation });
    }
}
