export * from "./types/engine.ts";
export * from "./types/host-list.ts";
export * from "./types/membership.ts";
