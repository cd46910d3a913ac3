import { type Logger, rankByRendezvous, sleep } from "@skylarkmill/coordination";
import type { DataCentre } from "@skylarkmill/protocol";
import type { GatewayMember, GatewayMembership } from "../runtime/gateway-membership.ts";
import { selectReaders } from "../runtime/member-selection.ts";
import type { StoreView } from "../runtime/store-view.ts";
import { Stopwatch } from "../utils/clock.ts";
import type { PeerClient } from "./peer-client.ts";

/** Time without a usable response of a reader after which this gateway reads the key-value service itself. */
const FOLLOWING_VALID_MS = 1_300;
/** A reader's copy older than this is not followed: the longest regular time between two responses to its watch. */
const MAX_COPY_AGE_MS = 2_200;
const IDLE_PAUSE_MS = 200;
const NEXT_READER_PAUSE_MS = 50;
/** Time for which a reader that failed is used only if all others failed as well. */
const FAILED_READER_MS = 3_000;

export interface ViewFollowerOptions {
    readonly view: StoreView;
    readonly membership: GatewayMembership;
    readonly peerClient: Pick<PeerClient, "fetchViewChanges">;
    readonly host: string;
    readonly dataCentre: DataCentre;
    readonly logger: Logger;
}

/** Keeps the view of a gateway that does not watch the key-value service up to date from the copy of one that does. */
export class ViewFollower {
    private readonly options: ViewFollowerOptions;
    private readonly abort = new AbortController();
    private sinceLastResponse: Stopwatch | undefined;
    private wasFollowing = false;
    /** Time since a reader last failed, by host. */
    private readonly sinceFailure = new Map<string, Stopwatch>();
    private task: Promise<void> | undefined;

    constructor(options: ViewFollowerOptions) {
        this.options = options;
    }

    /** Whether a reader's copy keeps the view up to date, so that the key-value service need not be read. */
    get isFollowing(): boolean {
        return this.sinceLastResponse !== undefined && this.sinceLastResponse.elapsedMs() < FOLLOWING_VALID_MS;
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
                this.sinceLastResponse = undefined;
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
        if (changes === undefined || changes.ageMs > MAX_COPY_AGE_MS) return false;
        view.applyChanges(changes);
        this.sinceLastResponse = new Stopwatch();
        return true;
    }
}
