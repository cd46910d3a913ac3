export { createAgent } from "./node/create-agent.ts";
export type { Agent, AgentLimits, AgentOptions, AgentPolicies, AgentPorts, ListenAddress } from "./types/options.ts";
export type { RequestHead, WaitingRequest } from "./types/request.ts";
