import { InvalidInputError } from "@skylarkmill/protocol";

/**
 * Returns `value`, or `fallback` if it is undefined, after a check of its range.
 *
 * @throws InvalidInputError when the value is not a number between `min` and `max`.
 * @example
 * const maxCount = numberOption("maxCount", options.maxCount, 256, 1);
 */
export function numberOption(
    path: string,
    value: number | undefined,
    fallback: number,
    min: number,
    max = Number.MAX_SAFE_INTEGER,
): number {
    const resolved = value ?? fallback;
    if (resolved >= min && resolved <= max) return resolved;
    const message = `${path} is ${resolved}; it must be a number from ${min} to ${max}`;
    throw new InvalidInputError(message, [{ path, message }], { step: "policy.options", peer: "local" });
}
