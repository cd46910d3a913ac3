import {
    type DataCentre,
    type HostId,
    type ServerId,
    type ServiceId,
    toId,
    UnavailableError,
} from "@skylarkmill/protocol";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { z } from "zod";
import { parseJson, sendJsonRequest } from "../runtime/json-request.ts";
import { createSingleUsePool } from "../runtime/single-use-pool.ts";
import { trackSend } from "../runtime/tracked-dispatch.ts";
import type { HostEntry, HostList } from "../types/host-list.ts";

export interface HttpHostListOptions {
    /** URL of the list, such as `http://127.0.0.1:2380/hosts`. */
    readonly url: string;
    /** Timeout of one read. @default 2000 */
    readonly timeoutMs?: number;
}

export interface HttpHostList extends HostList {
    close(): Promise<void>;
}

const MAX_HOSTS = 10_000;
const MAX_BODY_BYTES = 4 * 1024 * 1024;

const name = z.string().min(1).max(200);
const port = z.number().int().min(0).max(65_535);

const hostSchema = z.object({
    hostId: name.transform(toId<HostId>),
    dataCentre: name.transform(toId<DataCentre>),
    role: z.enum(["router", "backend"]),
    state: z.enum(["live", "leaving", "gone"]),
    address: z.union([z.ipv4(), z.ipv6()]),
    peerPort: port,
    requestPort: port,
    serverId: name.transform(toId<ServerId>).optional(),
    serviceId: name.transform(toId<ServiceId>).optional(),
});

const listSchema = z.object({ hosts: z.array(hostSchema).max(MAX_HOSTS) });

function toHostEntry({ serverId, serviceId, ...host }: z.output<typeof hostSchema>): HostEntry {
    return {
        ...host,
        ...(serverId === undefined ? {} : { serverId }),
        ...(serviceId === undefined ? {} : { serviceId }),
    };
}

/**
 * Creates a reader of the platform's host list from a URL that returns `{"hosts": [HostEntry]}`.
 * A read fails with `UnavailableError` if the list can't be fetched or doesn't match the schema.
 *
 * @example
 * const hosts = await createHttpHostList({ url: "http://127.0.0.1:2380/hosts" }).read();
 */
export function createHttpHostList(options: HttpHostListOptions): HttpHostList {
    const url = new URL(options.url);
    const timeoutMs = options.timeoutMs ?? 2000;
    const pool = createSingleUsePool(url.origin, 1);
    const dispatcher = pool.compose(trackSend);
    const context = { step: "hosts.read", peer: url.host };

    let cachedList: { readonly etag: string; readonly hosts: readonly HostEntry[]; } | undefined;

    async function read(): Promise<Result<readonly HostEntry[], UnavailableError>> {
        // A list of 1,140 hosts is 190 KB; a 304 response for an unchanged list is only a few bytes.
        const headers = {
            "accept-encoding": "gzip",
            ...(cachedList === undefined ? {} : { "if-none-match": cachedList.etag }),
        };
        const request = {
            ...context,
            method: "GET",
            path: url.pathname + url.search,
            isWrite: false,
            headers,
        } as const;
        const result = await sendJsonRequest(dispatcher, url.host, {
            ...request,
            timeoutMs,
            maxBodyBytes: MAX_BODY_BYTES,
        });
        if (result.isErr()) return err(new UnavailableError(result.error.message, { ...context, cause: result.error }));
        if (result.value.status === 304 && cachedList !== undefined) return ok(cachedList.hosts);
        if (result.value.status !== 200) {
            return err(new UnavailableError(`host list request returned status ${result.value.status}`, context));
        }
        const parsed = parseJson(listSchema, result.value.text, context);
        if (parsed.isErr()) return err(new UnavailableError(parsed.error.message, { ...context, cause: parsed.error }));
        const hosts = parsed.value.hosts.map(toHostEntry);
        const { etag } = result.value.headers;
        cachedList = typeof etag === "string" ? { etag, hosts } : undefined;
        return ok(hosts);
    }

    return { read: () => new ResultAsync(read()), close: () => pool.destroy() };
}
