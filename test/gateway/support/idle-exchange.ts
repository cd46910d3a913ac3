import type { EngineExchange } from "@skylarkmill/gateway";

/** Creates an exchange whose response the test passes on itself. */
export function createIdleExchange(): EngineExchange {
    const doNothing = (): void => undefined;
    return {
        cancel: doNothing,
        pause: doNothing,
        resume: doNothing,
        countPieces: doNothing,
        isHeld: false,
        releasedAtMs: -Infinity,
    };
}
