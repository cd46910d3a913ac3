import {
    type KeyValueEntry,
    type KeyValueStore,
    type Logger,
    nowMs,
    sleep,
    Stopwatch,
} from "@skylarkmill/coordination";
import { z } from "zod";
import chart from "../charts/membership.json" with { type: "json" };
import { parseJson } from "../utils/parse-json.ts";
import { buildTransitionTable } from "../utils/transition-table.ts";
import type { MemberSelection } from "./member-selection.ts";

type State = "outside" | "joining" | "member";
type Event = "JOIN" | "JOINED" | "LOST";

const TRANSITIONS = buildTransitionTable<State, Event>(chart);
/** Interval between lease renewals; three renewals fit into the time for which one is valid. */
const RENEW_INTERVAL_MS = 300;
/** Time for which this gateway may act as a member, from the moment when a renewal was sent. */
export const MEMBERSHIP_VALID_MS = 1_000;
/** Longer than a renewal is valid, so that a member stops acting before its key can expire. */
const LEASE_TTL_MS = 1_600;
/** Pause after a failed attempt to join. */
const JOIN_RETRY_MS = 200;

/** A member claims rights only after this time, so that gateways that start together share the engines. */
const DEFAULT_SETTLE_MS = 1_000;
/** Interval at which a gateway that is no member checks whether it should join. */
const SELECTION_INTERVAL_MS = 200;

export const memberSchema = z.object({
    host: z.string(),
    address: z.string(),
    dataCentre: z.string().optional(),
    nonce: z.string(),
});

/** A gateway whose leased key exists in the key-value service. */
export interface GatewayMember {
    readonly host: string;
    /** Peer address. */
    readonly address: string;
    readonly dataCentre: string | undefined;
    /** Revision of the key; the oldest member has the lowest. */
    readonly revision: number;
}

/** Read access to the local copy of the key-value service's entries. */
export interface MembershipView {
    readonly isLoaded: boolean;
    readonly isFresh: boolean;
    readonly storeRevision: number;
    /** See `RangeResult`. */
    readonly storeGeneration: number;
    /** Time since a restore of the service from an older copy was learned. */
    readonly sinceRestoreMs: number;
    getEntry(key: string): KeyValueEntry | undefined;
    /** Lists the entries under a prefix; returns the same array until one of them changes. */
    listEntries(prefix: string): readonly KeyValueEntry[];
}

export interface GatewayMembershipOptions {
    readonly store: KeyValueStore;
    readonly view: MembershipView;
    readonly logger: Logger;
    readonly prefix: string;
    readonly host: string;
    readonly address: string;
    readonly dataCentre?: string;
    /** Limits which gateways are members; without it, each one is. */
    readonly selection?: MemberSelection;
    /**
     * Whether engines refuse a lower fencing token after a higher one. If so, a member continues to act while the
     * key-value service does not respond, until it learns that its lease ended; otherwise it stops acting once its
     * last successful renewal is too old.
     */
    readonly enginesCheckFences: boolean;
}

/** Keeps this gateway's leased member key in the key-value service and lists the members. */
export class GatewayMembership {
    private readonly options: GatewayMembershipOptions;
    private readonly abort = new AbortController();
    private state: State = "outside";
    private leaseId: string | undefined;
    /** Time since the last successful renewal was sent. */
    private sinceRenewal: Stopwatch | undefined;
    /** Time since the last renewal was sent, whether or not it succeeded. */
    private sinceRenewalAttempt: Stopwatch | undefined;
    private joinRevision = 0;
    private sinceJoined: Stopwatch | undefined;
    private task: Promise<void> | undefined;
    private decodedEntries: readonly KeyValueEntry[] | undefined;
    private members: readonly GatewayMember[] = [];

    constructor(options: GatewayMembershipOptions) {
        this.options = options;
    }

    get ownKey(): string {
        return this.options.prefix + this.options.host;
    }

    formatMemberKey(host: string): string {
        return this.options.prefix + host;
    }

    /** Whether this gateway may act as a member now; a renewal also expires while the process is suspended. */
    get canActAsMember(): boolean {
        if (this.state !== "member") return false;
        // After a suspension no renewal was sent recently, so the process has to renew before it acts.
        const last = this.options.enginesCheckFences ? this.sinceRenewalAttempt : this.sinceRenewal;
        return last !== undefined && last.elapsedMs() < MEMBERSHIP_VALID_MS;
    }

    /** Whether the last successful renewal is so recent that no other gateway can have taken this one's place. */
    get isConfirmed(): boolean {
        return this.state === "member" && this.sinceRenewal !== undefined
            && this.sinceRenewal.elapsedMs() < LEASE_TTL_MS;
    }

    /** Revision at which this gateway joined, 0 while it is no member; changes with each new lease. */
    get revision(): number {
        return this.state === "member" ? this.joinRevision : 0;
    }

    /** Whether this gateway has been a member for so long that those that started with it have joined. */
    get isSettled(): boolean {
        const settleMs = this.options.selection?.settleMs ?? DEFAULT_SETTLE_MS;
        return this.sinceJoined !== undefined && this.sinceJoined.elapsedMs() >= settleMs;
    }

    /** Lists the members, the oldest first. */
    listMembers(): readonly GatewayMember[] {
        const entries = this.options.view.listEntries(this.options.prefix);
        if (entries !== this.decodedEntries) {
            this.decodedEntries = entries;
            this.members = decodeMembers(entries);
        }
        return this.members;
    }

    start(): void {
        this.task = this.run();
    }

    /** Revokes the lease, so that other members can take over at once. */
    async stop(): Promise<void> {
        this.abort.abort();
        await this.task;
        this.endMembership("stopped");
    }

    /** Renews the lease once more and stops, so that this host is still a member if it restarts before the expiry. */
    async stopAndKeepLease(): Promise<void> {
        this.abort.abort();
        await this.task;
        await this.renewLease();
        this.state = "outside";
    }

    private async run(): Promise<void> {
        const { signal } = this.abort;
        while (!signal.aborted) {
            if (this.state === "member" && this.shouldLeave) this.endMembership("enough members");
            if (this.state === "member") await this.renewLease();
            else if (this.shouldJoin) await this.join();
            else {
                await sleep(SELECTION_INTERVAL_MS, signal);
                continue;
            }
            await sleep(this.state === "member" ? RENEW_INTERVAL_MS : JOIN_RETRY_MS, signal);
        }
    }

    private get shouldJoin(): boolean {
        const { selection, view, host } = this.options;
        if (selection === undefined) return true;
        return view.isLoaded && selection.shouldJoin(this.listMemberHosts(), host, nowMs());
    }

    private get shouldLeave(): boolean {
        const { selection, view, host } = this.options;
        return selection !== undefined && view.isFresh && selection.shouldLeave(this.listMemberHosts(), host);
    }

    private listMemberHosts(): string[] {
        return this.listMembers().map(member => member.host);
    }

    private async join(): Promise<void> {
        const { store, host, address, dataCentre, logger } = this.options;
        this.applyEvent("JOIN");
        const renewal = new Stopwatch();
        const lease = await store.grantLease(LEASE_TTL_MS);
        if (lease.isErr()) return this.applyEvent("LOST");
        const { leaseId } = lease.value;
        const value = JSON.stringify({ host, address, dataCentre, nonce: leaseId });
        const result = await store.commit({ compare: [], puts: [{ key: this.ownKey, value, leaseId }] });
        if (result.isErr() || !result.value.succeeded) return this.applyEvent("LOST");
        this.leaseId = leaseId;
        this.sinceRenewal = renewal;
        this.sinceRenewalAttempt = renewal;
        this.sinceJoined = new Stopwatch();
        this.joinRevision = result.value.revision;
        this.applyEvent("JOINED");
        logger.info({ step: "member.join", revision: this.joinRevision }, "gateway became a member");
    }

    private async renewLease(): Promise<void> {
        const { store, view } = this.options;
        const { leaseId } = this;
        if (leaseId === undefined) return;
        const renewal = new Stopwatch();
        const kept = await store.keepLeaseAlive(leaseId);
        if (this.leaseId !== leaseId) return;
        if (kept.isOk() && kept.value === undefined) return this.endMembership("lease ended");
        if (kept.isOk()) this.sinceRenewal = renewal;
        this.sinceRenewalAttempt = renewal;
        // The key can be deleted before its lease ends; a newer copy of the data from a peer shows that as well.
        const entry = view.getEntry(this.ownKey);
        const isOwn = entry !== undefined && entry.modRevision === this.joinRevision;
        if (view.storeRevision >= this.joinRevision && !isOwn) return this.endMembership("key deleted");
        const isOverdue = this.sinceRenewal !== undefined && this.sinceRenewal.elapsedMs() > 2 * LEASE_TTL_MS;
        if (isOverdue && !this.options.enginesCheckFences) this.endMembership("lease not renewed");
    }

    private endMembership(reason: string): void {
        const { leaseId } = this;
        if (leaseId === undefined) return;
        this.leaseId = undefined;
        this.sinceRenewal = undefined;
        this.sinceRenewalAttempt = undefined;
        this.sinceJoined = undefined;
        this.applyEvent("LOST");
        this.options.logger.info({ step: "member.lost", reason }, "gateway membership ended");
        void this.options.store.revokeLease(leaseId).then(result => {
            if (result.isErr()) {
                this.options.logger.warn({ step: "member.revoke", err: result.error }, "failed to revoke the lease");
            }
        });
    }

    private applyEvent(event: Event): void {
        this.state = TRANSITIONS[this.state][event] ?? this.state;
    }
}

function decodeMembers(entries: readonly KeyValueEntry[]): GatewayMember[] {
    const members: GatewayMember[] = [];
    for (const entry of entries) {
        const member = parseJson(memberSchema, entry.value);
        if (member !== undefined) {
            const { host, address, dataCentre } = member;
            members.push({ host, address, dataCentre, revision: entry.modRevision });
        }
    }
    return members.sort((a, b) => a.revision - b.revision);
}
