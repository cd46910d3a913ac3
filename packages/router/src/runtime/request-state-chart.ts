import { createMachine, transition } from "xstate";
import chart from "../charts/attempt.json" with { type: "json" };

/** States of a whole request, which may have several attempts. The chart is called `attempt`, as in a metric's help text. */
export type RequestState = "choosing" | "sent" | "hedged" | "moved" | "streaming" | "done" | "failed";
export type RequestEvent = "SEND" | "HEDGE" | "HEAD" | "LOST" | "CHOOSE" | "END" | "FAIL";

const STATES: readonly RequestState[] = ["choosing", "sent", "hedged", "moved", "streaming", "done", "failed"];
const EVENTS: readonly RequestEvent[] = ["SEND", "HEDGE", "HEAD", "LOST", "CHOOSE", "END", "FAIL"];

type TransitionTable = Readonly<Record<RequestState, Partial<Record<RequestEvent, RequestState>>>>;

/**
 * Reads all transitions of the state chart from xstate into a table. Requests use the table, since one xstate actor
 * per request would cost more than the rest of the request's processing.
 */
function readTransitions(): TransitionTable {
    const machine = createMachine(chart as Parameters<typeof createMachine>[0]);
    const table = {} as Record<RequestState, Partial<Record<RequestEvent, RequestState>>>;
    for (const state of STATES) {
        table[state] = {};
        for (const event of EVENTS) {
            const from = machine.resolveState({ value: state });
            if (from.status !== "active" || !from.can({ type: event })) continue;
            const [next] = transition(machine, from, { type: event });
            table[state][event] = next.value as RequestState;
        }
    }
    return table;
}

const TRANSITIONS = readTransitions();

export const INITIAL_STATE = chart.initial as RequestState;

/**
 * Returns the next state, or undefined if the state chart has no such transition.
 *
 * @example
 * nextRequestState("choosing", "SEND"); // "sent"
 */
export function nextRequestState(state: RequestState, event: RequestEvent): RequestState | undefined {
    return TRANSITIONS[state][event];
}
