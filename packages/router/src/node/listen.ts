import { UnavailableError } from "@skylarkmill/protocol";
import { ResultAsync } from "neverthrow";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { ListenAddress } from "../types/options.ts";

/**
 * Binds a server and returns its port. `UnavailableError`: the port can't be bound.
 *
 * @example
 * const port = await listen(server, { host: "127.0.0.1", port: 0 }, "caller.listen");
 */
export function listen(server: Server, address: ListenAddress, step: string): ResultAsync<number, UnavailableError> {
    const bound = new Promise<number>((resolve, reject) => {
        server.once("error", reject);
        server.listen({ host: address.host, port: address.port, exclusive: true }, () => {
            server.off("error", reject);
            resolve((server.address() as AddressInfo).port);
        });
    });
    return ResultAsync.fromPromise(
        bound,
        cause =>
            new UnavailableError(`can't bind ${address.host}:${address.port}`, {
                step,
                peer: `${address.host}:${address.port}`,
                cause,
            }),
    );
}

/** Closes a server: idle connections at once, others when their answer is complete. */
export function closeServer(server: Server): Promise<void> {
    return new Promise(resolve => {
        server.close(() => resolve());
        server.closeIdleConnections();
    });
}
