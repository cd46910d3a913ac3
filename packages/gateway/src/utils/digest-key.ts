import { type KeyDigest, toId } from "@skylarkmill/protocol";
import { createHmac, randomBytes } from "node:crypto";

/** Differs in each process, so that the time of a comparison of digests tells nothing about a key. */
const secret = randomBytes(32);

/**
 * Computes the digest under which an access key is kept and compared in this process; the key itself is kept nowhere
 * else.
 *
 * @example
 * workspace.keyDigests.includes(digestKey("k7b2ex5wa5xw"));
 */
export function digestKey(key: string): KeyDigest {
    return toId<KeyDigest>(createHmac("sha256", secret).update(key).digest("base64"));
}
