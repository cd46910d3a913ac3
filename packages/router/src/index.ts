export { createRouter } from "./node/router.ts";
export type { ListenAddress, Router, RouterLimits, RouterOptions, RouterPorts } from "./types/options.ts";
export type { RouterPolicies } from "./types/policies.ts";
