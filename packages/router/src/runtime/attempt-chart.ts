import { createMachine, transition } from "xstate";
import chart from "../charts/attempt.json" with { type: "json" };

export type AttemptState = "choosing" | "sent" | "hedged" | "moved" | "streaming" | "done" | "failed";
export type AttemptEvent = "SEND" | "HEDGE" | "HEAD" | "LOST" | "CHOOSE" | "END" | "FAIL";

const STATES: readonly AttemptState[] = ["choosing", "sent", "hedged", "moved", "streaming", "done", "failed"];
const EVENTS: readonly AttemptEvent[] = ["SEND", "HEDGE", "HEAD", "LOST", "CHOOSE", "END", "FAIL"];

type TransitionTable = Readonly<Record<AttemptState, Partial<Record<AttemptEvent, AttemptState>>>>;

/**
 * Reads all transitions of the state chart from xstate into a table. Requests use the table, since one xstate actor
 * per request would cost more than the rest of the request's processing.
 */
function readTransitions(): TransitionTable {
    const machine = createMachine(chart as Parameters<typeof createMachine>[0]);
    const table = {} as Record<AttemptState, Partial<Record<AttemptEvent, AttemptState>>>;
    for (const state of STATES) {
        table[state] = {};
        for (const event of EVENTS) {
            const from = machine.resolveState({ value: state });
            if (from.status !== "active" || !from.can({ type: event })) continue;
            const [next] = transition(machine, from, { type: event });
            table[state][event] = next.value as AttemptState;
        }
    }
    return table;
}

const TRANSITIONS = readTransitions();

export const INITIAL_STATE = chart.initial as AttemptState;

/**
 * Returns the next state, or undefined if the state chart has no such transition.
 *
 * @example
 * nextAttemptState("choosing", "SEND"); // "sent"
 */
export function nextAttemptState(state: AttemptState, event: AttemptEvent): AttemptState | undefined {
    return TRANSITIONS[state][event];
}
