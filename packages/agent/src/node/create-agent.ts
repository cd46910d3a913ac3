import type { Agent, AgentOptions } from "../types/options.ts";
import { resolveAgentOptions } from "../utils/resolve-options.ts";
import { AgentProcess } from "./agent.ts";

/**
 * Creates the agent of one backend server.
 *
 * @example
 * const agent = createAgent({ ...identity, requestListen, peerListen, peerKeys, store, membership, backend, logger });
 * const ports = await agent.start();
 * process.once("SIGTERM", () => void agent.stop());
 */
export function createAgent(options: AgentOptions): Agent {
    return new AgentProcess(resolveAgentOptions(options));
}
