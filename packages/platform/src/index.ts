export * from "./types/engine.ts";
export * from "./types/host-list.ts";
