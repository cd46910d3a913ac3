export { createOperatorApp } from "./node/operator-app.ts";
export { createOperatorPeers, type OperatorPeersOptions } from "./node/operator-peers.ts";
export * from "./types/operator.ts";
