import { type Logger, rankByRendezvous, sleep, Stopwatch } from "@skylarkmill/coordination";
import type { DataCentre } from "@skylarkmill/protocol";
import type { GatewayMember, GatewayMembership } from "../runtime/gateway-membership.ts";
import { selectReaders } from "../runtime/member-selection.ts";
import type { StoreView } from "../runtime/store-view.ts";
import type { PeerClient } from "./peer-client.ts";

/**
 * Age of the followed copy from which this gateway reads the key-value service itself, as a share of the time within
 * which a change must be known. It is longer than a reader's regular pause between two responses to its watch, and
 * leaves time for the read.
 */
const MAX_COPY_AGE_SHARE = 0.55;
const IDLE_PAUSE_MS = 200;
const NEXT_READER_PAUSE_MS = 50;
/** Time for which a reader that failed is used only if all others failed as well. */
const FAILED_READER_MS = 3_000;

export interface ViewFollowerOptions {
    readonly view: StoreView;
    readonly membership: Pick<GatewayMembership, "listMembers">;
    readonly peerClient: Pick<PeerClient, "fetchViewChanges">;
    readonly host: string;
    readonly dataCentre: DataCentre;
    /** Time within which a change of the keys must be known. */
    readonly noticeMs: number;
    readonly logger: Logger;
}

/** Keeps the view of a gateway that does not watch the key-value service up to date from the copy of one that does. */
export class ViewFollower {
    private readonly options: ViewFollowerOptions;
    private readonly abort = new AbortController();
    /** Time since the key-value service last responded to the reader whose copy was read last. */
    private copyAge: Stopwatch | undefined;
    private wasFollowing = false;
    /** Time since a reader last failed, by host. */
    private readonly sinceFailure = new Map<string, Stopwatch>();
    private task: Promise<void> | undefined;

    constructor(options: ViewFollowerOptions) {
        this.options = options;
    }

    /** Whether a reader's copy keeps the view up to date, so that the key-value service need not be read. */
    get isFollowing(): boolean {
        return this.copyAge !== undefined && this.copyAge.elapsedMs() < this.maxCopyAgeMs;
    }

    private get maxCopyAgeMs(): number {
        return MAX_COPY_AGE_SHARE * this.options.noticeMs;
    }

    start(): void {
        this.task = this.run();
    }

    async stop(): Promise<void> {
        this.abort.abort();
        await this.task;
    }

    private async run(): Promise<void> {
        const { view } = this.options;
        const { signal } = this.abort;
        while (!signal.aborted) {
            this.logChangeOfSource();
            const reader = view.isLoaded ? this.chooseReader() : undefined;
            if (reader === undefined) {
                this.copyAge = undefined;
                await sleep(IDLE_PAUSE_MS, signal);
            }
            else if (!await this.readChanges(reader)) {
                this.sinceFailure.set(reader.host, new Stopwatch());
                await sleep(NEXT_READER_PAUSE_MS, signal);
            }
        }
    }

    private logChangeOfSource(): void {
        const { view, logger } = this.options;
        if (this.isFollowing === this.wasFollowing) return;
        this.wasFollowing = this.isFollowing;
        const ageMs = Math.round(Math.min(view.sinceLastResponseMs, Number.MAX_SAFE_INTEGER));
        const message = this.wasFollowing ? "keys are read from a reader's copy" : "no reader has a usable copy";
        logger.info({ step: "view.source", ageMs, revision: view.storeRevision }, message);
    }

    /** Chooses the best reader that has not failed recently, or else the one that failed first. */
    private chooseReader(): GatewayMember | undefined {
        const sinceFailureMs = ({ host }: GatewayMember): number =>
            this.sinceFailure.get(host)?.elapsedMs() ?? Infinity;
        const readers = this.rankReaders();
        return readers.find(reader => sinceFailureMs(reader) >= FAILED_READER_MS)
            ?? readers.sort((a, b) => sinceFailureMs(b) - sinceFailureMs(a))[0];
    }

    /** Ranks the readers of this data centre before the others; empty if this gateway is one of them. */
    private rankReaders(): GatewayMember[] {
        const { membership, host, dataCentre } = this.options;
        const readers = new Map(selectReaders(membership.listMembers()).map(member => [member.host, member]));
        if (readers.has(host)) return [];
        const ranked = rankByRendezvous(host, [...readers.keys()]).map(name => readers.get(name)!);
        const isNear = (member: GatewayMember): boolean => member.dataCentre === dataCentre;
        return [...ranked.filter(isNear), ...ranked.filter(member => !isNear(member))];
    }

    private async readChanges(reader: GatewayMember): Promise<boolean> {
        const { view, peerClient, logger } = this.options;
        const response = await peerClient.fetchViewChanges(reader.address, view.storeRevision);
        if (this.abort.signal.aborted) return true;
        if (response.isErr()) {
            logger.debug({ step: "view.follow", err: response.error }, "failed to read a reader's keys");
            return false;
        }
        const changes = response.value;
        if (changes === undefined || changes.ageMs >= this.maxCopyAgeMs) return false;
        view.applyChanges(changes);
        this.copyAge = new Stopwatch(changes.ageMs);
        return true;
    }
}
