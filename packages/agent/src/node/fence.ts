import { KEYS } from "@skylarkmill/config";
import type { KeyValueStore } from "@skylarkmill/coordination";
import { ConflictError, ProtocolError, type ServerId, type SkylarkmillError } from "@skylarkmill/protocol";
import { err, ok, type Result, ResultAsync } from "neverthrow";

/**
 * Raises this server's fencing token by compare-and-swap and returns the new token.
 * `ConflictError`: another process raised it at the same time. A number that a lost answer leaves
 * unused is skipped. `atLeast` keeps the token above those already used when the service holds older data.
 *
 * @example
 * const token = await raiseFence(store, serverId, 1);
 */
export function raiseFence(
    store: KeyValueStore,
    serverId: ServerId,
    atLeast: number,
): ResultAsync<number, SkylarkmillError> {
    return new ResultAsync(raise(store, serverId, atLeast));
}

async function raise(
    store: KeyValueStore,
    serverId: ServerId,
    atLeast: number,
): Promise<Result<number, SkylarkmillError>> {
    const key = KEYS.fence(serverId);
    const context = { step: "fence.raise", peer: "key-value-service" };
    const current = await store.get(key);
    if (current.isErr()) return err(current.error);
    const stored = Number(current.value?.value ?? 0);
    if (!Number.isSafeInteger(stored)) return err(new ProtocolError(`${key} does not hold a number.`, context));
    const token = Math.max(stored + 1, atLeast);
    const modRevision = current.value?.modRevision ?? 0;
    const committed = await store.commit({ compare: [{ key, modRevision }], puts: [{ key, value: String(token) }] });
    if (committed.isErr()) return err(committed.error);
    return committed.value.succeeded ? ok(token) : err(new ConflictError(`${key} changed meanwhile.`, context));
}
