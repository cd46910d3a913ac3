import {
    type Logger,
    type QuotaRequest,
    type QuotaResponse,
    type ReservationRequest,
    type ReservationResponse,
    sleep,
    Stopwatch,
} from "@skylarkmill/coordination";
import type { CrashSuspects } from "../runtime/crash-suspects.ts";
import type { GatewayMember, GatewayMembership } from "../runtime/gateway-membership.ts";
import type { PlacementPlanner } from "../runtime/placement-planner.ts";
import type { ServerDirectory } from "../runtime/server-directory.ts";
import type { ServerRates } from "../runtime/server-rates.ts";
import type { StoreView } from "../runtime/store-view.ts";
import type { WorkspaceQuotas } from "../runtime/workspace-quotas.ts";
import type { DemandMessage } from "../types/placement.ts";
import type { PeerClient } from "./peer-client.ts";

/** Interval of demand messages; counts of running requests up to this age are recent enough for planning. */
const MIN_DEMAND_INTERVAL_MS = 250;
/** Lower bound on the interval per gateway, so that the planner's total rate of messages does not grow with them. */
const DEMAND_INTERVAL_MS_PER_GATEWAY = 8;
/** Changes within this time are sent in one message. */
const MIN_DEMAND_DELAY_MS = 3;
/** Lower bound on the delay per gateway, for the same reason. */
const DEMAND_DELAY_MS_PER_GATEWAY = 0.3;
/**
 * Number of consecutive messages that omit unchanged engine states; the next one includes them, as the planner may have
 * restarted.
 */
const MAX_MESSAGES_WITHOUT_ENGINES = 4;
/** Pause after a failed request for the placement. */
const PLACEMENT_RETRY_MS = 200;
/** Time without a response of the key-value service after which a peer's copy of the keys is requested. */
const VIEW_STALE_AFTER_MS = 1_500;
const VIEW_CHECK_INTERVAL_MS = 400;

export interface PlacementSynchronizerOptions {
    readonly peerClient: PeerClient;
    readonly membership: GatewayMembership;
    readonly planner: PlacementPlanner;
    readonly directory: ServerDirectory;
    readonly view: StoreView;
    readonly crashSuspects: CrashSuspects;
    readonly serverRates: Pick<ServerRates, "mergeStatements" | "recordHolderContact">;
    readonly quotas: Pick<WorkspaceQuotas, "recordHolderContact" | "recordContact">;
    /** Grants reservations; undefined if this gateway is not the planner. */
    readonly grantReservations: (request: ReservationRequest) => ReservationResponse | undefined;
    /** Whether a member's copy keeps the view up to date. */
    readonly isFollowingPeer: () => boolean;
    readonly seeds: readonly string[];
    readonly ownHost: string;
    readonly ownAddress: string;
    readonly createDemandMessage: () => DemandMessage;
    readonly logger: Logger;
}

/** Exchanges demand and placement with the planner, and reads peers' keys while the key-value service is down. */
export class PlacementSynchronizer {
    private readonly options: PlacementSynchronizerOptions;
    private readonly abort = new AbortController();
    private term = 0;
    private version = 0;
    private knownGatewayCount = 0;
    private demandTimer: NodeJS.Timeout | undefined;
    private delayedDemandTimer: NodeJS.Timeout | undefined;
    private viewTimer: NodeJS.Timeout | undefined;
    private nextPeerIndex = 0;
    /** Engine states that were last sent to the planner. */
    private lastSentEngines:
        | { readonly address: string; readonly signature: string; readonly messagesWithoutEngines: number; }
        | undefined;
    private removeListener: (() => void) | undefined;

    constructor(options: PlacementSynchronizerOptions) {
        this.options = options;
    }

    /** Number of known gateways, which share the retry budgets. */
    get gatewayCount(): number {
        return Math.max(this.knownGatewayCount, this.options.membership.listMembers().length);
    }

    start(): void {
        this.scheduleRegularDemand();
        this.viewTimer = setInterval(() => void this.readViewFromPeer(), VIEW_CHECK_INTERVAL_MS);
        this.removeListener = this.options.planner.onChange(() => this.applyOwnPlacement());
        void this.followPlacement();
    }

    stop(): void {
        this.abort.abort();
        this.removeListener?.();
        clearTimeout(this.demandTimer);
        clearInterval(this.viewTimer);
        clearTimeout(this.delayedDemandTimer);
    }

    /** Schedules a demand message ahead of the interval, since demand or an engine's state changed. */
    scheduleDemand(): void {
        this.delayedDemandTimer ??= setTimeout(() => {
            this.delayedDemandTimer = undefined;
            void this.sendDemand();
        }, Math.max(MIN_DEMAND_DELAY_MS, DEMAND_DELAY_MS_PER_GATEWAY * this.gatewayCount));
    }

    /** Asks the planner for reservations; resolves to undefined if no gateway answers as planner. */
    async requestReservations(request: ReservationRequest): Promise<ReservationResponse | undefined> {
        const { peerClient, grantReservations, logger } = this.options;
        const granted = grantReservations(request);
        if (granted !== undefined) return granted;
        const address = this.plannerAddress;
        if (address === undefined) return undefined;
        const response = await peerClient.requestReservations(address, request);
        if (response.isOk()) return response.value;
        logger.debug({ step: "peer.reservations", err: response.error }, "failed to get reservations");
        return undefined;
    }

    /** Asks the holder for parts of quotas; resolves to undefined if no gateway answers as holder. */
    async requestQuotas(request: QuotaRequest): Promise<QuotaResponse | undefined> {
        const address = this.plannerAddress;
        if (address === undefined) return undefined;
        const response = await this.options.peerClient.requestQuotas(address, request);
        if (response.isOk()) return response.value;
        this.options.logger.debug({ step: "peer.quotas", err: response.error }, "failed to get parts of quotas");
        return undefined;
    }

    /** Interval at which gateways are in contact with the planner. */
    get exchangeIntervalMs(): number {
        return Math.max(MIN_DEMAND_INTERVAL_MS, DEMAND_INTERVAL_MS_PER_GATEWAY * this.gatewayCount);
    }

    private scheduleRegularDemand(): void {
        this.demandTimer = setTimeout(() => {
            this.scheduleRegularDemand();
            void this.sendDemand();
        }, this.exchangeIntervalMs);
    }

    private get plannerAddress(): string | undefined {
        const [oldest] = this.options.membership.listMembers();
        return oldest?.address === this.options.ownAddress ? undefined : oldest?.address;
    }

    private applyOwnPlacement(): void {
        const { planner, directory } = this.options;
        if (!planner.isActive) return;
        const state = planner.getState();
        this.knownGatewayCount = state.gatewayCount;
        directory.applyPlacement(state);
    }

    private async followPlacement(): Promise<void> {
        const { signal } = this.abort;
        while (!signal.aborted) {
            if (!await this.pollPlacement()) await sleep(PLACEMENT_RETRY_MS, signal);
            this.options.directory.expirePlacement();
        }
    }

    private async pollPlacement(): Promise<boolean> {
        const { peerClient, planner, directory, ownHost } = this.options;
        if (planner.isActive) {
            this.applyOwnPlacement();
            return false;
        }
        const address = this.plannerAddress;
        if (address === undefined) return false;
        const response = await peerClient.waitForPlacement(address, ownHost, this.term, this.version);
        if (response.isErr() || response.value === undefined) return false;
        const state = response.value;
        this.term = state.term;
        this.version = state.version;
        this.knownGatewayCount = state.gatewayCount;
        directory.applyPlacement(state);
        return true;
    }

    private async sendDemand(): Promise<void> {
        const { peerClient, planner, createDemandMessage, logger, directory, crashSuspects, serverRates, quotas } =
            this.options;
        const message = createDemandMessage();
        if (planner.isActive) {
            serverRates.recordHolderContact();
            quotas.recordHolderContact();
            quotas.recordContact(message.gateway);
            this.lastSentEngines = undefined;
            planner.receiveDemand(message);
            return directory.updateTotals(planner.countRunningTotals(), message.running);
        }
        const address = this.plannerAddress;
        if (address === undefined) return;
        const sinceRequest = new Stopwatch();
        const result = await peerClient.sendDemand(address, this.omitUnchangedEngines(message, address));
        if (result.isErr()) this.lastSentEngines = undefined;
        if (result.isOk() && result.value !== undefined) {
            directory.updateTotals(result.value.totals, message.running);
            crashSuspects.mergeEvidence(result.value.crashEvidence);
            for (const start of result.value.leaving) directory.recordLeaving(start);
            serverRates.mergeStatements(result.value.rates, sinceRequest);
            serverRates.recordHolderContact();
            quotas.recordHolderContact();
            directory.updateEtas(result.value.etas);
        }
        if (result.isErr()) logger.debug({ step: "peer.demand", err: result.error }, "failed to send the demand");
    }

    /** Omits engine states that the planner has already received, except for a regular repetition. */
    private omitUnchangedEngines(message: DemandMessage, address: string): DemandMessage {
        const signature = JSON.stringify(message.engines);
        const isKnown = this.lastSentEngines?.address === address && this.lastSentEngines.signature === signature
            && this.lastSentEngines.messagesWithoutEngines < MAX_MESSAGES_WITHOUT_ENGINES;
        this.lastSentEngines = {
            address,
            signature,
            messagesWithoutEngines: isKnown ? this.lastSentEngines!.messagesWithoutEngines + 1 : 0,
        };
        return isKnown ? { ...message, engines: undefined } : message;
    }

    /** Reads the keys from the peers in order, one per call, while the key-value service does not respond. */
    private async readViewFromPeer(): Promise<void> {
        const { view, peerClient, seeds, ownAddress, logger, membership } = this.options;
        if (view.sinceLastResponseMs < VIEW_STALE_AFTER_MS || this.options.isFollowingPeer()) return;
        const peerAddresses = new Set([
            ...membership.listMembers().map((member: GatewayMember) => member.address),
            ...seeds,
        ]);
        peerAddresses.delete(ownAddress);
        const addresses = [...peerAddresses];
        if (addresses.length === 0) return;
        const address = addresses[this.nextPeerIndex++ % addresses.length]!;
        const response = await peerClient.fetchView(address, view.storeRevision);
        if (response.isErr()) logger.debug({ step: "peer.view", err: response.error }, "failed to read a peer's keys");
        else if (response.value !== undefined) view.adoptSnapshot(response.value);
    }
}
