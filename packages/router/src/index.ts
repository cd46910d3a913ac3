export type { ListenAddress } from "@skylarkmill/coordination";
export { createRouter } from "./node/router.ts";
export { DEFAULT_ROUTER_LIMITS } from "./types/options.ts";
export type { Router, RouterLimits, RouterOptions, RouterPorts } from "./types/options.ts";
export type { RouterPolicies } from "./types/policies.ts";
