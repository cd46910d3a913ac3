export { createAgent } from "./node/create-agent.ts";
export type { Agent, AgentLimits, AgentOptions, AgentPolicies, AgentPorts, ListenAddress } from "./types/options.ts";
export type { RequestHead, ScheduledRequest } from "./types/request.ts";
export { DEFAULT_AGENT_LIMITS } from "./utils/resolve-options.ts";
