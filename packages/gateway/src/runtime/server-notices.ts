import type { Logger } from "@skylarkmill/coordination";
import type { ServerId } from "@skylarkmill/protocol";
import type { RateNotice, ServerNotice, ServerRecord } from "../types/engine.ts";
import type { GatewayMetrics } from "./gateway-metrics.ts";
import type { ServerDirectory } from "./server-directory.ts";
import type { ServerRates } from "./server-rates.ts";

export interface ServerNoticesOptions {
    readonly directory: Pick<ServerDirectory, "recordLeaving" | "recordHold">;
    readonly serverRates: Pick<ServerRates, "recordStatement">;
    readonly metrics: GatewayMetrics;
    readonly logger: Logger;
    /** Called when peers must learn that a server leaves. */
    readonly onLeaving: () => void;
}

/** Applies what servers state about themselves in their responses. */
export class ServerNotices {
    /** Start times of servers whose invalid rate was logged. */
    private readonly invalidRateStarts = new Map<ServerId, number>();

    constructor(private readonly options: ServerNoticesOptions) {}

    apply(server: ServerRecord, { isLeaving, holdMs, invalidHold, rate }: ServerNotice): void {
        const { directory, metrics, logger } = this.options;
        if (rate !== undefined) this.applyRate(server, rate);
        if (isLeaving && directory.recordLeaving(server)) {
            metrics.serverNotices.inc({ kind: "leaving" });
            this.options.onLeaving();
        }
        if (holdMs !== undefined) {
            metrics.serverNotices.inc({ kind: "hold" });
            directory.recordHold(server, holdMs);
        }
        if (invalidHold === undefined) return;
        metrics.serverNotices.inc({ kind: "invalid" });
        logger.warn(
            { step: "server.notice", server: server.serverId, retryAfter: invalidHold },
            "a server's retry delay is invalid and has no effect",
        );
    }

    private applyRate(server: ServerRecord, { ratePerSecond, invalidRate, sentAtMs }: RateNotice): void {
        const { serverRates, metrics, logger } = this.options;
        if (invalidRate === undefined) return serverRates.recordStatement(server, ratePerSecond, sentAtMs);
        if (this.invalidRateStarts.get(server.serverId) === server.bornAtMs) return;
        this.invalidRateStarts.set(server.serverId, server.bornAtMs);
        metrics.serverNotices.inc({ kind: "invalid" });
        logger.warn(
            { step: "server.notice", server: server.serverId, rate: invalidRate },
            "a server's rate limit is invalid and has no effect",
        );
    }
}
