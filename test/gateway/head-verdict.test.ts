import { judgeHead } from "@skylarkmill/gateway";
import { describe, expect, it } from "vitest";

const PROMISE_STATUSES = [408, 421, 429, 503];
const OTHER_STATUSES = [200, 206, 304, 400, 404, 409, 413, 500, 502, 504];

// Guards against a response that tells its caller more than its server states.
describe("the head of a response", () => {
    it.each([...PROMISE_STATUSES, ...OTHER_STATUSES])("is judged by its id, mark and signature: %s", status => {
        const judge = (isMarkedNotRun: boolean, namesRequest: boolean, isSigned: boolean): string[] =>
            [false, true].map(isRetryable =>
                judgeHead({ status, isMarkedNotRun, namesRequest, isSigned }, isRetryable)
            );
        const unmarked = PROMISE_STATUSES.includes(status) ? "unmarked_refusal" : "usable";
        expect(judge(false, true, true)).toEqual([unmarked, "usable"]);
        expect(judge(false, true, false)).toEqual(["unusable", "unusable"]);
        expect(judge(true, true, true)).toEqual(["not_run", "not_run"]);
        expect(judge(true, true, false)).toEqual(["not_run", "not_run"]);
        for (const isMarkedNotRun of [false, true]) {
            for (const isSigned of [false, true]) {
                expect(judge(isMarkedNotRun, false, isSigned)).toEqual(["unusable", "unusable"]);
            }
        }
    });
});
