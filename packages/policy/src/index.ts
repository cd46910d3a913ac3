export * from "./types/policies.ts";
