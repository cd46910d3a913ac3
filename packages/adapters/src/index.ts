export * from "./node/backend-client.ts";
export * from "./node/etcd-key-value-store.ts";
export * from "./node/http-host-list.ts";
export * from "./node/membership.ts";
export * from "./node/triton-engine-control.ts";
export * from "./types/engine.ts";
export * from "./types/host-list.ts";
export * from "./types/membership.ts";
