import { OutcomeUnknownError, UnavailableError } from "@skylarkmill/protocol";
import { err, ok, ResultAsync } from "neverthrow";
import { request } from "undici";
import type { OperatorCommandOptions } from "./command-options.ts";

export interface RouterResponse {
    readonly status: number;
    readonly body: Readonly<Record<string, unknown>>;
}

export interface RouterRequest {
    readonly method: "GET" | "PUT" | "DELETE";
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: unknown;
}

/** Results of sending a request to the routers in order until one gives a conclusive response. */
export interface RouterAttempts {
    /** The first conclusive response, otherwise the last inconclusive one; undefined if no router responded. */
    readonly response: RouterResponse | undefined;
    /** Inconclusive responses: status 503 with an outcome other than `not_accepted`. */
    readonly inconclusiveResponses: readonly RouterResponse[];
    /** `UnavailableError`: the request was not sent. `OutcomeUnknownError`: it was sent but got no response. */
    readonly errors: readonly (UnavailableError | OutcomeUnknownError)[];
}

/** HTTP client of the operators' interface that tries the routers in order. */
export class OperatorClient {
    constructor(private readonly options: OperatorCommandOptions) {}

    /** Returns the first conclusive response, otherwise the last inconclusive one; fails if no router responded. */
    call(operatorRequest: RouterRequest): ResultAsync<RouterResponse, UnavailableError> {
        return ResultAsync.fromSafePromise(this.tryRouters(operatorRequest)).andThen(({ response, errors }) => {
            if (response !== undefined) return ok(response);
            const reasons = errors.map(error => error.message).join("; ");
            const context = { step: "operator.call", peer: this.options.routers.join(",") };
            return err(new UnavailableError(`No router responded: ${reasons}`, context));
        });
    }

    /** Sends a request to one router after the other. Safe for edits, since a repeated edit id is applied only once. */
    async tryRouters(operatorRequest: RouterRequest): Promise<RouterAttempts> {
        const errors: (UnavailableError | OutcomeUnknownError)[] = [];
        const inconclusiveResponses: RouterResponse[] = [];
        for (const router of this.options.routers) {
            const response = await this.send(router, operatorRequest);
            if (response.isErr()) errors.push(response.error);
            else if (shouldTryNextRouter(response.value)) inconclusiveResponses.push(response.value);
            else return { response: response.value, inconclusiveResponses, errors };
        }
        return { response: inconclusiveResponses.at(-1), inconclusiveResponses, errors };
    }

    private send(router: string, operatorRequest: RouterRequest) {
        const { method, path, headers, body } = operatorRequest;
        const exchange = async (): Promise<RouterResponse> => {
            const response = await request(`http://${router}${path}`, {
                method,
                headers: {
                    ...headers,
                    authorization: `Bearer ${this.options.token}`,
                    ...(body === undefined ? {} : { "content-type": "application/json" }),
                },
                ...(body === undefined ? {} : { body: JSON.stringify(body) }),
                signal: AbortSignal.timeout(this.options.timeoutMs),
                // Closes the connection, on which a late copy of this response could be taken for the next one.
                reset: true,
            });
            return { status: response.statusCode, body: await response.body.json() as RouterResponse["body"] };
        };
        return ResultAsync.fromPromise(exchange(), cause => {
            const reason = cause instanceof Error ? cause.message : String(cause);
            const context = { step: "operator.call", peer: router, cause };
            return isRequestUnsent(cause)
                ? new UnavailableError(`${router}: ${reason}`, context)
                : new OutcomeUnknownError(`${router}: ${reason}`, context);
        });
    }
}

/** Returns whether a response is inconclusive, so that another router may give a conclusive one. */
function shouldTryNextRouter({ status, body }: RouterResponse): boolean {
    return status === 503 && body["outcome"] !== "not_accepted";
}

/** Error codes of connections that failed before the request was sent. */
const UNSENT_ERROR_CODES: readonly unknown[] = [
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "UND_ERR_CONNECT_TIMEOUT",
];

function isRequestUnsent(cause: unknown): boolean {
    return UNSENT_ERROR_CODES.includes((cause as { readonly code?: unknown; } | undefined)?.code);
}
