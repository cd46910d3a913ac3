import {
    type QuotaRequest,
    type QuotaResponse,
    type ReservationRequest,
    type ReservationResponse,
    StallTimer,
} from "@skylarkmill/coordination";
import { HEADERS, ProtocolError, UnavailableError } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";
import { Agent } from "undici";
import type { z } from "zod";
import type { StoreChanges, StoreSnapshot } from "../runtime/store-view.ts";
import type { DemandMessage, DemandResponse, EngineCommand, PlacementState } from "../types/placement.ts";
import {
    changesSchema,
    demandResponseSchema,
    placementSchema,
    quotaResponseSchema,
    reservationResponseSchema,
    snapshotSchema,
} from "../utils/peer-schemas.ts";

/**
 * Longest time without any part of a response; a peer in another data centre responds within milliseconds, a suspended
 * one never.
 */
const CALL_TIMEOUT_MS = 600;
/** Longest time until reservations are granted or not; requests wait for them, and a planner grants them at once. */
const RESERVATION_TIMEOUT_MS = 300;
/** Timeout of a whole response; a copy of all keys with a configuration of 1 MB takes 1.3 s over a link of 7 Mbit/s. */
const RESPONSE_TIMEOUT_MS = 5_000;
/** Time for which the planner holds a request for placement changes until there is one. */
export const PLACEMENT_LONG_POLL_MS = 1_000;
/** Time for which a member holds a request for changes of its keys until there are some. */
export const VIEW_LONG_POLL_MS = 500;

/** Largest response: a copy of all watched keys, of which one may have 1 MB. */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

type PeerError = UnavailableError | ProtocolError;

/** Calls the peer interface of other gateways. */
export class PeerClient {
    private readonly agent = new Agent({
        connections: 4,
        connectTimeout: CALL_TIMEOUT_MS,
        keepAliveTimeout: 10_000,
        maxResponseSize: MAX_RESPONSE_BYTES,
    });
    private nextCallId = 1;

    /** Sends the planner this gateway's demand and the state of the engines that it controls. */
    async sendDemand(address: string, message: DemandMessage): Promise<Result<DemandResponse | undefined, PeerError>> {
        const response = await this.sendRequest(
            address,
            "POST",
            "/v1/demand",
            CALL_TIMEOUT_MS,
            JSON.stringify(message),
        );
        return response.andThen(text => parseResponse(text, demandResponseSchema, "peer.demand", address));
    }

    /** Asks the holder for parts of quotas. */
    async requestQuotas(address: string, request: QuotaRequest): Promise<Result<QuotaResponse | undefined, PeerError>> {
        const response = await this.sendRequest(
            address,
            "POST",
            "/v1/quotas",
            RESERVATION_TIMEOUT_MS,
            JSON.stringify(request),
        );
        return response.andThen(text => parseResponse(text, quotaResponseSchema, "peer.quotas", address));
    }

    /** Asks the planner for reservations at servers that state a rate. */
    async requestReservations(
        address: string,
        request: ReservationRequest,
    ): Promise<Result<ReservationResponse | undefined, PeerError>> {
        const body = JSON.stringify(request);
        const response = await this.sendRequest(address, "POST", "/v1/reservations", RESERVATION_TIMEOUT_MS, body);
        return response.andThen(text => parseResponse(text, reservationResponseSchema, "peer.reservations", address));
    }

    /** Sends a command to the gateway that holds the engine's order right. */
    async sendCommand(address: string, command: EngineCommand): Promise<Result<void, PeerError>> {
        const response = await this.sendRequest(
            address,
            "POST",
            "/v1/commands",
            CALL_TIMEOUT_MS,
            JSON.stringify(command),
        );
        return response.map(() => undefined);
    }

    /** Waits for placement state that is newer than the given version; resolves with the current one after a while. */
    async waitForPlacement(
        address: string,
        gateway: string,
        term: number,
        version: number,
    ): Promise<Result<PlacementState | undefined, PeerError>> {
        const query = new URLSearchParams({ gateway, term: String(term), version: String(version) });
        const path = `/v1/placement?${query.toString()}`;
        const response = await this.sendRequest(address, "GET", path, PLACEMENT_LONG_POLL_MS + CALL_TIMEOUT_MS);
        return response.andThen(text => parseResponse(text, placementSchema, "peer.placement", address));
    }

    /** Reads a peer's copy of the watched keys; undefined if it isn't newer than `revision`. */
    async fetchView(address: string, revision: number): Promise<Result<StoreSnapshot | undefined, PeerError>> {
        const response = await this.sendRequest(address, "GET", `/v1/view?revision=${revision}`, CALL_TIMEOUT_MS);
        return response.andThen(text => parseResponse(text, snapshotSchema, "peer.view", address));
    }

    /** Waits for changes of a member's copy of the watched keys; resolves without changes after a while. */
    async fetchViewChanges(address: string, revision: number): Promise<Result<StoreChanges | undefined, PeerError>> {
        const path = `/v1/view/changes?revision=${revision}`;
        const response = await this.sendRequest(address, "GET", path, CALL_TIMEOUT_MS + VIEW_LONG_POLL_MS);
        return response.andThen(text => parseResponse(text, changesSchema, "peer.view", address));
    }

    close(): Promise<void> {
        return this.agent.destroy();
    }

    private async sendRequest(
        address: string,
        method: "GET" | "POST",
        path: string,
        /** Longest time until the response begins. */
        timeoutMs: number,
        body?: string,
    ): Promise<Result<string, PeerError>> {
        const context = { step: `peer ${method} ${path}`, peer: address };
        const callId = String(this.nextCallId++);
        const timer = new StallTimer(CALL_TIMEOUT_MS, timeoutMs + RESPONSE_TIMEOUT_MS, timeoutMs);
        try {
            const response = await this.agent.request({
                origin: `http://${address}`,
                method,
                path,
                headers: {
                    [HEADERS.callId]: callId,
                    ...(body === undefined ? {} : { "content-type": "application/json" }),
                },
                ...(body === undefined ? {} : { body }),
                signal: timer.signal,
            });
            // Gateways of an earlier version don't name the call.
            if ((response.headers[HEADERS.callId] ?? callId) !== callId) {
                response.body.on("error", () => undefined).destroy();
                return err(new UnavailableError("the peer's response belongs to another call", context));
            }
            const text = await timer.readText(response.body as AsyncIterable<Uint8Array>, MAX_RESPONSE_BYTES);
            if (response.statusCode < 300) return ok(text);
            return err(new UnavailableError(`the peer responded with status ${response.statusCode}`, context));
        }
        catch (cause) {
            return err(new UnavailableError(`the peer does not respond: ${String(cause)}`, { ...context, cause }));
        }
        finally {
            timer.stop();
        }
    }
}

function parseResponse<T>(
    text: string,
    schema: z.ZodType<T>,
    step: string,
    peer: string,
): Result<T | undefined, ProtocolError> {
    if (text === "") return ok(undefined);
    try {
        const parsed = schema.safeParse(JSON.parse(text));
        if (parsed.success) return ok(parsed.data);
        return err(
            new ProtocolError("the peer's response does not match the schema", { step, peer, cause: parsed.error }),
        );
    }
    catch (cause) {
        return err(new ProtocolError("the peer's response is not JSON", { step, peer, cause }));
    }
}
