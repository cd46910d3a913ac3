import { InvalidInputError } from "@skylarkmill/protocol";

/**
 * Returns `value`, or `fallback` when it is undefined, after checking its range.
 *
 * @throws InvalidInputError when the value is not a number between `min` and `max`.
 * @example
 * const maxQueue = numberOption("maxQueue", options.maxQueue, 256, 1);
 */
export function numberOption(
    path: string,
    value: number | undefined,
    fallback: number,
    min: number,
    max = Number.MAX_SAFE_INTEGER,
): number {
    const chosen = value ?? fallback;
    if (chosen >= min && chosen <= max) return chosen;
    const message = `${path} is ${chosen}; accepted are numbers from ${min} to ${max}`;
    throw new InvalidInputError(message, [{ path, message }], { step: "policy.options", peer: "local" });
}
