import { OutcomeUnknownError, UnavailableError } from "@skylarkmill/protocol";
import { err, ok, ResultAsync } from "neverthrow";
import { request } from "undici";
import type { OperatorCommandOptions } from "./command-options.ts";

export interface OperatorResponse {
    readonly status: number;
    readonly body: Readonly<Record<string, unknown>>;
}

export interface OperatorRequest {
    readonly method: "GET" | "PUT" | "DELETE";
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: unknown;
}

/** What the routers said, in order. */
export interface Attempts {
    /** The first answer that settles the request, else the last. */
    readonly response: OperatorResponse | undefined;
    /** Answers of 503 that leave the outcome open. */
    readonly unavailable: readonly OperatorResponse[];
    /** `UnavailableError`: the request was not sent. `OutcomeUnknownError`: it was sent and not answered. */
    readonly errors: readonly (UnavailableError | OutcomeUnknownError)[];
}

/** Calls the operators' interface of the first router that answers. */
export class OperatorClient {
    constructor(private readonly options: OperatorCommandOptions) {}

    /** Fails when no router answers; an answer of 503 counts only when no other router does better. */
    call(operatorRequest: OperatorRequest): ResultAsync<OperatorResponse, UnavailableError> {
        return ResultAsync.fromSafePromise(this.attempt(operatorRequest)).andThen(({ response, errors }) => {
            if (response !== undefined) return ok(response);
            const reasons = errors.map(error => error.message).join("; ");
            const context = { step: "operator.call", peer: this.options.routers.join(",") };
            return err(new UnavailableError(`No router answered: ${reasons}`, context));
        });
    }

    /** Safe for edits too: a repeated edit id gets the first outcome. */
    async attempt(operatorRequest: OperatorRequest): Promise<Attempts> {
        const errors: (UnavailableError | OutcomeUnknownError)[] = [];
        const unavailable: OperatorResponse[] = [];
        for (const router of this.options.routers) {
            const response = await this.send(router, operatorRequest);
            if (response.isErr()) errors.push(response.error);
            else if (isUndecided(response.value)) unavailable.push(response.value);
            else return { response: response.value, unavailable, errors };
        }
        return { response: unavailable.at(-1), unavailable, errors };
    }

    private send(router: string, operatorRequest: OperatorRequest) {
        const { method, path, headers, body } = operatorRequest;
        const exchange = async (): Promise<OperatorResponse> => {
            const response = await request(`http://${router}${path}`, {
                method,
                headers: {
                    ...headers,
                    authorization: `Bearer ${this.options.token}`,
                    ...(body === undefined ? {} : { "content-type": "application/json" }),
                },
                ...(body === undefined ? {} : { body: JSON.stringify(body) }),
                signal: AbortSignal.timeout(this.options.timeoutMs),
            });
            return { status: response.statusCode, body: await response.body.json() as OperatorResponse["body"] };
        };
        return ResultAsync.fromPromise(exchange(), cause => {
            const reason = cause instanceof Error ? cause.message : String(cause);
            const context = { step: "operator.call", peer: router, cause };
            return isUnsent(cause)
                ? new UnavailableError(`${router}: ${reason}`, context)
                : new OutcomeUnknownError(`${router}: ${reason}`, context);
        });
    }
}

/** Another router may do better, unless this one has found out that the edit did not take effect. */
function isUndecided({ status, body }: OperatorResponse): boolean {
    return status === 503 && body["outcome"] !== "not_accepted";
}

const UNSENT_CODES: readonly unknown[] = ["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"];

function isUnsent(cause: unknown): boolean {
    return UNSENT_CODES.includes((cause as { readonly code?: unknown; } | undefined)?.code);
}
