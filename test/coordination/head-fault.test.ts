import { countHeadBytes, decideHeadFaultAction } from "@skylarkmill/coordination";
import { describe, expect, it } from "vitest";

// Guards against a refusal in the middle of an earlier response, and against owed responses that end with their connection.
describe("decideHeadFaultAction", () => {
    it.each(
        [
            { fault: "late", isWritable: true, owedResponseCount: 0, isReceivingBody: false, action: "refuse" },
            { fault: "late", isWritable: true, owedResponseCount: 0, isReceivingBody: true, action: "refuse" },
            {
                fault: "late",
                isWritable: true,
                owedResponseCount: 1,
                isReceivingBody: false,
                action: "refuse_after_responses",
            },
            {
                fault: "late",
                isWritable: true,
                owedResponseCount: 3,
                isReceivingBody: false,
                action: "refuse_after_responses",
            },
            { fault: "late", isWritable: true, owedResponseCount: 1, isReceivingBody: true, action: "close" },
            { fault: "late", isWritable: false, owedResponseCount: 0, isReceivingBody: false, action: "close" },
            { fault: "late", isWritable: false, owedResponseCount: 1, isReceivingBody: false, action: "close" },
            {
                fault: "too_large",
                isWritable: true,
                owedResponseCount: 1,
                isReceivingBody: false,
                action: "refuse_after_responses",
            },
            { fault: "malformed", isWritable: true, owedResponseCount: 0, isReceivingBody: false, action: "refuse" },
            { fault: "malformed", isWritable: true, owedResponseCount: 1, isReceivingBody: false, action: "close" },
        ] as const,
    )("$action: $fault, $isWritable, $owedResponseCount, $isReceivingBody", ({ action, ...situation }) => {
        expect(decideHeadFaultAction(situation)).toBe(action);
    });
});

// Guards against a limit that callers can't compute from what they send.
describe("countHeadBytes", () => {
    it.each([
        { head: "GET / HTTP/1.1\r\n\r\n", rawHeaders: [] },
        { head: "GET / HTTP/1.1\r\nHost: a\r\n\r\n", rawHeaders: ["Host", "a"] },
        { head: "GET / HTTP/1.1\r\nHost: a\r\nX-Empty: \r\n\r\n", rawHeaders: ["Host", "a", "X-Empty", ""] },
    ])("counts all bytes of $head", ({ head, rawHeaders }) => {
        expect(countHeadBytes("GET", "/", rawHeaders)).toBe(head.length);
    });
});
