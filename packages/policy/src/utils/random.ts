import { uniformFloat32 } from "pure-rand/distribution/uniformFloat32";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A source of random numbers with its own state. */
export interface RandomSource {
    /** An integer from 0 to `count - 1`. */
    index(count: number): number;
    /** A number from 0 up to, but not including, 1. */
    fraction(): number;
}

/**
 * Creates a random source; equal seeds give equal sequences.
 *
 * @example
 * const random = createRandom(42);
 * const server = servers[random.index(servers.length)];
 */
export function createRandom(seed: number = Date.now()): RandomSource {
    const generator = xoroshiro128plus(Math.trunc(seed) | 0);
    return {
        index: count => uniformInt(generator, 0, count - 1),
        fraction: () => uniformFloat32(generator),
    };
}
