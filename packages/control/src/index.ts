export { createOperatorApp } from "./node/operator-app.ts";
export { createOperatorPeers, type OperatorPeersOptions } from "./node/operator-peers.ts";
export { createPlacementDuty } from "./node/placement-duty.ts";
export * from "./types/operator.ts";
export * from "./types/placement.ts";
